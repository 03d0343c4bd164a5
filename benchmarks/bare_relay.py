"""A minimal tornado-and-curl relay, the baseline of `router_cpu_cost`.

Run as `python -m benchmarks.bare_relay PORT RUNNER_ADDRESS`. It relays to a
single runner, without authentication, limits or backpressure.
"""

from __future__ import annotations

import asyncio
import sys

import tornado.curl_httpclient
import tornado.httpclient
import tornado.httpserver
import tornado.netutil
import tornado.web

from mulberrypaddle.standins.local_server import LOOPBACK

MAX_CLIENTS = 512
SERVICE_PREFIX = "/services/card-writer"


class _RelayHandler(tornado.web.RequestHandler):
    def initialize(
        self, client: tornado.httpclient.AsyncHTTPClient, runner: str
    ) -> None:
        self.client = client
        self.runner = runner

    async def post(self) -> None:
        """Relays one request and streams the answer back."""
        path = self.request.path.removeprefix(SERVICE_PREFIX)
        await self.client.fetch(
            tornado.httpclient.HTTPRequest(
                f"http://{self.runner}{path}",
                method="POST",
                body=self.request.body,
                headers={"X-Attempt-Id": str(id(self))},
                request_timeout=300,
                streaming_callback=self._relay,
            )
        )

    def _relay(self, data: bytes) -> None:
        """Writes one chunk of the runner's answer to the caller."""
        self.write(data)
        self.flush()


class _ReadyHandler(tornado.web.RequestHandler):
    def get(self) -> None:
        """Reports that the relay is running."""
        self.finish("ready")


async def _serve(port: int, runner: str) -> None:
    """Serves the relay until the process is ended."""
    client = tornado.curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS
    )
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(
            [
                (r"/readyz", _ReadyHandler),
                (r"/.*", _RelayHandler, {"client": client, "runner": runner}),
            ]
        )
    )
    server.add_sockets(tornado.netutil.bind_sockets(port, LOOPBACK))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1]), sys.argv[2]))
