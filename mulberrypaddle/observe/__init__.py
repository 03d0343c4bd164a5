"""Logging and metrics of a router process."""

from __future__ import annotations

from mulberrypaddle.observe.logs import configure_logging, log_decision

__all__ = ["configure_logging", "log_decision"]
