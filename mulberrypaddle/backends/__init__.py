"""Clients of external systems: runners, VMs and the platform's stores."""

from __future__ import annotations

from mulberrypaddle.backends.base import (
    AnswerHead,
    AnswerSink,
    AttemptFailure,
    Completion,
    ObjectStore,
    ResumePoint,
    RunnerClient,
    Upstream,
)

__all__ = [
    "AnswerHead",
    "AnswerSink",
    "AttemptFailure",
    "Completion",
    "ObjectStore",
    "ResumePoint",
    "RunnerClient",
    "Upstream",
]
