"""Runs a router on the platform as `python -m mulberrypaddle.platform`.

A way in of its own, beside the command line: it loads nothing that a router
on the platform does not use, since memory counts on every VM.
"""

from __future__ import annotations

from mulberrypaddle.platform.program import run

if __name__ == "__main__":
    run()
