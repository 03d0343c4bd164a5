"""Duties towards the platform that one router performs for the whole fleet.

`leadership.DutyLeadership` decides whether this router may make a call now, and
under which fencing token. `platform_api.PlatformApi` is the interface of the
platform's API.
"""

from __future__ import annotations

from mulberrypaddle.duties.leadership import DutyLeadership
from mulberrypaddle.duties.platform_api import CallOutcome, PlatformApi

__all__ = ["CallOutcome", "DutyLeadership", "PlatformApi"]
