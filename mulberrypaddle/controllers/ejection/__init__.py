"""Ejection: runners that fail or are slow get no work for a while."""

from __future__ import annotations

from mulberrypaddle.controllers.ejection.controller import Ejection

__all__ = ["Ejection"]
