"""Runs a router on the platform as `python -m mulberrypaddle.platform`.

This entry point is separate from the command line because it imports only
what a router on the platform uses: memory is scarce on every VM.
"""

from __future__ import annotations

import signal

# By default the signal to reload would end a process that is still starting,
# which reads its settings anyway. Loading the other modules takes longest.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mulberrypaddle.platform.program import run  # noqa: E402

if __name__ == "__main__":
    run()
