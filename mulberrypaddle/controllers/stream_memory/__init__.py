"""Memory for answers on their way to callers: windows, budget, shares."""

from __future__ import annotations

from mulberrypaddle.controllers.stream_memory.memory import StreamMemory
from mulberrypaddle.controllers.stream_memory.stream import (
    RECEIVE_BUFFER_BYTES,
    WINDOW_BYTES,
    AnswerStream,
    StreamListener,
)

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "WINDOW_BYTES",
    "AnswerStream",
    "StreamListener",
    "StreamMemory",
]
