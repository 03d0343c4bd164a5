"""Clients of external systems: runners, VMs and the platform's stores."""

from __future__ import annotations

from mulberrypaddle.backends.base import (
    AnswerHead,
    AnswerSink,
    AttemptCompletion,
    AttemptControl,
    AttemptFailure,
    ObjectStore,
    ResumePoint,
    RunnerClient,
)

__all__ = [
    "AnswerHead",
    "AnswerSink",
    "AttemptFailure",
    "AttemptCompletion",
    "ObjectStore",
    "ResumePoint",
    "RunnerClient",
    "AttemptControl",
]
