"""Curl client and options that the HTTP clients of the system share."""

from __future__ import annotations

import contextlib
import functools
import socket
from typing import TYPE_CHECKING, Any

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from mulberrypaddle.backends.connection_bytes import DescriptorTable
from mulberrypaddle.backends.head_reader import HeadReader

if TYPE_CHECKING:
    from collections.abc import Callable
    from io import BytesIO

    from tornado.httputil import HTTPHeaders

    from mulberrypaddle.backends.response_head import ResponseHead

# curl errors that occur before any byte of the request is sent.
UNSENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)

# Maximum number of concurrent transfers of one client.
MAX_CLIENTS = 2048

# Kernel receive buffer of a connection to a runner. Backpressure from a paused
# transfer reaches the runner only once this buffer is full.
RECEIVE_SOCKET_BYTES = 32_768


class CurlClient(tornado.curl_httpclient.CurlAsyncHTTPClient):
    """A curl client whose transfers can be paused and aborted.

    A transfer fails if the head of its answer is not sound, whatever reads it.

    Curl handles are created on demand, since each uses memory. No method may
    be called from inside a curl callback.

    Attributes:
        descriptors: Open connections of which transfers recorded descriptors.
    """

    def initialize(self, *args: Any, **options: Any) -> None:
        """Prepares the client; tornado calls this in place of `__init__`."""
        super().initialize(*args, **options)
        self.descriptors = DescriptorTable()

    def close(self) -> None:
        """Closes all handles; callbacks of running transfers aren't called."""
        super().close()
        # Closing a handle may have set the timer again.
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def _process_queue(self) -> None:
        """Creates the handles that queued requests lack, then starts them."""
        missing = len(self._requests) - len(self._free_list)
        while missing > 0 and len(self._curls) < MAX_CLIENTS:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
            missing -= 1
        super()._process_queue()

    def read_head(self, curl: pycurl.Curl, reader: HeadReader) -> None:
        """Passes the head of an answer to a reader, not to the response.

        Args:
            curl: Handle whose request is being prepared.
            reader: Reads the head.
        """
        curl.info["head_reader"] = reader

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: tornado.httpclient.HTTPRequest,
        buffer: BytesIO,
        headers: HTTPHeaders,
    ) -> None:
        """Sets the options of a handle; the last of them reads the head."""
        super()._curl_setup_request(curl, request, buffer, headers)
        if "head_reader" not in curl.info:
            reader = HeadReader(
                functools.partial(_store_fields, headers),
                has_heads_behind=bool(request.follow_redirects),
            )
            self.read_head(curl, reader)
        curl.setopt(pycurl.HEADERFUNCTION, curl.info["head_reader"].read_line)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """Ends a transfer, as a failure if there is no sound head."""
        reader = curl.info["head_reader"]
        if reader.error:
            curl_error = curl_error or pycurl.E_RECV_ERROR
            curl_message = reader.error
        elif not curl_error and reader.head is None:
            curl_error = pycurl.E_GOT_NOTHING
            curl_message = "the answer ended before its head did"
        super()._finish(curl, curl_error, curl_message)

    def resume_transfer(self, curl: pycurl.Curl) -> None:
        """Resumes a transfer that its write callback paused."""
        # Raises if the transfer has failed meanwhile; the failure is reported
        # through the usual completion callback.
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        # libcurl may have buffered the bytes, so that no socket event follows.
        self._set_timeout(0)

    def abort_transfer(self, curl: pycurl.Curl, reason: str) -> None:
        """Aborts a running transfer at once and closes its connection."""
        if getattr(curl, "info", None) is None:
            return
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, reason)
        self._set_timeout(0)


def _store_fields(headers: HTTPHeaders, head: ResponseHead) -> bool:
    """Stores the fields of a head in those of a response."""
    headers.clear()
    for name, value in head.fields:
        headers.add(name, value)
    return True


def make_client() -> CurlClient:
    """Returns a new curl client, bound to the running event loop."""
    return CurlClient(force_instance=True, max_clients=1)


def limit_receive_buffer(descriptor: int, purpose: int) -> int:
    """Limits the receive buffer of a new socket (curl SOCKOPTFUNCTION).

    Args:
        descriptor: File descriptor of the new socket.
        purpose: Unused; curl's type of the socket.
    """
    connection = socket.socket(fileno=descriptor)
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_SOCKET_BYTES
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)


def limit_answer_size(max_bytes: int) -> Callable[[pycurl.Curl], None]:
    """Returns a function that limits the answer size of a curl handle.

    Transfers with a larger answer fail.

    Args:
        max_bytes: Maximum size of the body.
    """

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXFILESIZE, max_bytes)

    return prepare


def proves_unsent(error: BaseException) -> bool:
    """Returns whether an error proves that no byte was sent."""
    number = getattr(error, "errno", None)
    return number in UNSENT_ERRORS
