"""Compares the processor time of one router with that of `bare_relay`.

Prints key=value lines for both: complete requests per second, tokens per
second with one token per chunk, and the processor time per request and per
token. Rounds of the two alternate, and the best round of each counts, since
other load on the machine disturbs single rounds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import sys
import time

from tornado.httpclient import HTTPClientError

from benchmarks.rig import (
    CALLER_KEY,
    READY_ATTEMPTS,
    READY_WAIT_SECONDS,
    Rig,
    processor_seconds,
)
from mulberrypaddle.standins.local_server import LOOPBACK
from mulberrypaddle.standins.ports import free_port

ROUNDS = 3
REQUESTS = 1_000
REQUEST_WORKERS = 16
STREAMS = 120
STREAM_TOKENS = 200
TOKEN_SECONDS = 0.02
WARM_UP_REQUESTS = 100

PEAK_REQUESTS_PER_SECOND = 27
PEAK_TOKENS_PER_SECOND = 10_000

_PATH = "/services/card-writer/v1/completions"


class _Target:
    """A process under load, and the results of its rounds.

    Attributes:
        name: Prefix of the printed keys.
        address: Where the process listens, as "host:port".
        process_id: Id of the process.
        cpu_seconds_per_request: Processor time per request, one for each round.
        cpu_seconds_per_token: Processor time per token, one for each round.
        requests_per_second: Throughput of requests, one for each round.
        tokens_per_second: Throughput of tokens, one for each round.
    """

    def __init__(self, name: str, address: str, process_id: int) -> None:
        self.name = name
        self.address = address
        self.process_id = process_id
        self.cpu_seconds_per_request: list[float] = []
        self.cpu_seconds_per_token: list[float] = []
        self.requests_per_second: list[float] = []
        self.tokens_per_second: list[float] = []

    def print_value(self, key: str, value: object) -> None:
        """Prints one result."""
        print(f"{self.name}.{key}={value}", flush=True)

    def print_best_rounds(self) -> None:
        """Prints the best round of each figure."""
        cpu_seconds_per_request = min(self.cpu_seconds_per_request)
        cpu_seconds_per_token = min(self.cpu_seconds_per_token)
        self.print_value(
            "requests_per_second", round(max(self.requests_per_second))
        )
        self.print_value(
            "processor_us_per_request", round(cpu_seconds_per_request * 1e6)
        )
        self.print_value(
            "tokens_per_second", round(max(self.tokens_per_second))
        )
        self.print_value(
            "processor_us_per_token", round(cpu_seconds_per_token * 1e6, 1)
        )
        share = (
            PEAK_REQUESTS_PER_SECOND * cpu_seconds_per_request
            + PEAK_TOKENS_PER_SECOND * cpu_seconds_per_token
        )
        self.print_value("core_share_at_planned_peak", round(share, 3))


class _Connection:
    """A minimal HTTP client on one keep-alive connection."""

    async def connect(self, address: str) -> None:
        """Opens the connection to "host:port"."""
        host, port = address.split(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def call(self, *, tokens: int, stream: bool) -> int:
        """Sends one request and reads its complete answer.

        Returns:
            The size of the answer's body in bytes.

        Raises:
            RuntimeError: If the status is not 200.
        """
        body = json.dumps(
            {"prompt": "a postcard", "max_tokens": tokens, "stream": stream}
        )
        self._writer.write(
            (
                f"POST {_PATH} HTTP/1.1\r\nHost: x\r\n"
                "Content-Type: application/json\r\n"
                f"Authorization: Bearer {CALLER_KEY}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )
        head = await self._reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(head.decode())
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size_bytes = int(line.split(b":")[1])
                await self._reader.readexactly(size_bytes)
                return size_bytes
        return await self._read_chunks()

    async def _read_chunks(self) -> int:
        """Reads a chunked body and returns its size in bytes."""
        size_bytes = 0
        while True:
            line = await self._reader.readuntil(b"\r\n")
            chunk_bytes = int(line, 16)
            await self._reader.readexactly(chunk_bytes + 2)
            if chunk_bytes == 0:
                return size_bytes
            size_bytes += chunk_bytes


async def _run_requests(address: str, count: int) -> None:
    """Sends requests over `REQUEST_WORKERS` connections."""
    remaining = iter(range(count))

    async def run_worker() -> None:
        caller = _Connection()
        await caller.connect(address)
        for _ in remaining:
            await caller.call(tokens=1, stream=False)
        caller.close()

    await asyncio.gather(*(run_worker() for _ in range(REQUEST_WORKERS)))


async def _run_streams(address: str) -> None:
    """Reads `STREAMS` streamed answers at the same time."""

    async def run_worker() -> None:
        caller = _Connection()
        await caller.connect(address)
        await caller.call(tokens=STREAM_TOKENS, stream=True)
        caller.close()

    await asyncio.gather(*(run_worker() for _ in range(STREAMS)))


async def _measure_requests(target: _Target, rig: Rig) -> None:
    """Adds one round of unstreamed requests to the results of a target."""
    for engine in rig.card_writers:
        engine.token_seconds = 0.0
    cpu_seconds = processor_seconds(target.process_id)
    began_seconds = time.monotonic()
    await _run_requests(target.address, REQUESTS)
    elapsed_seconds = time.monotonic() - began_seconds
    cpu_seconds = processor_seconds(target.process_id) - cpu_seconds
    target.requests_per_second.append(REQUESTS / elapsed_seconds)
    target.cpu_seconds_per_request.append(cpu_seconds / REQUESTS)


async def _measure_streams(target: _Target, rig: Rig) -> None:
    """Adds one round of streamed answers to the results of a target."""
    for engine in rig.card_writers:
        engine.token_seconds = TOKEN_SECONDS
    cpu_seconds = processor_seconds(target.process_id)
    began_seconds = time.monotonic()
    await _run_streams(target.address)
    elapsed_seconds = time.monotonic() - began_seconds
    cpu_seconds = processor_seconds(target.process_id) - cpu_seconds
    # The cost of the requests themselves is measured separately.
    cpu_seconds -= STREAMS * min(target.cpu_seconds_per_request)
    tokens = STREAMS * STREAM_TOKENS
    target.tokens_per_second.append(tokens / elapsed_seconds)
    target.cpu_seconds_per_token.append(cpu_seconds / tokens)


async def _main() -> None:
    rig = Rig(engine_count=1, answer_memory_bytes=64 << 20)
    await rig.start()
    port = free_port()
    runner = json.loads(rig.store.read("runners/card-writer-1").unwrap().value)
    bare = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "benchmarks.bare_relay",
            str(port),
            runner["address"],
        ]
    )
    bare_address = f"{LOOPBACK}:{port}"
    for _ in range(READY_ATTEMPTS):
        with contextlib.suppress(HTTPClientError):
            await rig.client.fetch(f"http://{bare_address}/readyz")
            break
        await asyncio.sleep(READY_WAIT_SECONDS)
    relay = _Target("bare", bare_address, bare.pid)
    router = _Target("router", rig.address, rig.child.pid)
    targets = (relay, router)
    for target in targets:
        await _run_requests(target.address, WARM_UP_REQUESTS)
    for _ in range(ROUNDS):
        for target in targets:
            await _measure_requests(target, rig)
        for target in targets:
            await _measure_streams(target, rig)
    for target in targets:
        target.print_best_rounds()
    router.print_value(
        "times_bare_per_request",
        round(
            min(router.cpu_seconds_per_request)
            / min(relay.cpu_seconds_per_request),
            2,
        ),
    )
    router.print_value(
        "times_bare_per_token",
        round(
            min(router.cpu_seconds_per_token)
            / min(relay.cpu_seconds_per_token),
            2,
        ),
    )
    bare.terminate()
    bare.wait(10)
    await rig.stop()


if __name__ == "__main__":
    asyncio.run(_main())
