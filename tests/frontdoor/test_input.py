"""Tests of invalid HTTP input, and of what is forwarded to a service."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import testtools
from testtools import matchers

from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.frontdoor import call
from mulberrypaddle.frontdoor.input_checks import check_path
from tests.support.asynchronous import run
from tests.support.small_fleet import CALLER_KEY, SmallFleet

AUTHORIZED = f"Authorization: Bearer {CALLER_KEY}\r\n"
ORDERS = "POST /services/shop-counter/orders"


async def exchange(fleet: SmallFleet, text: str) -> tuple[int, str, str]:
    """Sends a raw request; returns the answer's status, head and body."""
    host, port = fleet.addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(text.encode())
    data = (await reader.read(-1)).decode()
    writer.close()
    head, _, body = data.partition("\r\n\r\n")
    return int(head.split(" ")[1]), head, body


class BadInputTest(testtools.TestCase):
    """Every refusal is a problem document that says "not run"."""

    def _refused(self, text: str, **limits: Any) -> tuple[int, str]:
        """Sends a request that must be refused; returns status and title."""

        async def scenario() -> tuple[int, str, str]:
            async with SmallFleet(**limits) as fleet:
                answer = await exchange(fleet, text)
                self.assertEqual({}, fleet.plain.runs)
                return answer

        status, head, body = run(scenario())
        self.assertThat(head, matchers.Contains("application/problem+json"))
        problem = json.loads(body)
        self.assertEqual("not run", problem["ran"])
        self.assertEqual(status, problem["status"])
        return status, problem["title"]

    def test_invalid_headers(self) -> None:
        cases = (
            ("Content-Length: 5000\r\n", (413, "too_large")),
            ("Content-Length: -1\r\n", (400, "bad_request")),
            ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", None),
            ("Transfer-Encoding: gzip\r\n", (400, "bad_request")),
            (f"X-Filler: {'x' * 2_000}\r\n", (413, "too_large")),
            ("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", None),
            (AUTHORIZED, (400, "bad_request")),
        )
        for lines, wanted in cases:
            text = (
                f"{ORDERS} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                f"{AUTHORIZED}{lines}\r\n"
            )
            seen = self._refused(text, body_bytes=4_096, header_bytes=1_500)
            self.assertEqual(wanted or (400, "bad_request"), seen, lines)

    def test_chunked_body_above_the_limit(self) -> None:
        chunk = f"{2_048:x}\r\n{'x' * 2_048}\r\n"
        text = (
            f"{ORDERS} HTTP/1.1\r\nHost: x\r\n{AUTHORIZED}"
            f"Transfer-Encoding: chunked\r\n\r\n{chunk * 3}0\r\n\r\n"
        )
        seen = self._refused(text, body_bytes=4_096)
        self.assertEqual((413, "too_large"), seen)

    def test_slow_upload_times_out(self) -> None:
        self.patch(call, "UPLOAD_TIMEOUT_SECONDS", 0.05)
        text = (
            f"{ORDERS} HTTP/1.1\r\nHost: x\r\n{AUTHORIZED}"
            "Content-Length: 100\r\n\r\nonly a part"
        )
        self.assertEqual((408, "upload_too_slow"), self._refused(text))

    def test_unknown_paths(self) -> None:
        for line in (
            "GET /nowhere",
            "POST /services/card-writer/v1/cancel/attempt",
            "POST /services/nothing/orders",
        ):
            text = (
                f"{line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                f"{AUTHORIZED}\r\n"
            )
            self.assertEqual(404, self._refused(text)[0], line)

    def test_paths_that_could_bypass_a_contract(self) -> None:
        for path in ("//orders", "/x/../orders", "/orders;x", "/a\\b", "/."):
            result = check_path("POST", path, ServiceKind.PLAIN)
            self.assertEqual("bad_request", result.failure().kind.value, path)
        accepted = check_path("POST", "/aæb", ServiceKind.PLAIN)
        self.assertEqual("/a%C3%A6b", accepted.unwrap())


class ForwardingTest(testtools.TestCase):
    """A plain service gets the call, and the caller gets its answer."""

    def test_method_query_headers_and_errors_are_forwarded(self) -> None:
        async def scenario() -> tuple[int, str, str]:
            async with SmallFleet() as fleet:
                fleet.plain.status = 503
                return await exchange(
                    fleet,
                    "DELETE /services/shop-counter/stock/7?shelf=2 HTTP/1.1\r\n"
                    "Host: x\r\nConnection: close\r\nAccept-Language: nb\r\n"
                    f"X-Secret: no\r\n{AUTHORIZED}\r\n",
                )

        status, head, body = run(scenario())
        self.assertEqual(503, status)
        self.assertThat(head, matchers.Contains("Retry-After: 7"))
        self.assertThat(head, matchers.Not(matchers.Contains("X-Inner")))
        value = json.loads(body)
        self.assertEqual("DELETE", value["method"])
        self.assertEqual("/stock/7?shelf=2", value["uri"])
        self.assertEqual("nb", value["headers"]["Accept-Language"])
        self.assertNotIn("X-Secret", value["headers"])
        self.assertNotIn("Authorization", value["headers"])
