"""One sending of a request to a runner, over a connection of its own.

curl sends a request again by itself when a kept connection dies before an
answer, so that a runner may run it twice. Each call therefore makes its own
connection, which also keeps late bytes of one answer out of the next.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import pycurl
import tornado.httpclient

from mulberrypaddle.serving.sockets import probe_dead_peers
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends.curl import CurlClient

# Time for a connection: a VM answers in a few milliseconds, a dead one never;
# a full runner, or a router whose own link is full, takes some hundred.
CONNECT_TIMEOUT_MILLISECONDS = 400

# Buffer of curl for one answer.
RECEIVE_BUFFER_BYTES = 16_384

# Headers that curl would add of its own.
_CURLS_OWN = ("Accept", "User-Agent", "Content-Type", "Expect", "Pragma")


class CallEnd(enum.Enum):
    """How a call ended."""

    COMPLETE = "complete"
    UNSENT = "unsent"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class RunnerCall:
    """Sends one request and hands on the answer as it comes.

    Attributes:
        sent: Whether the request may have left this VM.
        error: What curl said, if the call broke.
        last_sign_at_seconds: Loop time at which the connection was made or the
            head of the answer came. Bytes of the body are no sign of work: a
            runner that stands still may send some now and then.
    """

    __slots__ = (
        "_cancelled",
        "_client",
        "_curl",
        "_ended",
        "_head_done",
        "_headers",
        "_info",
        "_loop",
        "_mark",
        "_on_body",
        "_on_head",
        "_paused",
        "_status",
        "error",
        "last_sign_at_seconds",
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
            on_head: Takes status and headers, once.
            on_body: Takes bytes of the body and returns whether more may
                come at once; the same bytes are never given twice.
        """
        self._client = client
        self._on_head = on_head
        self._on_body = on_body
        self._loop = asyncio.get_running_loop()
        self._mark = SuspensionMark()
        self._curl: pycurl.Curl | None = None
        self._info: object = None
        self._headers: list[tuple[str, str]] = []
        self._status = 0
        self._head_done = False
        self._paused = False
        self._cancelled = False
        self._ended = False
        self.sent = False
        self.error = ""
        self.last_sign_at_seconds = self._loop.time()

    async def run(
        self,
        address: str,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> CallEnd:
        """Sends the request and waits for the end of the answer.

        Args:
            address: Runner, as host:port.
            method: HTTP method.
            target: Path and query, as the caller sent them.
            headers: Headers of the request, in order.
            body: Body of the request; empty if it has none.
        """
        lines = _header_lines(headers)
        self._mark = SuspensionMark()

        def prepare(curl: pycurl.Curl) -> None:
            self._prepare(curl, target, lines)

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
            return CallEnd.CANCELLED
        if not self.sent:
            return CallEnd.UNSENT
        if self.error or not self._head_done:
            return CallEnd.BROKEN
        return CallEnd.COMPLETE

    def cancel(self) -> None:
        """Gives the call up and closes its connection; not from callbacks."""
        if self._ended or self._cancelled:
            return
        self._cancelled = True
        self._loop.call_soon(self._abort)

    def resume(self) -> None:
        """Goes on after `on_body` asked for a pause."""
        if not self._paused or self._ended:
            return
        self._paused = False
        self._loop.call_soon(self._unpause)

    def _abort(self) -> None:
        if self._owns_handle():
            assert self._curl is not None
            self._client.abort_transfer(self._curl, "given up")

    def _unpause(self) -> None:
        if self._owns_handle():
            assert self._curl is not None
            self._client.resume_transfer(self._curl)

    def _owns_handle(self) -> bool:
        """Returns whether the handle still works for this call."""
        if self._curl is None or self._ended:
            return False
        return getattr(self._curl, "info", None) is self._info

    def _prepare(
        self, curl: pycurl.Curl, target: str, lines: list[str]
    ) -> None:
        self._curl = curl
        self._info = curl.info
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.REQUEST_TARGET, target)
        curl.setopt(pycurl.HTTPHEADER, lines)
        curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MILLISECONDS)
        curl.setopt(pycurl.SOCKOPTFUNCTION, probe_dead_peers)
        curl.setopt(pycurl.PREREQFUNCTION, self._connected)
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._take_body)

    def _connected(self, *_: object) -> int:
        if not self._mark.holds():
            # Its time may be up, or its runner be another one by now.
            self.error = "this router was suspended before it could send"
            return int(pycurl.PREREQFUNC_ABORT)
        # From here on the request may have reached the runner.
        self.sent = True
        self.last_sign_at_seconds = self._loop.time()
        return int(pycurl.PREREQFUNC_OK)

    def _take_header(self, line: bytes) -> None:
        text = line.decode("latin-1").rstrip("\r\n")
        if self._head_done:
            # Trailers say nothing that is passed on.
            return
        if text.startswith("HTTP/"):
            self._status = _status_of(text)
            self._headers = []
            return
        if text:
            name, _, value = text.partition(":")
            self._headers.append((name.strip(), value.strip()))
            return
        if self._status < 200:
            return
        self._head_done = True
        self.last_sign_at_seconds = self._loop.time()
        self._on_head(self._status, self._headers)

    def _take_body(self, data: bytes) -> int | None:
        if self._cancelled:
            return None
        if self._paused:
            return int(pycurl.WRITEFUNC_PAUSE)
        if not self._on_body(data):
            # These bytes are taken; the next ones wait.
            self._paused = True
        return None


def _status_of(line: str) -> int:
    parts = line.split(" ", 2)
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def _header_lines(headers: list[tuple[str, str]]) -> list[str]:
    """Returns headers in curl's form, and those of its own switched off."""
    given = {name.lower() for name, _ in headers}
    lines = [
        f"{name}: {value}" if value else f"{name};" for name, value in headers
    ]
    for name in _CURLS_OWN:
        if name.lower() not in given:
            lines.append(f"{name}:")
    return lines
