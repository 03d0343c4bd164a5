"""Runs the command line as `python -m mulberrypaddle`."""

from __future__ import annotations

from mulberrypaddle.cli.main import main

if __name__ == "__main__":
    main()
