"""Clients of the systems outside."""

from __future__ import annotations

from mulberrypaddle.backends.base import (
    AnswerSink,
    AttemptFailure,
    Completion,
    ObjectStore,
    RunnerClient,
)

__all__ = [
    "AnswerSink",
    "AttemptFailure",
    "Completion",
    "ObjectStore",
    "RunnerClient",
]
