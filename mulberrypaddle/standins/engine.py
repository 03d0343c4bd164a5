"""Stand-in for a model engine, over HTTP.

`POST /v1/completions` returns tokens, as one complete response or as
server-sent events. The id of an event is the offset of its token, so that a
request with `Last-Event-ID` resumes after that token.
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

from mulberrypaddle.standins.local_server import JsonHandler, LocalServer

if TYPE_CHECKING:
    from collections.abc import Callable

# A prompt that contains this text crashes the engine.
CRASH_PROMPT_MARKER = "crash-the-engine"
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 16


class EngineState:
    """State and injected faults of one engine.

    Attributes:
        runner_id: Name of the runner.
        incarnation: Random id of this start; changes with every restart.
        started_at_seconds: Monotonic time of the last start.
        token_seconds: Time to generate one token.
        slots: Maximum of concurrent attempts; further ones get status 503.
        running: Tokens required by each attempt in flight, by attempt id.
        peak_running_requests: Highest number of attempts in flight so far.
        runs: How many attempts were started, by request id.
        generation: Group generation in the engine's reports.
        member_vm_ids: VMs that have confirmed the generation.
        dead: While true, every connection is aborted.
        abort_after_tokens: If positive, the next stream is aborted after
            that many tokens.
        aborts_every_stream: Whether `abort_after_tokens` applies to every
            stream; otherwise it is reset after the first.
        end_after_tokens: If positive, a stream ends without an error after
            that many tokens, but without the final `[DONE]` event.
        truncated_responses_remaining: How many of the next complete (not
            streamed) responses are aborted after half of their declared length.
        padding_bytes: Number of filler bytes added to the text of a token.
        adapter_version: Version of the adapter, sent in each response; a
            request for another version is refused.
        samples_tokens: If true, the tokens depend on the sampling seed and the
            adapter version; otherwise on prompt and offset only.
        cancels: Ids of the attempts that were cancelled, or whose connection
            the client closed.
        resumes: Last-Event-ID of each resumed attempt, in order of arrival.
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
        self.abort_after_tokens = 0
        self.aborts_every_stream = False
        self.end_after_tokens = 0
        self.truncated_responses_remaining = 0
        self.padding_bytes = 0
        self.adapter_version = "v1"
        self.samples_tokens = False
        self.cancels: list[str] = []
        self.resumes: list[int] = []

    def record_cancel(self, attempt_id: str) -> None:
        """Records, at most once, that an attempt was cancelled."""
        if attempt_id not in self.cancels:
            self.cancels.append(attempt_id)

    def restart(self) -> None:
        """Drops all attempts in flight and starts a new incarnation."""
        self.running.clear()
        self.incarnation = uuid.uuid4().hex
        self.started_at_seconds = time.monotonic()


def required_tokens(value: dict[str, Any], prompt: str) -> int:
    """Returns the most tokens a request can need: prompt plus output."""
    output_tokens = int(value.get("max_tokens", DEFAULT_OUTPUT_TOKENS))
    return len(prompt) // CHARACTERS_PER_TOKEN + output_tokens


def token_text(prompt: str, offset: int) -> str:
    """Returns the token at an offset; it depends on the prompt only."""
    words = prompt.split() or ["empty"]
    return f"{words[offset % len(words)]}{offset} "


def sampled_token_text(
    prompt: str, offset: int, *, seed: str, version: str
) -> str:
    """Returns the token at an offset for a seed and an adapter version."""
    digest = zlib.crc32(f"{prompt}|{offset}|{seed}|{version}".encode())
    return f"{digest:08x} "


class _EngineHandler(JsonHandler):
    """Base of the engine's request handlers."""

    def initialize(
        self, state: EngineState, before: Callable[[], None] | None = None
    ) -> None:
        """Stores the engine and calls `before`, if given.

        Tornado calls this for each request.
        """
        self.state = state
        if before is not None:
            before()

    def abort_connection(self) -> None:
        """Closes the connection without completing a response."""
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _CompletionHandler(_EngineHandler):
    """Generates tokens.

    Attributes:
        closed: Whether the client has closed the connection.
    """

    closed = False

    def on_connection_close(self) -> None:
        """Cancels the attempt because the client closed the connection."""
        self.closed = True
        attempt_id = self.request.headers.get("X-Attempt-Id", "")
        if attempt_id in self.state.running:
            self.state.record_cancel(attempt_id)

    async def post(self) -> None:
        """Executes one attempt, unless all slots are in use."""
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
        """Sends the tokens, with the faults set in the engine's state."""
        max_tokens = int(value.get("max_tokens", DEFAULT_OUTPUT_TOKENS))
        headers = self.request.headers
        attempt_id = headers.get("X-Attempt-Id", "")
        self.set_header("X-Attempt-Id", attempt_id)
        self.set_header("X-Adapter-Version", self.state.adapter_version)
        requested_version = headers.get(
            "X-Adapter-Version", self.state.adapter_version
        )
        if requested_version != self.state.adapter_version:
            self.send_json(503, {"error": "adapter", "ran": "not run"})
            return
        first_offset = int(headers.get("Last-Event-ID", "-1")) + 1
        if first_offset > 0:
            self.state.resumes.append(first_offset - 1)
        if not value.get("stream"):
            await self._send_complete_response(prompt, max_tokens)
            return
        self.set_header("Content-Type", "text/event-stream")
        for offset in range(first_offset, max_tokens):
            await asyncio.sleep(self.state.token_seconds)
            if self._must_abort_stream(offset - first_offset):
                self.abort_connection()
                return
            if self._must_end_stream(offset - first_offset):
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

    async def _send_complete_response(
        self, prompt: str, max_tokens: int
    ) -> None:
        """Sends all tokens in one JSON body, or aborts half way."""
        await asyncio.sleep(self.state.token_seconds * max_tokens)
        text = "".join(
            self._token_at(prompt, offset) for offset in range(max_tokens)
        )
        if self.state.truncated_responses_remaining <= 0:
            self.send_json(200, {"text": text, "tokens": max_tokens})
            return
        self.state.truncated_responses_remaining -= 1
        self.set_header("Content-Length", str(2 * len(text)))
        self.write(text)
        await self.flush()
        self.abort_connection()

    def _token_at(self, prompt: str, offset: int) -> str:
        """Returns the token at an offset, with its padding."""
        text = token_text(prompt, offset)
        if self.state.samples_tokens:
            text = sampled_token_text(
                prompt,
                offset,
                seed=self.request.headers.get("X-Sampling-Seed", "")
                or uuid.uuid4().hex,
                version=self.state.adapter_version,
            )
        return text + "." * self.state.padding_bytes

    def _must_end_stream(self, sent_tokens: int) -> bool:
        """Returns whether the stream is to end early, without an error."""
        limit = self.state.end_after_tokens
        return 0 < limit <= sent_tokens

    def _must_abort_stream(self, sent_tokens: int) -> bool:
        """Returns whether to abort the stream; resets a one-time fault."""
        limit = self.state.abort_after_tokens
        if self.state.dead:
            return True
        if limit <= 0 or sent_tokens < limit:
            return False
        if not self.state.aborts_every_stream:
            self.state.abort_after_tokens = 0
        return True


class _ReportHandler(_EngineHandler):
    """Serves the engine's load report."""

    def get(self) -> None:
        """Returns the current state, or aborts if the engine is dead."""
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
    """Cancels attempts."""

    def post(self, attempt_id: str) -> None:
        """Stops an attempt; its stream is aborted at the next token."""
        known = self.state.running.pop(attempt_id, None) is not None
        if known:
            self.state.record_cancel(attempt_id)
        self.send_json(200, {"cancelled": known})


def engine_routes(
    state: EngineState, *, before: Callable[[], None] | None = None
) -> list[Any]:
    """Returns the tornado routes of an engine.

    Args:
        state: State of the engine.
        before: Called before each request is handled, or None.
    """
    arguments = {"state": state, "before": before}
    return [
        (r"/v1/completions", _CompletionHandler, arguments),
        (r"/v1/report", _ReportHandler, arguments),
        (r"/v1/cancel/(.+)", _CancelHandler, arguments),
    ]


def serve_engine(state: EngineState, *, port: int = 0) -> LocalServer:
    """Starts the engine's HTTP server on the loopback address."""
    return LocalServer(tornado.web.Application(engine_routes(state)), port=port)
