"""One HTTP call to a runner.

When a kept connection closes before an answer came, curl sends the request
again by itself, so that a runner could run it twice. A call therefore never
lets curl send more than once, and uses a kept connection only if its request
may be repeated. A late second copy of an earlier answer on a kept connection
bears the id of another request; `on_head` rejects it, and the connection is
closed.
"""

from __future__ import annotations

import asyncio
import enum
import re
from typing import TYPE_CHECKING

import pycurl
import tornado.httpclient

from mulberrypaddle.backends.answer_bytes import AnswerBytes
from mulberrypaddle.backends.head_reader import HeadReader
from mulberrypaddle.serving.socket_options import enable_keepalive_probes
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends.curl import CurlClient
    from mulberrypaddle.backends.response_head import ResponseHead

# Timeout for connecting. A healthy VM accepts within a few milliseconds, a dead
# one never; with an overloaded runner, or a saturated link of this router, it
# takes a few hundred milliseconds.
CONNECT_TIMEOUT_MILLISECONDS = 400

# Idle time, in whole seconds, after which curl doesn't use a connection again;
# `IdleConnections` limits it further.
MAX_IDLE_SECONDS = 5

# Size of curl's receive buffer for one answer.
RECEIVE_BUFFER_BYTES = 16_384

# Idle timeout that a runner may announce, in seconds.
_IDLE_SECONDS = re.compile("[0-9]{1,6}")

# Why an answer with a line that curl has joined to another can't be used.
_JOINED_LINES = "a line of the head begins with a blank"

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
        STALE: The same, and not a byte of an answer came over a kept
            connection: mostly the runner had just closed it.
        CANCELLED: The call was cancelled by `RunnerCall.cancel`.
    """

    COMPLETE = "complete"
    UNSENT = "unsent"
    BROKEN = "broken"
    STALE = "stale"
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
        uses_kept_connection: Whether an idle connection may be used.
        keep_alive_seconds: Idle timeout that the runner announced for the
            connection; None if the connection can't be used again.
    """

    __slots__ = (
        "_answer_bytes",
        "_cancelled",
        "_client",
        "_curl",
        "_ended",
        "_head_reader",
        "_handle_info",
        "_loop",
        "_may_send",
        "_method",
        "_new_descriptor",
        "_suspension",
        "_is_head_accepted",
        "_on_body",
        "_on_head",
        "_paused",
        "uses_kept_connection",
        "error",
        "keep_alive_seconds",
        "last_progress_at_seconds",
        "sent",
    )

    def __init__(
        self,
        client: CurlClient,
        *,
        on_head: Callable[[int, list[tuple[str, str]]], bool],
        on_body: Callable[[bytes], bool],
        uses_kept_connection: bool = False,
        may_send: Callable[[], bool] = lambda: True,
        on_head_bytes: Callable[[int], bool] = lambda _: True,
    ) -> None:
        """Prepares a call.

        Args:
            client: The curl client of the process.
            on_head: Called once, with the status and the headers. Returns
                whether they belong to this call; if not, the call ends and its
                connection is closed.
            on_body: Called with each chunk of the body. Returns whether to
                go on; if not, the transfer pauses until `resume`.
            uses_kept_connection: Whether an idle connection of an earlier call
                may be used, so that the request may have to be sent again.
            may_send: Called once connected, just before the request is sent;
                False prevents that.
            on_head_bytes: Called with the bytes that the call holds of the
                head, each time that there are more. Returns whether to go on;
                if not, the call ends.
        """
        self._client = client
        self._on_head = on_head
        self._on_body = on_body
        self._may_send = may_send
        self._head_reader = HeadReader(self._handle_head, on_size=on_head_bytes)
        self._answer_bytes = AnswerBytes()
        self._method = ""
        # Descriptor of the connection if the call has opened it.
        self._new_descriptor: int | None = None
        self._loop = asyncio.get_running_loop()
        self._suspension = SuspensionMark()
        self._curl: pycurl.Curl | None = None
        self._handle_info: object = None
        self.uses_kept_connection = uses_kept_connection
        # Whether the head was received and belongs to this call.
        self._is_head_accepted = False
        self._paused = False
        self._cancelled = False
        self._ended = False
        self.sent = False
        self.error = ""
        self.keep_alive_seconds: float | None = None
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
        self._method = method
        self._suspension = SuspensionMark()

        def prepare(curl: pycurl.Curl) -> None:
            self._configure_curl(curl, target, lines)
            if method == "GET" and body:
                curl.setopt(pycurl.CUSTOMREQUEST, method)

        request = tornado.httpclient.HTTPRequest(
            f"http://{address}/",
            # tornado refuses to send a body with GET.
            method="POST" if method == "GET" and body else method,
            body=body if body or method in ("POST", "PUT", "PATCH") else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=CONNECT_TIMEOUT_MILLISECONDS / 1000,
            request_timeout=0,
            prepare_curl_callback=prepare,
        )
        failure = ""
        try:
            await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            failure = str(error)
        finally:
            self._ended = True
            self._curl = None
        if self._head_reader.head is not None and (
            self._answer_bytes.head_is_whole is None
        ):
            failure = _JOINED_LINES
        self.error = self.error or self._head_reader.error or failure
        if self._cancelled:
            return CallOutcome.CANCELLED
        if not self.sent:
            return CallOutcome.UNSENT
        if self.error or not self._is_head_accepted:
            self.keep_alive_seconds = None
            has_begun = self._head_reader.received_bytes > 0
            if self.uses_kept_connection and not has_begun:
                return CallOutcome.STALE
            return CallOutcome.BROKEN
        return CallOutcome.COMPLETE

    @property
    def has_marked_end(self) -> bool:
        """Returns whether the answer has a length or comes in chunks."""
        head = self._head_reader.head
        return head is not None and head.has_marked_end

    @property
    def body_is_longer(self) -> bool:
        """Returns whether more of the body has come than its length tells."""
        return self._answer_bytes.body_is_longer

    @property
    def has_ended(self) -> bool:
        """Returns whether the call has ended, in whatever way."""
        return self._ended

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

    def _stop_log(self) -> None:
        """Ends curl's log of received bytes if the call is still running."""
        if self._owns_handle():
            assert self._curl is not None
            self._curl.setopt(pycurl.VERBOSE, 0)

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
        curl.setopt(pycurl.FRESH_CONNECT, not self.uses_kept_connection)
        curl.setopt(pycurl.FORBID_REUSE, 0)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_SECONDS)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        # pycurl rejects strings with other characters than those of ASCII.
        curl.setopt(pycurl.REQUEST_TARGET, target.encode("latin-1"))
        curl.setopt(
            pycurl.HTTPHEADER, [line.encode("latin-1") for line in lines]
        )
        curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MILLISECONDS)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)
        # curl logs each part of a body as it was received.
        curl.setopt(pycurl.VERBOSE, 1)
        curl.setopt(pycurl.DEBUGFUNCTION, self._handle_log)
        self._client.read_head(curl, self._head_reader)
        curl.setopt(pycurl.WRITEFUNCTION, self._handle_body)

    def _on_socket(self, descriptor: int, purpose: int) -> int:
        """Sets the options of a new socket; curl's SOCKOPTFUNCTION."""
        self._new_descriptor = descriptor
        return enable_keepalive_probes(descriptor, purpose)

    def _on_connected(
        self, _: str, local_ip: str, __: int, local_port: int
    ) -> int:
        """Decides whether to send, once connected; curl's PREREQFUNCTION.

        curl calls it again before it repeats a request by itself.
        """
        if self.sent:
            self.error = "the kept connection was closed"
            return int(pycurl.PREREQFUNC_ABORT)
        if self._cancelled:
            # It waited for a free handle, or `_abort` has yet to run.
            self.error = "it was cancelled before it was sent"
            return int(pycurl.PREREQFUNC_ABORT)
        if not self._suspension.is_valid():
            # By now the deadline may have passed, or another runner may have
            # this address.
            self.error = "this router was suspended before it could send"
            return int(pycurl.PREREQFUNC_ABORT)
        if not self._may_send():
            self.error = "it must not be sent to this runner any more"
            return int(pycurl.PREREQFUNC_ABORT)
        address = (local_ip, local_port)
        descriptors = self._client.descriptors
        if self._new_descriptor is not None:
            descriptors.add(self._new_descriptor, address)
        self._answer_bytes.start(
            descriptors.find(address), is_new=self._new_descriptor is not None
        )
        # From here on the request may have reached the runner.
        self.sent = True
        self.last_progress_at_seconds = self._loop.time()
        return int(pycurl.PREREQFUNC_OK)

    def _handle_head(self, head: ResponseHead) -> bool:
        """Reports the head unless it must be compared with the body first.

        Returns:
            Whether to go on.
        """
        self._answer_bytes.end_head(
            self._head_reader.received_bytes,
            length_bytes=None if self._method == "HEAD" else head.body_bytes,
        )
        if self._answer_bytes.head_is_whole is None:
            return True
        return self._accept_head(head)

    def _handle_log(self, kind: int, data: bytes) -> None:
        """Counts the bytes of the body as received; curl's DEBUGFUNCTION.

        It is called before curl decodes these bytes.
        """
        if kind != pycurl.INFOTYPE_DATA_IN:
            return
        was_known = self._answer_bytes.head_is_whole is not None
        self._answer_bytes.add_body(data)
        head = self._head_reader.head
        if not was_known and head is not None:
            self._accept_head(head)

    def _accept_head(self, head: ResponseHead) -> bool:
        """Reports the head if curl has passed on all of its lines unchanged.

        Returns:
            Whether it belongs to this call.
        """
        if not self._answer_bytes.head_is_whole:
            self.error = _JOINED_LINES
            return False
        self.last_progress_at_seconds = self._loop.time()
        if not self._on_head(head.status, head.fields):
            return False
        if self._answer_bytes.is_done:
            # Options can't be set within curl's callbacks.
            self._loop.call_soon(self._stop_log)
        self._is_head_accepted = True
        self.keep_alive_seconds = _parse_keep_alive(head.fields)
        return True

    def _handle_body(self, data: bytes) -> int | None:
        """Passes a chunk to `on_body`, or pauses; curl's WRITEFUNCTION."""
        if self._cancelled:
            return None
        if not self._is_head_accepted:
            self.error = self.error or "the answer has a body without a head"
            return 0
        if self._paused:
            return int(pycurl.WRITEFUNC_PAUSE)
        if not self._on_body(data):
            # These bytes were handled; only the next ones are paused.
            self._paused = True
        return None


def _parse_keep_alive(headers: list[tuple[str, str]]) -> float | None:
    """Returns the announced idle timeout of a connection in seconds, or None.

    None if the connection will be closed, or if no timeout is announced.
    """
    timeout_seconds: float | None = None
    for name, value in headers:
        if name.lower() == "connection" and "close" in value.lower():
            return None
        if name.lower() != "keep-alive":
            continue
        for parameter in value.split(","):
            key, _, number = parameter.partition("=")
            seconds = number.strip()
            if key.strip().lower() == "timeout" and (
                _IDLE_SECONDS.fullmatch(seconds) is not None
            ):
                timeout_seconds = float(seconds)
    return timeout_seconds


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
