"""Runs a router on the platform as `python -m mulberrypaddle.platform`.

This entry point is separate from the command line because it imports only
what a router on the platform uses: memory is scarce on every VM.
"""

from __future__ import annotations

from mulberrypaddle.platform.program import run

if __name__ == "__main__":
    run()
