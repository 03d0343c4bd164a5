"""One attempt over curl that its sink can hold back and give up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pycurl

from mulberrypaddle.backends.base import AnswerHead, Upstream
from mulberrypaddle.backends.curl import limit_receive_buffer
from mulberrypaddle.controllers.stream_memory import RECEIVE_BUFFER_BYTES
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from mulberrypaddle.backends.base import AnswerSink
    from mulberrypaddle.backends.curl import CurlClient

# A refusal of an engine is a short JSON document.
REFUSAL_BYTES = 4_096

# Least that libcurl takes; it is allocated for each transfer.
UPLOAD_BUFFER_BYTES = 16_384

DEFAULT_CONTENT_TYPE = "application/octet-stream"

# Headers of an answer that are passed on to the caller, in lower case.
PASSED_HEADERS = frozenset(
    {
        "cache-control",
        "content-disposition",
        "content-encoding",
        "content-language",
        "etag",
        "last-modified",
        "location",
        "retry-after",
        "vary",
    }
)

_BODILESS_STATUSES = frozenset({204, 304})


class Transfer(Upstream):
    """Passes the answer of one attempt to its sink.

    Attributes:
        problem: Why it was given up; None while it was not.
        error: What the sink raised; None if nothing.
        refusal: Body of an engine's refusal.
        status: HTTP status; zero before it came.
        size_bytes: Bytes of the body that were passed on.
    """

    __slots__ = (
        "_attempt_id",
        "_client",
        "_curl",
        "_deadline_seconds",
        "_done",
        "_head",
        "_headers",
        "_info",
        "_loop",
        "_may_refuse",
        "_method",
        "_paused_at_seconds",
        "_sink",
        "_timer",
        "error",
        "problem",
        "refusal",
        "size_bytes",
        "status",
    )

    def __init__(
        self,
        client: CurlClient,
        sink: AnswerSink,
        *,
        attempt_id: str,
        method: str,
        may_refuse: bool,
        timeout_seconds: float,
    ) -> None:
        self._client = client
        self._sink = sink
        self._attempt_id = attempt_id
        self._info: object = None
        self._method = method
        self._may_refuse = may_refuse
        self._curl: pycurl.Curl | None = None
        self._done = False
        self._head: AnswerHead | None = None
        self._headers: list[tuple[str, str]] = []
        self._paused_at_seconds: float | None = None
        self._loop = asyncio.get_running_loop()
        self._deadline_seconds = self._loop.time() + timeout_seconds
        self._timer = self._loop.call_at(self._deadline_seconds, self._expire)
        self.problem: Problem | None = None
        self.error: BaseException | None = None
        self.refusal = b""
        self.status = 0
        self.size_bytes = 0
        sink.attach(self)

    def attach_curl(self, curl: pycurl.Curl) -> None:
        """Takes head and body straight from curl.

        The client's own callbacks are scheduled on the loop: they hold
        back nothing, and the head can come after a short body.
        """
        self._curl = curl
        # The client gives the handle to the next request with a new info.
        self._info = curl.info
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._take_body)
        curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        curl.setopt(pycurl.SOCKOPTFUNCTION, limit_receive_buffer)

    def resume(self) -> None:
        """Goes on after the sink refused, in a later turn of the loop."""
        self._loop.call_soon(self._resume_now)

    def cancel(self, problem: Problem) -> None:
        """Gives the attempt up, in a later turn of the loop."""
        if self._done or self.problem is not None:
            return
        self.problem = problem
        self._loop.call_soon(self._abort_now)

    def close(self) -> None:
        """Ends the transfer if it still runs; called by its owner."""
        self._abort_now()
        self._timer.cancel()

    def start_once(self) -> AnswerHead:
        """Passes on the head if that has not been done."""
        if self._head is None:
            self._head = self._build_head()
            self._sink.start(self._head)
        return self._head

    @property
    def started(self) -> bool:
        """Returns whether the head was passed on."""
        return self._head is not None

    @property
    def refused(self) -> bool:
        """Returns whether the answer is an engine's 503."""
        return self._may_refuse and self.status == 503

    def check_head(self) -> bool:
        """Returns whether the answer can be trusted; else notes why not."""
        echoed = self.header("x-attempt-id")
        if echoed and echoed != self._attempt_id:
            self._distrust(f"got the answer of attempt {echoed!r}")
            return False
        if not self._is_framed():
            self._distrust("the answer has no length and is not chunked")
            return False
        return True

    def header(self, wanted: str) -> str:
        """Returns the last value of a header, empty if there is none."""
        found = ""
        for name, value in self._headers:
            if name == wanted:
                found = value
        return found

    def _is_framed(self) -> bool:
        """Returns whether HTTP tells where the answer ends."""
        if self._method == "HEAD" or self.status in _BODILESS_STATUSES:
            return True
        for name, value in self._headers:
            if name == "content-length":
                return True
            if name == "transfer-encoding" and "chunked" in value.lower():
                return True
        return False

    def _distrust(self, detail: str) -> None:
        self.problem = Problem(ErrorKind.OUTCOME_UNKNOWN, f"runner: {detail}")

    def _take_header(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            parts = text.split(" ", 2)
            self.status = int(parts[1])
            self._headers.clear()
            return
        name, separator, value = text.partition(":")
        if separator:
            self._headers.append((name.lower(), value.strip()))

    def _take_body(self, data: bytes) -> int:
        """Takes bytes from curl, or refuses or fails the transfer."""
        if self.problem is not None:
            return 0
        if self.refused:
            self.refusal = (self.refusal + data)[:REFUSAL_BYTES]
            return len(data)
        if self._head is None and not self.check_head():
            return 0
        try:
            self.start_once()
            taken = self._sink.take(data)
        except Exception as error:
            # curl would only print it; the owner of the attempt raises it.
            self.error = error
            return 0
        if not taken:
            self._paused_at_seconds = self._loop.time()
            return int(pycurl.WRITEFUNC_PAUSE)
        self.size_bytes += len(data)
        return len(data)

    def _build_head(self) -> AnswerHead:
        headers = []
        for name, value in self._headers:
            if name in PASSED_HEADERS:
                headers.append((name.title(), value))
        length = self.header("content-length")
        return AnswerHead(
            self.status,
            content_type=self.header("content-type") or DEFAULT_CONTENT_TYPE,
            headers=tuple(headers),
            size_bytes=int(length) if length.isdecimal() else None,
            adapter_version=self.header("x-adapter-version"),
        )

    def _runs(self) -> bool:
        if self._done or self._curl is None:
            return False
        return self._curl.info is self._info

    def _resume_now(self) -> None:
        if not self._runs():
            return
        if self._paused_at_seconds is None:
            return
        self._deadline_seconds += self._loop.time() - self._paused_at_seconds
        self._paused_at_seconds = None
        self._client.resume_transfer(self._curl)

    def _abort_now(self) -> None:
        if not self._runs():
            return
        self._done = True
        self._client.abort_transfer(self._curl, "given up")

    def _expire(self) -> None:
        """Ends the attempt at its deadline, pauses not counted."""
        now_seconds = self._loop.time()
        due_seconds = self._deadline_seconds
        if self._paused_at_seconds is not None:
            due_seconds += now_seconds - self._paused_at_seconds
        if due_seconds > now_seconds:
            self._timer = self._loop.call_at(due_seconds, self._expire)
            return
        self.cancel(
            Problem(
                ErrorKind.DEADLINE_PASSED,
                "the answer was not whole at the deadline",
            )
        )
