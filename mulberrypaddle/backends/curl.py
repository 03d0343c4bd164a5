"""What the clients over tornado's curl client share."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

if TYPE_CHECKING:
    from collections.abc import Callable

# curl errors after which no byte of the request can have been processed.
UNSENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)

MAX_CLIENTS = 2048

# Kernel buffer of a connection to a runner; it fills before a paused
# transfer holds the runner back.
RECEIVE_SOCKET_BYTES = 32_768


class CurlClient(tornado.curl_httpclient.CurlAsyncHTTPClient):
    """A curl client whose transfers can be paused and given up.

    Handles are made when they are needed, since each takes memory. No
    method may be called from inside a callback of curl.
    """

    def close(self) -> None:
        """Closes all handles; running transfers end without a word."""
        super().close()
        # Closing a handle may have set the timer once more.
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def _process_queue(self) -> None:
        missing = len(self._requests) - len(self._free_list)
        while missing > 0 and len(self._curls) < MAX_CLIENTS:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
            missing -= 1
        super()._process_queue()

    def resume_transfer(self, curl: pycurl.Curl) -> None:
        """Goes on with a transfer whose write callback asked for a pause."""
        # A transfer that failed meanwhile says so here; its end is told
        # by the usual way.
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        # libcurl may hold the bytes already, with no socket event to come.
        self._set_timeout(0)

    def abort_transfer(self, curl: pycurl.Curl, reason: str) -> None:
        """Ends a running transfer at once and closes its connection."""
        if getattr(curl, "info", None) is None:
            return
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, reason)
        self._set_timeout(0)


def make_client() -> CurlClient:
    """Returns a curl client of its own, bound to the running loop."""
    return CurlClient(force_instance=True, max_clients=1)


def bound_receive_buffer(descriptor: int, purpose: int) -> int:
    """Bounds what the kernel holds of an answer (a SOCKOPTFUNCTION).

    Args:
        descriptor: The new socket.
        purpose: Not used.
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


def bound_answer(most_bytes: int) -> Callable[[pycurl.Curl], None]:
    """Returns what makes curl give an answer up beyond a size.

    Args:
        most_bytes: Longest body that is taken, in bytes.
    """

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXFILESIZE, most_bytes)

    return prepare


def was_unsent(error: BaseException) -> bool:
    """Returns whether an error proves that nothing was sent."""
    number = getattr(error, "errno", None)
    return number in UNSENT_ERRORS
