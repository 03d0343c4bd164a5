"""What a coroutine of a test leaves behind when its event loop ends."""

from __future__ import annotations

import testtools

from mulberrypaddle.backends.curl import CurlClient, make_client
from tests.support.asynchronous import run


class LeftClientTest(testtools.TestCase):
    """Curl clients that are not closed."""

    def test_client_that_was_left_open_fails_when_it_is_collected(self) -> None:
        async def leave() -> CurlClient:
            return make_client()

        async def close() -> CurlClient:
            client = make_client()
            client.close()
            return client

        for scenario in (leave, close):
            self._assert_closed(run(scenario()))

    def test_client_is_closed_after_an_error(self) -> None:
        clients: list[CurlClient] = []

        async def fail() -> None:
            clients.append(make_client())
            raise ValueError("unexpected")

        self.assertRaises(ValueError, run, fail())
        self._assert_closed(clients[0])

    def _assert_closed(self, client: CurlClient) -> None:
        with self.assertRaisesRegex(RuntimeError, "on closed"):
            client.fetch("http://127.0.0.1/")
