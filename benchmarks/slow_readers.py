"""Measures the memory used for 300 slow readers of large answers.

Prints key=value lines for three cases: unbounded buffers as in the first
version of the relay, the present limits, and the present limits with a memory
budget below the sum of the readers' windows. The hash of each answer is
compared with that of the answer that the engine generates.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import socket
import time

from benchmarks.rig import CALLER_KEY, Rig
from mulberrypaddle.standins.engine import token_text

READERS = 300
ANSWER_TOKENS = 256
PADDING_BYTES = 8_000
READ_BYTES = 32_768
READ_PAUSE_SECONDS = 0.2
READER_SOCKET_BYTES = 16_384
SAMPLE_SECONDS = 0.1
PROMPT = "a postcard"

BUDGET_BYTES = 64 << 20
SMALL_BUDGET_BYTES = 8 << 20


def _expected_answer() -> bytes:
    """Returns the answer that the engine generates for `PROMPT`."""
    parts = []
    for offset in range(ANSWER_TOKENS):
        text = token_text(PROMPT, offset) + "." * PADDING_BYTES
        parts.append(f"id: {offset}\ndata: {json.dumps({'text': text})}\n\n")
    parts.append("data: [DONE]\n\n")
    return "".join(parts).encode()


async def _read_slowly(address: str) -> tuple[str, int]:
    """Returns hash and size of one answer, read as slowly as by a tablet."""
    host, port = address.split(":")
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, READER_SOCKET_BYTES
    )
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    body = json.dumps(
        {"prompt": PROMPT, "max_tokens": ANSWER_TOKENS, "stream": True}
    )
    head = (
        "POST /services/card-writer/v1/completions HTTP/1.0\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    await loop.sock_sendall(connection, (head + body).encode())
    digest = hashlib.sha256()
    size_bytes = 0
    pending = b""
    in_body = False
    while True:
        data = await _read_step(connection)
        if not data:
            break
        if not in_body:
            pending += data
            if b"\r\n\r\n" not in pending:
                continue
            data = pending.split(b"\r\n\r\n", 1)[1]
            in_body = True
        digest.update(data)
        size_bytes += len(data)
        await asyncio.sleep(READ_PAUSE_SECONDS)
    connection.close()
    return digest.hexdigest(), size_bytes


async def _read_step(connection: socket.socket) -> bytes:
    """Reads up to `READ_BYTES`; returns nothing at the end of the answer."""
    loop = asyncio.get_running_loop()
    data = b""
    while len(data) < READ_BYTES:
        try:
            part = await loop.sock_recv(connection, READ_BYTES - len(data))
        except OSError:
            return b""
        if not part:
            break
        data += part
        if len(part) < READ_BYTES:
            break
    return data


async def _measure(name: str, *, budget_bytes: int, unbounded: bool) -> None:
    """Prints the results of one case, with `name` before each key."""
    rig = Rig(
        engine_count=4, answer_memory_bytes=budget_bytes, unbounded=unbounded
    )
    for engine in rig.card_writers:
        engine.padding_bytes = PADDING_BYTES
    expected = _expected_answer()
    expected_hash = hashlib.sha256(expected).hexdigest()
    await rig.start()
    idle_bytes = rig.resident_bytes()
    peak_bytes = idle_bytes
    began_seconds = time.monotonic()
    readers = [
        asyncio.create_task(_read_slowly(rig.address)) for _ in range(READERS)
    ]
    pending_readers = set(readers)
    while pending_readers:
        _, pending_readers = await asyncio.wait(
            pending_readers, timeout=SAMPLE_SECONDS
        )
        peak_bytes = max(peak_bytes, rig.resident_bytes())
    values = await rig.metrics()
    complete_answers = 0
    for reader in readers:
        complete_answers += reader.result() == (expected_hash, len(expected))
    grown_bytes = peak_bytes - idle_bytes
    results = {
        "readers": READERS,
        "answer_bytes": len(expected),
        "whole_answers": complete_answers,
        "budget_bytes": budget_bytes,
        "idle_resident_bytes": idle_bytes,
        "peak_resident_bytes": peak_bytes,
        "grown_resident_bytes_per_reader": grown_bytes // READERS,
        "peak_held_bytes_per_reader": int(
            values["mulberrypaddle_reader_peak_bytes"]
        ),
        "peak_held_bytes": int(values["mulberrypaddle_answer_peak_bytes"]),
        "answers_parked": int(values["mulberrypaddle_answers_parked"]),
        "processor_seconds": round(rig.processor_seconds(), 2),
        "seconds": round(time.monotonic() - began_seconds, 1),
    }
    for key, value in results.items():
        print(f"{name}.{key}={value}", flush=True)
    await rig.stop()


async def _main() -> None:
    await _measure("unbounded", budget_bytes=BUDGET_BYTES, unbounded=True)
    await _measure("bounded", budget_bytes=BUDGET_BYTES, unbounded=False)
    await _measure(
        "bounded_short", budget_bytes=SMALL_BUDGET_BYTES, unbounded=False
    )


if __name__ == "__main__":
    asyncio.run(_main())
