"""What the clients over tornado's curl client share."""

from __future__ import annotations

import pycurl
import tornado.curl_httpclient
import tornado.httpclient

# curl errors after which no byte of the request can have been processed.
UNSENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)

MAX_CLIENTS = 2048


def make_client() -> tornado.curl_httpclient.CurlAsyncHTTPClient:
    """Returns a curl client of its own, bound to the running loop."""
    return tornado.curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS
    )


def was_unsent(error: BaseException) -> bool:
    """Returns whether an error proves that nothing was sent."""
    number = getattr(error, "errno", None)
    return number in UNSENT_ERRORS
