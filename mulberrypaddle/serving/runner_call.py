"""One HTTP call to a runner, over a new connection.

When a reused connection closes before an answer came, curl sends the request
again by itself, so that a runner may run it twice. Each call therefore opens a
new connection. That also keeps late bytes of one answer out of the next one.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import pycurl
import tornado.httpclient

from mulberrypaddle.serving.socket_options import enable_keepalive_probes
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends.curl import CurlClient

# Timeout for connecting. A healthy VM accepts within a few milliseconds, a dead
# one never; with an overloaded runner, or a saturated link of this router, it
# takes a few hundred milliseconds.
CONNECT_TIMEOUT_MILLISECONDS = 400

# Size of curl's receive buffer for one answer.
RECEIVE_BUFFER_BYTES = 16_384

# Headers that curl adds by default, and that must be suppressed.
_CURL_DEFAULT_HEADERS = (
    "Accept",
    "User-Agent",
    "Content-Type",
    "Expect",
    "Pragma",
)


class CallOutcome(enum.Enum):
    """How a call ended.

    Attributes:
        COMPLETE: The complete answer was received.
        UNSENT: The request was not sent, so that it certainly did not run.
        BROKEN: The request may have been sent, but no complete answer came.
        CANCELLED: The call was cancelled by `RunnerCall.cancel`.
    """

    COMPLETE = "complete"
    UNSENT = "unsent"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class RunnerCall:
    """Sends one request and reports the answer by callbacks as it arrives.

    Attributes:
        sent: Whether any byte of the request may have reached the runner.
        error: Why the call failed; empty if it did not.
        last_progress_at_seconds: Loop time in seconds at which the call was
            created, the connection was made or the head of the answer was
            received, whichever is the latest. Bytes of the body don't count: a
            stalled runner may still send some now and then.
    """

    __slots__ = (
        "_cancelled",
        "_client",
        "_curl",
        "_ended",
        "_head_complete",
        "_headers",
        "_handle_info",
        "_loop",
        "_suspension",
        "_on_body",
        "_on_head",
        "_paused",
        "_status",
        "error",
        "last_progress_at_seconds",
        "sent",
    )

    def __init__(
        self,
        client: CurlClient,
        *,
        on_head: Callable[[int, list[tuple[str, str]]], None],
        on_body: Callable[[bytes], bool],
    ) -> None:
        """Prepares a call.

        Args:
            client: The curl client of the process.
            on_head: Called once, with the status and the headers.
            on_body: Called with each chunk of the body. Returns whether to
                go on; if not, the transfer pauses until `resume`.
        """
        self._client = client
        self._on_head = on_head
        self._on_body = on_body
        self._loop = asyncio.get_running_loop()
        self._suspension = SuspensionMark()
        self._curl: pycurl.Curl | None = None
        self._handle_info: object = None
        self._headers: list[tuple[str, str]] = []
        self._status = 0
        self._head_complete = False
        self._paused = False
        self._cancelled = False
        self._ended = False
        self.sent = False
        self.error = ""
        self.last_progress_at_seconds = self._loop.time()

    async def run(
        self,
        address: str,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> CallOutcome:
        """Sends the request and waits for the end of the answer.

        Args:
            address: Address of the runner, as host:port.
            method: HTTP method.
            target: Path and query, as the caller sent them.
            headers: Headers of the request, in order.
            body: Body of the request; empty if it has none.
        """
        lines = _header_lines(headers)
        self._suspension = SuspensionMark()

        def prepare(curl: pycurl.Curl) -> None:
            self._configure_curl(curl, target, lines)

        request = tornado.httpclient.HTTPRequest(
            f"http://{address}/",
            method=method,
            body=body if body or method in ("POST", "PUT", "PATCH") else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=CONNECT_TIMEOUT_MILLISECONDS / 1000,
            request_timeout=0,
            prepare_curl_callback=prepare,
        )
        try:
            await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            self.error = self.error or str(error)
        finally:
            self._ended = True
            self._curl = None
        if self._cancelled:
            return CallOutcome.CANCELLED
        if not self.sent:
            return CallOutcome.UNSENT
        if self.error or not self._head_complete:
            return CallOutcome.BROKEN
        return CallOutcome.COMPLETE

    def cancel(self) -> None:
        """Cancels the call and closes its connection.

        The transfer is aborted from the event loop, since curl does not allow
        that within its callbacks.
        """
        if self._ended or self._cancelled:
            return
        self._cancelled = True
        self._loop.call_soon(self._abort)

    def resume(self) -> None:
        """Continues a transfer that `on_body` paused."""
        if not self._paused or self._ended:
            return
        self._paused = False
        self._loop.call_soon(self._unpause)

    def _abort(self) -> None:
        """Closes the connection if the call is still running."""
        if self._owns_handle():
            assert self._curl is not None
            self._client.abort_transfer(self._curl, "call cancelled")

    def _unpause(self) -> None:
        """Continues the paused transfer if the call is still running."""
        if self._owns_handle():
            assert self._curl is not None
            self._client.resume_transfer(self._curl)

    def _owns_handle(self) -> bool:
        """Returns whether the curl handle still belongs to this call.

        The client reuses handles, with a new `info` for each request.
        """
        if self._curl is None or self._ended:
            return False
        return getattr(self._curl, "info", None) is self._handle_info

    def _configure_curl(
        self, curl: pycurl.Curl, target: str, lines: list[str]
    ) -> None:
        """Sets the options of the curl handle for this call."""
        self._curl = curl
        self._handle_info = curl.info
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.REQUEST_TARGET, target)
        curl.setopt(pycurl.HTTPHEADER, lines)
        curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MILLISECONDS)
        curl.setopt(pycurl.SOCKOPTFUNCTION, enable_keepalive_probes)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        curl.setopt(pycurl.HEADERFUNCTION, self._handle_header_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._handle_body)

    def _on_connected(self, *_: object) -> int:
        """Decides whether to send, once connected; curl's PREREQFUNCTION."""
        if not self._suspension.is_valid():
            # By now the deadline may have passed, or another runner may have
            # this address.
            self.error = "this router was suspended before it could send"
            return int(pycurl.PREREQFUNC_ABORT)
        # From here on the request may have reached the runner.
        self.sent = True
        self.last_progress_at_seconds = self._loop.time()
        return int(pycurl.PREREQFUNC_OK)

    def _handle_header_line(self, line: bytes) -> None:
        """Collects header lines and reports the head after the last one.

        Interim responses (status below 200) are skipped.
        """
        text = line.decode("latin-1").rstrip("\r\n")
        if self._head_complete:
            # Trailers are ignored.
            return
        if text.startswith("HTTP/"):
            self._status = _parse_status(text)
            self._headers = []
            return
        if text:
            name, _, value = text.partition(":")
            self._headers.append((name.strip(), value.strip()))
            return
        if self._status < 200:
            return
        self._head_complete = True
        self.last_progress_at_seconds = self._loop.time()
        self._on_head(self._status, self._headers)

    def _handle_body(self, data: bytes) -> int | None:
        """Passes a chunk to `on_body`, or pauses; curl's WRITEFUNCTION."""
        if self._cancelled:
            return None
        if self._paused:
            return int(pycurl.WRITEFUNC_PAUSE)
        if not self._on_body(data):
            # These bytes were handled; only the next ones are paused.
            self._paused = True
        return None


def _parse_status(line: str) -> int:
    """Returns the status code of a status line, or 0 if there is none."""
    parts = line.split(" ", 2)
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def _header_lines(headers: list[tuple[str, str]]) -> list[str]:
    """Returns headers in curl's format, with curl's defaults suppressed."""
    given = {name.lower() for name, _ in headers}
    lines = [
        f"{name}: {value}" if value else f"{name};" for name, value in headers
    ]
    for name in _CURL_DEFAULT_HEADERS:
        if name.lower() not in given:
            lines.append(f"{name}:")
    return lines
