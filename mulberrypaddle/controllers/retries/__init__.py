"""Retries: which failed attempts are made again, and when."""

from __future__ import annotations

from mulberrypaddle.controllers.retries.controller import Retries

__all__ = ["Retries"]
