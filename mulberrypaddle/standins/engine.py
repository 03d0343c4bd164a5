"""The stand-in for a model engine, over HTTP.

It answers `POST /v1/completions` with tokens, whole or as server-sent
events whose ids are token offsets, so that `Last-Event-ID` resumes.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid
import zlib
from typing import TYPE_CHECKING, Any

import tornado.iostream
import tornado.web

from mulberrypaddle.standins.web import JsonHandler, LocalServer

if TYPE_CHECKING:
    from collections.abc import Callable

CRASH_PROMPT_MARKER = "crash-the-engine"
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 16


class EngineState:
    """Behaviour and state of one engine.

    Attributes:
        runner_id: Name of the runner.
        incarnation: Changes with every start.
        started_at_seconds: Monotonic time of the start.
        token_seconds: Time between tokens.
        slots: Requests that it bears; more are refused.
        running: Tokens held by each attempt in hand, by attempt id.
        peak_running_requests: Most attempts that were ever in hand.
        runs: How often each request id was begun.
        generation: Group generation that it confirms.
        member_vm_ids: VMs that confirm the generation.
        dead: While true it cuts every connection.
        break_after_tokens: If positive, cuts a stream after that many tokens.
        always_breaks: Whether it does so each time, not only once.
        end_after_tokens: If positive, ends a stream cleanly after that many
            tokens, without its end mark.
        truncate_whole: How many coming whole answers break half way.
        padding_bytes: Added to the text of each token.
        adapter_version: Version of the adapter that it answers with.
        sampled: If true, the tokens depend on seed and adapter version.
        cancels: Attempts that it was told to cancel or whose reader left.
        resumes: Last-Event-ID of each resumed attempt, in order.
    """

    def __init__(
        self,
        runner_id: str,
        *,
        token_seconds: float = 0.002,
        slots: int = 16,
        generation: int = 0,
        member_vm_ids: tuple[str, ...] = (),
    ) -> None:
        self.runner_id = runner_id
        self.incarnation = uuid.uuid4().hex
        self.started_at_seconds = time.monotonic()
        self.token_seconds = token_seconds
        self.slots = slots
        self.running: dict[str, int] = {}
        self.peak_running_requests = 0
        self.runs: dict[str, int] = {}
        self.generation = generation
        self.member_vm_ids = member_vm_ids
        self.dead = False
        self.break_after_tokens = 0
        self.always_breaks = False
        self.end_after_tokens = 0
        self.truncate_whole = 0
        self.padding_bytes = 0
        self.adapter_version = "v1"
        self.sampled = False
        self.cancels: list[str] = []
        self.resumes: list[int] = []

    def record_cancel(self, attempt_id: str) -> None:
        """Notes once that an attempt was given up."""
        if attempt_id not in self.cancels:
            self.cancels.append(attempt_id)

    def restart(self) -> None:
        """Drops everything in hand and comes back cold."""
        self.running.clear()
        self.incarnation = uuid.uuid4().hex
        self.started_at_seconds = time.monotonic()


def required_tokens(value: dict[str, Any], prompt: str) -> int:
    """Returns what a request holds at worst: prompt and whole answer."""
    output_tokens = int(value.get("max_tokens", DEFAULT_OUTPUT_TOKENS))
    return len(prompt) // CHARACTERS_PER_TOKEN + output_tokens


def token_text(prompt: str, offset: int) -> str:
    """Returns the token at an offset; the same for every run."""
    words = prompt.split() or ["empty"]
    return f"{words[offset % len(words)]}{offset} "


def sampled_text(prompt: str, offset: int, *, seed: str, version: str) -> str:
    """Returns the token that a seed and an adapter version lead to."""
    digest = zlib.crc32(f"{prompt}|{offset}|{seed}|{version}".encode())
    return f"{digest:08x} "


class _EngineHandler(JsonHandler):
    """Knows the engine's state and how to cut a connection."""

    def initialize(
        self, state: EngineState, before: Callable[[], None] | None = None
    ) -> None:
        """Takes the engine to serve, and what to call before each request."""
        self.state = state
        if before is not None:
            before()

    def abort_connection(self) -> None:
        """Closes the connection with no answer."""
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _CompletionHandler(_EngineHandler):
    """Generates tokens."""

    closed = False

    def on_connection_close(self) -> None:
        """Notes that the reader is gone, which cancels the run."""
        self.closed = True
        attempt_id = self.request.headers.get("X-Attempt-Id", "")
        if attempt_id in self.state.running:
            self.state.record_cancel(attempt_id)

    async def post(self) -> None:
        """Runs one attempt."""
        value = self.parse_json_body()
        prompt = str(value.get("prompt", ""))
        attempt_id = self.request.headers.get("X-Attempt-Id", "")
        request_id = self.request.headers.get("X-Request-Id", "")
        if self.state.dead:
            self.abort_connection()
            return
        if len(self.state.running) >= self.state.slots:
            self.send_json(503, {"error": "busy", "ran": "not run"})
            return
        if CRASH_PROMPT_MARKER in prompt:
            self.state.restart()
            self.abort_connection()
            return
        self.state.running[attempt_id] = required_tokens(value, prompt)
        self.state.peak_running_requests = max(
            self.state.peak_running_requests, len(self.state.running)
        )
        self.state.runs[request_id] = self.state.runs.get(request_id, 0) + 1
        try:
            await self._generate(value, prompt)
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self.state.running.pop(attempt_id, None)

    async def _generate(self, value: dict[str, Any], prompt: str) -> None:
        max_tokens = int(value.get("max_tokens", DEFAULT_OUTPUT_TOKENS))
        headers = self.request.headers
        attempt_id = headers.get("X-Attempt-Id", "")
        self.set_header("X-Attempt-Id", attempt_id)
        self.set_header("X-Adapter-Version", self.state.adapter_version)
        wanted = headers.get("X-Adapter-Version", self.state.adapter_version)
        if wanted != self.state.adapter_version:
            self.send_json(503, {"error": "adapter", "ran": "not run"})
            return
        begin = int(headers.get("Last-Event-ID", "-1")) + 1
        if begin > 0:
            self.state.resumes.append(begin - 1)
        if not value.get("stream"):
            await self._send_complete_response(prompt, max_tokens)
            return
        self.set_header("Content-Type", "text/event-stream")
        for offset in range(begin, max_tokens):
            await asyncio.sleep(self.state.token_seconds)
            if self._must_abort_stream(offset - begin):
                self.abort_connection()
                return
            if self._must_end_stream(offset - begin):
                await self.finish()
                return
            if self.closed or attempt_id not in self.state.running:
                self.abort_connection()
                return
            data = json.dumps({"text": self._token_at(prompt, offset)})
            self.write(f"id: {offset}\ndata: {data}\n\n")
            await self.flush()
        self.write("data: [DONE]\n\n")
        self.finish()

    async def _send_complete_response(self, prompt: str, max_tokens: int) -> None:
        await asyncio.sleep(self.state.token_seconds * max_tokens)
        text = "".join(
            self._token_at(prompt, offset) for offset in range(max_tokens)
        )
        if self.state.truncate_whole <= 0:
            self.send_json(200, {"text": text, "tokens": max_tokens})
            return
        self.state.truncate_whole -= 1
        self.set_header("Content-Length", str(2 * len(text)))
        self.write(text)
        await self.flush()
        self.abort_connection()

    def _token_at(self, prompt: str, offset: int) -> str:
        text = token_text(prompt, offset)
        if self.state.sampled:
            text = sampled_text(
                prompt,
                offset,
                seed=self.request.headers.get("X-Sampling-Seed", "")
                or uuid.uuid4().hex,
                version=self.state.adapter_version,
            )
        return text + "." * self.state.padding_bytes

    def _must_end_stream(self, sent_tokens: int) -> bool:
        limit = self.state.end_after_tokens
        return 0 < limit <= sent_tokens

    def _must_abort_stream(self, sent_tokens: int) -> bool:
        limit = self.state.break_after_tokens
        if self.state.dead:
            return True
        if limit <= 0 or sent_tokens < limit:
            return False
        if not self.state.always_breaks:
            self.state.break_after_tokens = 0
        return True


class _ReportHandler(_EngineHandler):
    """Reports load."""

    def get(self) -> None:
        """Answers with the state of this moment."""
        if self.state.dead:
            self.abort_connection()
            return
        self.send_json(
            200,
            {
                "runner_id": self.state.runner_id,
                "incarnation": self.state.incarnation,
                "generation": self.state.generation,
                "member_vm_ids": list(self.state.member_vm_ids),
                "age_seconds": 0.0,
                "uptime_seconds": time.monotonic()
                - self.state.started_at_seconds,
                "running_requests": len(self.state.running),
                "held_tokens": sum(self.state.running.values()),
                "ready": True,
            },
        )


class _CancelHandler(_EngineHandler):
    """Cancels an attempt."""

    def post(self, attempt_id: str) -> None:
        """Forgets the attempt."""
        known = self.state.running.pop(attempt_id, None) is not None
        if known:
            self.state.record_cancel(attempt_id)
        self.send_json(200, {"cancelled": known})


def engine_routes(
    state: EngineState, *, before: Callable[[], None] | None = None
) -> list[Any]:
    """Returns the routes of an engine.

    Args:
        state: The engine.
        before: Called before each request, or None.
    """
    arguments = {"state": state, "before": before}
    return [
        (r"/v1/completions", _CompletionHandler, arguments),
        (r"/v1/report", _ReportHandler, arguments),
        (r"/v1/cancel/(.+)", _CancelHandler, arguments),
    ]


def serve_engine(state: EngineState, *, port: int = 0) -> LocalServer:
    """Starts the stand-in on the loopback address."""
    return LocalServer(tornado.web.Application(engine_routes(state)), port=port)
