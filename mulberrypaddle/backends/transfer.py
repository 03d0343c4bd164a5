"""One attempt over curl, which its sink can pause, resume and cancel."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pycurl

from mulberrypaddle.backends.base import AnswerHead, AttemptControl
from mulberrypaddle.backends.curl import limit_receive_buffer
from mulberrypaddle.backends.head_reader import HeadReader
from mulberrypaddle.controllers.stream_memory import RECEIVE_BUFFER_BYTES
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from mulberrypaddle.backends.base import AnswerSink
    from mulberrypaddle.backends.curl import CurlClient
    from mulberrypaddle.backends.response_head import ResponseHead

# An engine's refusal is a short JSON document; longer bodies are truncated.
MAX_REFUSAL_BYTES = 4_096

# Minimum that libcurl accepts; the buffer is allocated for each transfer.
UPLOAD_BUFFER_BYTES = 16_384

DEFAULT_CONTENT_TYPE = "application/octet-stream"

# Headers of an answer that are forwarded to the caller, in lower case.
FORWARDED_HEADERS = frozenset(
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


class Transfer(AttemptControl):
    """Passes the answer of one attempt from curl to its sink.

    An attempt fails at its deadline, which is extended by the time for which
    the sink paused the transfer.

    Attributes:
        problem: Why the attempt was cancelled or its answer rejected; None
            if neither happened.
        error: Exception that the sink raised; None if it raised none.
        refusal: Start of the body of an engine's refusal; empty if none.
        status: HTTP status; zero until it is received.
        size_bytes: Bytes of the body that the sink has accepted.
    """

    __slots__ = (
        "_aborted",
        "_attempt_id",
        "_client",
        "_curl",
        "_curl_info",
        "_deadline_seconds",
        "_deadline_timer",
        "_head",
        "_fields",
        "_head_reader",
        "_loop",
        "_may_refuse",
        "_may_repeat",
        "_method",
        "_paused_at_seconds",
        "_sink",
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
        may_repeat: bool,
        timeout_seconds: float,
    ) -> None:
        self._client = client
        self._sink = sink
        self._attempt_id = attempt_id
        self._curl_info: object = None
        self._method = method
        self._may_refuse = may_refuse
        self._may_repeat = may_repeat
        self._curl: pycurl.Curl | None = None
        self._aborted = False
        self._head: AnswerHead | None = None
        self._head_reader = HeadReader(self._on_head)
        # Names, in lower case, and values of the headers.
        self._fields: list[tuple[str, str]] = []
        self._paused_at_seconds: float | None = None
        self._loop = asyncio.get_running_loop()
        self._deadline_seconds = self._loop.time() + timeout_seconds
        self._deadline_timer = self._loop.call_at(
            self._deadline_seconds, self._on_deadline
        )
        self.problem: Problem | None = None
        self.error: BaseException | None = None
        self.refusal = b""
        self.status = 0
        self.size_bytes = 0
        sink.attach(self)

    def configure_curl(self, curl: pycurl.Curl) -> None:
        """Installs this transfer's readers of the head and body in curl.

        The callbacks of Tornado's client are not used: they run later on the
        event loop, so they can't pause the transfer, and the head can arrive
        after a short body.

        Args:
            curl: Handle that the client uses for this request.
        """
        self._curl = curl
        # The client reuses the handle for later requests with another `info`.
        self._curl_info = curl.info
        # On a kept connection curl may send a request twice, and an answer to
        # an earlier one may come.
        curl.setopt(pycurl.FRESH_CONNECT, not self._may_repeat)
        self._client.read_head(curl, self._head_reader)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        curl.setopt(pycurl.SOCKOPTFUNCTION, limit_receive_buffer)

    def resume(self) -> None:
        """Schedules the transfer to resume after the sink refused bytes."""
        self._loop.call_soon(self._resume_now)

    def cancel(self, problem: Problem) -> None:
        """Schedules the transfer to be aborted, so it fails with `problem`."""
        if self._aborted or self.problem is not None:
            return
        self.problem = problem
        self._loop.call_soon(self._abort_now)

    def close(self) -> None:
        """Aborts the transfer if it still runs, and stops its timer."""
        self._abort_now()
        self._deadline_timer.cancel()

    def pass_head(self) -> AnswerHead:
        """Passes the head to the sink unless that is done; returns it."""
        if self._head is None:
            self._head = self._build_head()
            self._sink.start(self._head)
        return self._head

    @property
    def head_passed(self) -> bool:
        """Returns whether the head was passed to the sink."""
        return self._head is not None

    @property
    def refused(self) -> bool:
        """Returns whether an engine refused the attempt with status 503."""
        return self._may_refuse and self.status == 503

    def check_head(self) -> bool:
        """Returns whether the answer belongs to the attempt and is framed.

        If not, sets `problem`: an answer whose head was cut off, that echoes
        the id of another attempt, or that has neither a length nor chunked
        encoding, is rejected.
        """
        head = self._head_reader.head
        if head is None:
            self._reject(self._head_reader.error or "the answer has no head")
            return False
        echoed_attempt_id = self.header("x-attempt-id")
        if echoed_attempt_id and echoed_attempt_id != self._attempt_id:
            self._reject(f"got the answer of attempt {echoed_attempt_id!r}")
            return False
        if not self._is_framed(head):
            self._reject("the answer has no length and is not chunked")
            return False
        return True

    def header(self, wanted: str) -> str:
        """Returns the last value of a header, or "" if it is absent.

        Args:
            wanted: Name of the header in lower case.
        """
        found = ""
        for name, value in self._fields:
            if name == wanted:
                found = value
        return found

    def _is_framed(self, head: ResponseHead) -> bool:
        """Returns whether the head determines where the body ends."""
        if self._method == "HEAD" or head.is_chunked:
            return True
        return head.body_bytes is not None

    def _reject(self, detail: str) -> None:
        """Sets the problem of an answer that must not be passed on."""
        self.problem = Problem(ErrorKind.OUTCOME_UNKNOWN, f"runner: {detail}")

    def _on_head(self, head: ResponseHead) -> bool:
        """Records the head; returns whether to go on."""
        self.status = head.status
        self._fields = [(name.lower(), value) for name, value in head.fields]
        return True

    def _on_body(self, data: bytes) -> int:
        """Handles bytes of the body; curl callback.

        Returns:
            The number of bytes if they are accepted; WRITEFUNC_PAUSE if the
            sink refuses them for now; zero to make curl fail the transfer.
        """
        if self.problem is not None:
            return 0
        if self.refused:
            self.refusal = (self.refusal + data)[:MAX_REFUSAL_BYTES]
            return len(data)
        if self._head is None and not self.check_head():
            return 0
        try:
            self.pass_head()
            accepted = self._sink.accept(data)
        except Exception as error:
            # pycurl would only print it, so the caller of the client raises it.
            self.error = error
            return 0
        if not accepted:
            self._paused_at_seconds = self._loop.time()
            return int(pycurl.WRITEFUNC_PAUSE)
        self.size_bytes += len(data)
        return len(data)

    def _build_head(self) -> AnswerHead:
        """Builds the head from the headers received so far."""
        headers = []
        for name, value in self._fields:
            if name in FORWARDED_HEADERS:
                headers.append((name.title(), value))
        received = self._head_reader.head
        return AnswerHead(
            self.status,
            content_type=self.header("content-type") or DEFAULT_CONTENT_TYPE,
            headers=tuple(headers),
            size_bytes=None if received is None else received.length_bytes,
            adapter_version=self.header("x-adapter-version"),
        )

    def _is_running(self) -> bool:
        """Returns whether the curl handle still works for this transfer."""
        if self._aborted or self._curl is None:
            return False
        return self._curl.info is self._curl_info

    def _resume_now(self) -> None:
        """Resumes a paused transfer and extends its deadline by the pause."""
        if not self._is_running():
            return
        if self._paused_at_seconds is None:
            return
        self._deadline_seconds += self._loop.time() - self._paused_at_seconds
        self._paused_at_seconds = None
        self._client.resume_transfer(self._curl)

    def _abort_now(self) -> None:
        """Aborts the transfer unless it has ended or been aborted."""
        if not self._is_running():
            return
        self._aborted = True
        self._client.abort_transfer(self._curl, "given up")

    def _on_deadline(self) -> None:
        """Cancels the attempt if its deadline, extended by pauses, passed."""
        now_seconds = self._loop.time()
        due_seconds = self._deadline_seconds
        if self._paused_at_seconds is not None:
            due_seconds += now_seconds - self._paused_at_seconds
        if due_seconds > now_seconds:
            self._deadline_timer = self._loop.call_at(
                due_seconds, self._on_deadline
            )
            return
        self.cancel(
            Problem(
                ErrorKind.DEADLINE_PASSED,
                "the answer was not whole at the deadline",
            )
        )
