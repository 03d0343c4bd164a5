"""Clients of the systems outside."""

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
