"""Tests of one request from caller to runner and back, also on failures."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import testtools
from testtools.matchers import Equals

from mulberrypaddle.dispatch import stalls
from mulberrypaddle.dispatch.runner_health import SUSPICION_TTL_SECONDS
from mulberrypaddle.fleet import Organisation
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes
from tests.support.raw_runner import AnswerWriter, RawRunner

_HEAD = b"HTTP/1.1 %d X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
_MODEL = ("X-Model: small", "X-Token-Counts: 100,50", "X-Deadline-Ms: 3000")


def _complete_response(status: int, body: bytes, extra: bytes = b"") -> bytes:
    """Returns a complete response with a seal and the usual request id."""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return _HEAD % status + extra + length + body


def _answers(*parts: bytes) -> AnswerWriter:
    """Returns a runner that sends one answer per request, then none."""

    async def answer(
        count: int, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if count <= len(parts):
            writer.write(parts[count - 1])

    return answer


async def _abort(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Aborts the connection without an answer."""
    writer.transport.abort()


def _event(number: int) -> bytes:
    """Returns an event as one chunk of a chunked body."""
    data = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%s\r\n" % (len(data), data)


_STREAM_HEAD = _HEAD % 200 + b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM_END = b"0\r\n\r\n"


class PlainTest(testtools.TestCase):
    """Requests to plain services."""

    def _send_request(
        self,
        path: str,
        *answers: AnswerWriter,
        method: str = "POST",
        body: bytes = b"",
        headers: tuple[str, ...] = (),
    ) -> tuple[bytes, list[RawRunner]]:
        """Sends one request to a router with one runner for each answer.

        Returns:
            The bytes that the caller received, and the runners.
        """

        async def scenario() -> tuple[bytes, list[RawRunner]]:
            path_under_test = FrontEndHarness()
            runners = []
            for number, answer in enumerate(answers):
                runner = RawRunner(answer)
                path_under_test.add_runner(f"r{number}", await runner.start())
                runners.append(runner)
            got = await path_under_test.send_request(
                path, method=method, body=body, headers=headers
            )
            path_under_test.close()
            for runner in runners:
                await runner.stop()
            return got, runners

        return run(scenario())

    def test_complete_answer_reaches_the_caller(self) -> None:
        got, runners = self._send_request(
            "/pay/1", _answers(_complete_response(200, b"done"))
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"X-Response-Seal: s", got)
        self.assertTrue(got.endswith(b"\r\n\r\ndone"))
        head = runners[0].request_heads[0]
        self.assertIn(b"X-Tenant: museum", head)
        self.assertIn(b"X-Expect-Instance: r0", head)
        self.assertNotIn(b"key-1", head)

    def test_answer_clears_the_parts_of_its_prompt(self) -> None:
        async def scenario() -> bool:
            path_under_test = FrontEndHarness()
            attribution = path_under_test.board.crash_attribution
            attribution.record_interruption(
                ("r9", 1),
                address="127.0.0.1:1",
                parts=("5c1e07a2",),
                now_seconds=path_under_test.board.now(),
            )
            attribution.confirm_crash(("r9", 1), path_under_test.board.now())
            runner = RawRunner(_answers(_complete_response(200, b"done")))
            path_under_test.add_runner("r1", await runner.start())
            await path_under_test.send_request(
                "/pay/1", headers=("X-Prompt-Prefix: 5c1e07a2:800,e4402b7d:9",)
            )
            path_under_test.close()
            await runner.stop()
            return attribution.is_suspected(("5c1e07a2",))

        self.assertFalse(run(scenario()))

    def test_request_with_an_unreadable_number_is_answered(self) -> None:
        for header in (
            "X-Length-Hint: inf",
            "X-Length-Hint: 1e999",
            "X-Token-Counts: 10," + "9" * 5000,
            "Last-Event-Id: \xb2",
            "X-Deadline-Ms: inf",
        ):
            got, _ = self._send_request(
                "/pay/1",
                _answers(_complete_response(200, b"done")),
                headers=(header,),
            )
            self.expectThat(got[:12], Equals(b"HTTP/1.1 200"), header[:30])

    def test_bytes_outside_ascii_reach_the_runner(self) -> None:
        got, runners = self._send_request(
            "/pay/caf\xe9",
            _answers(_complete_response(200, b"done")),
            headers=("X-Note: caf\xe9",),
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
        head = runners[0].request_heads[0]
        self.assertTrue(head.startswith(b"POST /pay/caf\xe9 HTTP/1.1"), head)
        self.assertIn(b"X-Note: caf\xe9\r\n", head)

    def test_names_outside_latin_1_reach_the_runner(self) -> None:
        async def scenario() -> tuple[bytes, RawRunner]:
            path_under_test = FrontEndHarness()
            config = path_under_test.board.config
            assert config is not None
            assert config.organisations is not None
            config.organisations["key-1"] = Organisation(
                "muzeum-łódź", urgency=None
            )
            runner = RawRunner(_answers(_complete_response(200, b"done")))
            path_under_test.add_runner("bieżnik-1", await runner.start())
            got = await path_under_test.send_request("/pay/1")
            path_under_test.close()
            await runner.stop()
            return got, runner

        got, runner = run(scenario())
        self.assertEqual(b"HTTP/1.1 200", got[:12])
        head = runner.request_heads[0]
        for line in ("X-Tenant: muzeum-łódź", "X-Expect-Instance: bieżnik-1"):
            self.assertIn(line.encode() + b"\r\n", head)

    def test_invalid_header_of_a_runner_is_an_invalid_answer(self) -> None:
        for header in (b"X Note: 1\r\n", b"X-Note: a\x01b\r\n"):
            invalid = _answers(_complete_response(200, b"done", header))
            got, _ = self._send_request("/pay/1", invalid)
            self.expectThat(got[:12], Equals(b"HTTP/1.1 502"), header.decode())

    def test_unknown_key_is_refused(self) -> None:
        got, runners = self._send_request(
            "/pay/1", _answers(), headers=("X-Api-Key: other",)
        )
        # Both key headers arrive as one value, which belongs to no
        # organisation.
        self.assertTrue(got.startswith(b"HTTP/1.1 401"))
        self.assertEqual([], runners[0].request_heads)

    def test_unknown_path_is_refused(self) -> None:
        got, _ = self._send_request("/elsewhere/1", _answers())
        self.assertTrue(got.startswith(b"HTTP/1.1 404"))

    def test_organisation_header_of_the_caller_is_dropped(self) -> None:
        _, runners = self._send_request(
            "/pay/1",
            _answers(_complete_response(200, b"done")),
            headers=("X-Tenant: other",),
        )
        self.assertNotIn(b"other", runners[0].request_heads[0])

    def test_unsafe_request_is_not_repeated_after_a_lost_answer(self) -> None:
        got, runners = self._send_request("/pay/1", _abort, _abort)
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))
        self.assertEqual(
            1, sum(len(runner.request_heads) for runner in runners)
        )

    def test_refusal_without_retry_budget_is_reported_as_not_run(self) -> None:
        refusal = _complete_response(503, b"", b"X-Not-Executed: 1\r\n")
        busy = _answers(refusal, _complete_response(200, b"done"))
        got, runners = self._send_request("/pay/1", busy)
        # The retry budget of a new process allows no second attempt. The
        # request has not run, so 503 with Retry-After is correct.
        self.assertTrue(got.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After", got)
        self.assertEqual(1, len(runners[0].request_heads))

    def test_answer_to_another_request_is_not_forwarded(self) -> None:
        other = _complete_response(200, b"theirs").replace(b"Id: q1", b"Id: q2")
        got, _ = self._send_request("/pay/1", _answers(other))
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))
        self.assertNotIn(b"theirs", got)

    def test_answer_without_a_seal_is_not_forwarded(self) -> None:
        bare = _complete_response(200, b"fake").replace(
            b"X-Response-Seal: s\r\n", b""
        )
        got, _ = self._send_request("/pay/1", _answers(bare))
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))

    def test_error_answer_of_the_runner_is_forwarded(self) -> None:
        got, _ = self._send_request(
            "/pay/1", _answers(_complete_response(500, b"oops"))
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 500"))
        self.assertTrue(got.endswith(b"oops"))

    def test_503_of_a_runner_that_may_have_run_becomes_502(self) -> None:
        got, _ = self._send_request(
            "/pay/1", _answers(_complete_response(503, b"oops"))
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))
        self.assertNotIn(b"X-Response-Seal", got)

    def test_missing_answer_gives_504_at_the_deadline(self) -> None:
        got, _ = self._send_request(
            "/pay/1", _answers(), headers=("X-Deadline-Ms: 600",)
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 504"))

    def test_request_of_a_route_with_no_runners_allowed_is_sent(self) -> None:
        async def scenario() -> bytes:
            path_under_test = FrontEndHarness()
            config = path_under_test.board.config
            assert config is not None
            route = config.route_for("shop.example", "/safe/1")
            assert route is not None
            route.max_runners = 0
            runner = RawRunner(_answers(_complete_response(200, b"done")))
            path_under_test.add_runner("r0", await runner.start())
            got = await path_under_test.send_request("/safe/1")
            path_under_test.close()
            await runner.stop()
            return got

        self.assertEqual(b"HTTP/1.1 200", run(scenario())[:12])

    def test_request_without_any_runner_is_refused_at_once(self) -> None:
        got, _ = self._send_request("/pay/1")
        self.assertTrue(got.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After", got)

    def test_body_over_the_limit_is_refused(self) -> None:
        got, _ = self._send_request("/pay/1", _answers(), body=b"x" * 100_001)
        self.assertTrue(got.startswith(b"HTTP/1.1 413"))


class MethodTest(testtools.TestCase):
    """Requests whose method and body curl does not send together."""

    def test_head_request_with_a_body_is_not_sent_with_another_method(
        self,
    ) -> None:
        async def scenario() -> tuple[bytes, list[bytes]]:
            harness = FrontEndHarness()
            runner = RawRunner(_answers(_complete_response(200, b"")))
            harness.add_runner("r0", await runner.start())
            got = await harness.send_request(
                "/safe/1", method="HEAD", body=b"card"
            )
            harness.close()
            await runner.stop()
            return got, runner.request_heads

        got, heads = run(scenario())
        self.assertEqual((b"HTTP/1.1 400", []), (got[:12], heads))


class StopTest(testtools.TestCase):
    """A router that is shutting down."""

    async def _send_request(
        self, path: str, *, left_seconds: float, headers: tuple[str, ...] = ()
    ) -> tuple[bytes, list[bytes]]:
        """Sends a request late in a stop that ends after the given time.

        Returns:
            The answer, and the heads of the requests that the runner received.
        """
        path_under_test = FrontEndHarness()
        runner = RawRunner(_answers(_complete_response(200, b"done")))
        path_under_test.add_runner("r0", await runner.start())
        path_under_test.begin_stop(
            left_seconds=left_seconds, signalled_before_seconds=4.0
        )
        got = await path_under_test.send_request(path, headers=headers)
        path_under_test.close()
        await runner.stop()
        return got, runner.request_heads

    def test_request_that_may_not_end_before_the_stop_is_refused(self) -> None:
        got, heads = run(self._send_request("/pay/1", left_seconds=1.0))
        # The stop of the process might interrupt it.
        self.assertTrue(got.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After", got)
        self.assertEqual([], heads)

    def test_request_that_ends_before_the_stop_is_served(self) -> None:
        got, heads = run(self._send_request("/pay/1", left_seconds=60.0))
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        self.assertEqual(1, len(heads))

    def test_runner_gets_no_more_time_than_the_process_has(self) -> None:
        got, heads = run(self._send_request("/safe/1", left_seconds=1.0))
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        self.assertLessEqual(_deadline_ms(heads[0]), 1000 + 10)

    def test_second_attempt_gets_no_more_time_than_the_process_has(
        self,
    ) -> None:
        async def scenario() -> list[int]:
            path = FrontEndHarness()
            received = asyncio.Event()
            may_abort = asyncio.Event()

            async def abort(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                received.set()
                await may_abort.wait()
                writer.transport.abort()

            runners = [RawRunner(abort), RawRunner(abort)]
            for number, runner in enumerate(runners):
                path.add_runner(f"r{number}", await runner.start())
            _allow_retries(path)
            sending = asyncio.ensure_future(path.send_request("/safe/1"))
            await received.wait()
            path.begin_stop(left_seconds=2.0)
            may_abort.set()
            await sending
            path.close()
            heads = [head for r in runners for head in r.request_heads]
            for runner in runners:
                await runner.stop()
            return sorted(_deadline_ms(head) for head in heads)

        deadlines_ms = run(scenario())
        # The first one was sent before the signal, with the caller's time.
        self.assertEqual(2, len(deadlines_ms))
        self.assertLessEqual(deadlines_ms[0], 2000 + 10)
        self.assertGreater(deadlines_ms[1], 2000 + 10)

    def test_connecting_request_is_refused_at_the_end_of_a_stop(self) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            with contextlib.ExitStack() as sockets:
                harness.add_runner("r0", _silent_address(sockets))
                harness.begin_stop(left_seconds=0.25)
                answer = await harness.send_request("/pay/1")
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 503", run(scenario())[:12])

    def test_queued_request_is_refused_at_the_end_of_a_stop(self) -> None:
        async def scenario() -> tuple[bytes, float, int]:
            path = FrontEndHarness()
            runner = RawRunner(_answers())
            path.add_runner("r0", await runner.start())
            _fill(path, "r0")
            sending = asyncio.ensure_future(path.send_request("/pay/1"))
            await asyncio.sleep(0.1)
            stop = path.begin_stop(left_seconds=0.5)
            stopping = asyncio.ensure_future(
                path.stop(quiet_seconds=0.0, until_seconds=stop.ends_at_seconds)
            )
            got = await sending
            await stopping
            late_seconds = path.board.now() - stop.ends_at_seconds
            path.close()
            await runner.stop()
            return got, late_seconds, len(runner.request_heads)

        got, late_seconds, sends = run(scenario())
        self.assertEqual((b"HTTP/1.1 503", 0), (got[:12], sends))
        self.assertIn(b"Retry-After", got)
        self.assertLess(late_seconds, 0.5)

    def test_queued_request_that_no_longer_fits_is_not_sent(self) -> None:
        async def scenario() -> tuple[bytes, int]:
            path = FrontEndHarness()
            runner = RawRunner(_answers(_complete_response(200, b"done")))
            path.add_runner("r0", await runner.start())
            _fill(path, "r0")
            sending = asyncio.ensure_future(path.send_request("/pay/1"))
            await asyncio.sleep(0.1)
            # Less time than the target of the route is left.
            path.begin_stop(left_seconds=0.15)
            _empty(path, "r0")
            got = await sending
            path.close()
            await runner.stop()
            return got, len(runner.request_heads)

        got, sends = run(scenario())
        self.assertEqual((b"HTTP/1.1 503", 0), (got[:12], sends))

    def _end_in_flight(
        self, path: str, runner_answer: AnswerWriter
    ) -> tuple[bytes, float]:
        """Ends a stop while a request is at a runner.

        Returns:
            What the caller received, and the time from the end of the stop to
            the end of the connection to the runner, in seconds.
        """

        async def scenario() -> tuple[bytes, float]:
            path_under_test = FrontEndHarness()
            runner = RawRunner(runner_answer)
            address = await runner.start()
            path_under_test.add_runner("r0", address)
            path_under_test.add_open_group("h0", address)
            sending = asyncio.ensure_future(
                path_under_test.send_request(path, headers=_MODEL[:2])
            )
            await asyncio.sleep(0.3)
            stop = path_under_test.begin_stop(left_seconds=0.5)
            await path_under_test.stop(
                quiet_seconds=0.0, until_seconds=stop.ends_at_seconds
            )
            got = await sending
            await asyncio.sleep(0.1)
            path_under_test.close()
            await runner.stop()
            closed_at = runner.closed_at_seconds[0]
            return got, closed_at - stop.ends_at_seconds

        return run(scenario())

    def test_request_in_flight_is_answered_at_the_end_of_a_stop(self) -> None:
        for path in ("/pay/1", "/safe/1", "/write/1"):
            got, late_seconds = self._end_in_flight(path, _answers())
            # It may have run.
            self.assertEqual(b"HTTP/1.1 504", got[:12], path)
            self.assertLess(abs(late_seconds), 0.5, path)

    def test_begun_stream_is_closed_as_incomplete_at_the_end_of_a_stop(
        self,
    ) -> None:
        begun = _answers(_STREAM_HEAD + _event(1))
        got, late_seconds = self._end_in_flight("/write/1", begun)
        self.assertEqual(b"HTTP/1.1 200", got[:12])
        self.assertIn(b"id: 1\n", got)
        self.assertNotIn(b"0\r\n\r\n", got)
        self.assertLess(abs(late_seconds), 0.5)


def _deadline_ms(head: bytes) -> int:
    """Returns the time that a request grants its runner, in ms."""
    return int(head.lower().split(b"x-deadline-ms:")[1].split(b"\r\n")[0])


# More requests than a runner of the harness has slots and places in its queue.
_FULL_LOAD = 100


def _fill(path: FrontEndHarness, runner_id: str) -> None:
    """Makes a runner of the harness look full."""
    for _ in range(_FULL_LOAD):
        path.board.loads.add_request(runner_id)


def _empty(path: FrontEndHarness, runner_id: str) -> None:
    """Makes a full runner look idle again, and sends it what waits."""
    for _ in range(_FULL_LOAD):
        path.board.loads.remove_request(runner_id)
    path.board.dispatch_waiting()


def _allow_retries(path: FrontEndHarness) -> None:
    """Fills the retry budget of the plain service."""
    for _ in range(50):
        path.board.retries.record_first_attempt("stock", path.board.now())


class CallerGoneTest(testtools.TestCase):
    """Requests whose caller closes the connection."""

    def test_attempt_is_cancelled_when_the_caller_disconnects(self) -> None:
        async def scenario() -> float:
            path = FrontEndHarness()
            released = asyncio.get_running_loop().create_future()

            async def answer(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                await writer.wait_closed()

            runner = RawRunner(answer)
            path.add_runner("r0", await runner.start())

            async def watch() -> None:
                while path.board.loads.total("r0"):
                    await asyncio.sleep(0.01)
                released.set_result(path.board.now())

            reader, writer = await path.connect()
            writer.write(request_bytes("/pay/1"))
            await asyncio.sleep(0.3)
            closed_at = path.board.now()
            writer.close()
            task = asyncio.ensure_future(watch())
            released_at = await asyncio.wait_for(released, 2.0)
            await task
            await runner.stop()
            path.close()
            return float(released_at - closed_at)

        # The platform allows half a second.
        self.assertLess(run(scenario()), 0.5)


class KeptConnectionTest(testtools.TestCase):
    """Requests in a row to one runner, which announces an idle timeout."""

    def _send_in_a_row(self, *paths: str) -> tuple[list[bytes], RawRunner]:
        """Sends one request for each path; returns the answers and the runner.

        The request id is the same each time, as the answers name it.
        """
        answer = _complete_response(200, b"done", b"Keep-Alive: timeout=2\r\n")

        async def scenario() -> tuple[list[bytes], RawRunner]:
            harness = FrontEndHarness()
            runner = RawRunner(_answers(*[answer] * len(paths)))
            harness.add_runner("r0", await runner.start())
            got = [await harness.send_request(path) for path in paths]
            harness.close()
            await runner.stop()
            return got, runner

        return run(scenario())

    def test_repeatable_requests_share_a_connection(self) -> None:
        got, runner = self._send_in_a_row("/safe/1", "/safe/2", "/safe/3")
        self.assertEqual([b"HTTP/1.1 200"] * 3, [head[:12] for head in got])
        self.assertEqual(1, runner.connection_count)

    def test_request_that_runs_at_most_once_has_its_own(self) -> None:
        got, runner = self._send_in_a_row("/safe/1", "/pay/1", "/pay/2")
        self.assertEqual([b"HTTP/1.1 200"] * 3, [head[:12] for head in got])
        self.assertEqual(3, runner.connection_count)

    def test_runner_that_ends_without_a_byte_may_have_crashed(self) -> None:
        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if count > 1:
                writer.transport.abort()
                return
            keep = b"Keep-Alive: timeout=5\r\n"
            writer.write(_complete_response(200, b"done", keep))

        async def scenario() -> list[list[str]]:
            path_under_test = FrontEndHarness()
            runner = RawRunner(answer)
            path_under_test.add_runner("r0", await runner.start())
            for _ in range(2):
                await path_under_test.send_request("/safe/1")
            crashes = path_under_test.board.crashes
            crashes.confirm_crashes(set(), 1.0)
            path_under_test.close()
            await runner.stop()
            reports = crashes.loss_reports(path_under_test.board.now())
            return [
                [loss.split("/")[0] for loss in losses]
                for losses in reports.values()
            ]

        self.assertEqual([["r0@1"]], run(scenario()))

    def test_answer_of_another_request_ends_the_connection(self) -> None:
        late_copy = _complete_response(200, b"old").replace(b"q1", b"q0")

        async def scenario() -> tuple[bytes, int]:
            harness = FrontEndHarness()
            # The retry budget of a new process allows no second attempt.
            for _ in range(20):
                harness.board.retries.record_first_attempt(
                    "stock", harness.board.now()
                )
            keep_alive = b"Keep-Alive: timeout=2\r\n"
            answer = _complete_response(200, b"done", keep_alive)
            runners = [
                RawRunner(_answers(answer, late_copy + answer, answer))
                for _ in range(2)
            ]
            for number, runner in enumerate(runners):
                harness.add_runner(f"r{number}", await runner.start())
            await harness.send_request("/safe/1")
            got = await harness.send_request("/safe/2")
            harness.close()
            for runner in runners:
                await runner.stop()
            return got, sum(runner.connection_count for runner in runners)

        got, connection_count = run(scenario())
        self.assertTrue(got.endswith(b"done"))
        # The second request used the kept connection, and its second attempt
        # opened one to the other runner.
        self.assertEqual(2, connection_count)


class LateAnswerTest(testtools.TestCase):
    """Answers beyond their target are logged with the cause."""

    def test_slow_runner_is_named(self) -> None:
        async def answer_slowly(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.3)
            writer.write(_complete_response(200, b"done"))

        async def scenario() -> None:
            harness = FrontEndHarness()
            runner = RawRunner(answer_slowly)
            harness.add_runner("r0", await runner.start())
            await harness.send_request("/pay/1")
            harness.close()
            await runner.stop()

        with self.assertLogs("mulberrypaddle.requests", "INFO") as logs:
            run(scenario())
        late = [record for record in logs.records if record.msg == "late"]
        self.assertEqual(1, len(late))
        self.assertEqual("slow_start", late[0].__dict__["cause"])
        self.assertEqual("r0", late[0].__dict__["runner"])


class StreamTest(testtools.TestCase):
    """Requests that are answered by a stream of events."""

    def _send_request(
        self, *answers: AnswerWriter, first_attempts: int = 20
    ) -> tuple[bytes, list[RawRunner]]:
        """Requests a stream from a router with one head for each answer.

        Args:
            *answers: Writes the answers of a head.
            first_attempts: Number of earlier requests. Without any, the retry
                budget of a new process allows no second attempt.

        Returns:
            The bytes that the caller received, and the runners.
        """

        async def scenario() -> tuple[bytes, list[RawRunner]]:
            path = FrontEndHarness()
            for _ in range(first_attempts):
                path.board.retries.record_first_attempt(
                    "cards", path.board.now()
                )
            runners = []
            for number, answer in enumerate(answers):
                runner = RawRunner(answer)
                path.add_open_group(f"h{number}", await runner.start())
                runners.append(runner)
            got = await path.send_request("/write/1", headers=_MODEL)
            path.close()
            for runner in runners:
                await runner.stop()
            return got, runners

        return run(scenario())

    def test_stream_without_events_clears_no_parts(self) -> None:
        async def ends(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_HEAD % 200 + b"\r\n")
            writer.close()

        async def scenario() -> bool:
            path_under_test = FrontEndHarness()
            attribution = path_under_test.board.crash_attribution
            attribution.record_interruption(
                ("r9", 1),
                address="127.0.0.1:1",
                parts=("5c1e07a2",),
                now_seconds=path_under_test.board.now(),
            )
            attribution.confirm_crash(("r9", 1), path_under_test.board.now())
            runner = RawRunner(ends)
            path_under_test.add_open_group("h1", await runner.start())
            await path_under_test.send_request(
                "/write/1",
                headers=(*_MODEL, "X-Prompt-Prefix: 5c1e07a2:800,e4402b7d:9"),
            )
            path_under_test.close()
            await runner.stop()
            return attribution.is_suspected(("5c1e07a2",))

        self.assertTrue(run(scenario()))

    def test_events_are_forwarded(self) -> None:
        got, _ = self._send_request(
            _answers(_STREAM_HEAD + _event(1) + _event(2) + _STREAM_END)
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"id: 1\ndata: x\n\n", got)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))

    def test_slow_head_is_not_left_without_a_retry_to_spend(self) -> None:
        async def answer_slowly(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(1.6)
            writer.write(_STREAM_HEAD + _event(1) + _STREAM_END)

        got, runners = self._send_request(
            answer_slowly, answer_slowly, first_attempts=0
        )
        self.assertIn(b"id: 1\ndata: x\n\n", got)
        self.assertEqual(1, sum(len(r.request_heads) for r in runners))

    def test_broken_stream_is_resumed_at_another_head(self) -> None:
        seen: list[bytes] = []

        async def first_breaks(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            seen.append(request)
            if len(seen) > 1:
                writer.write(_STREAM_HEAD + _event(2) + _event(3) + _STREAM_END)
                return
            part = b"id: 3\nda"
            writer.write(
                _STREAM_HEAD
                + _event(1)
                + _event(2)
                + b"%x\r\n%s\r\n" % (len(part), part)
            )
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        got, _ = self._send_request(first_breaks, first_breaks)
        self.assertIn(b"Last-Event-Id: 2", seen[1])
        for number in (1, 2, 3):
            self.assertEqual(1, got.count(b"id: %d\ndata: x\n\n" % number))
        self.assertNotIn(b"da\r\n", got)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))

    def test_stream_that_can_not_be_resumed_is_aborted(self) -> None:
        async def breaks(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_STREAM_HEAD + _event(1))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        got, runners = self._send_request(breaks, breaks, breaks)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))
        # The route allows two runners per request.
        self.assertEqual(
            2, sum(len(runner.request_heads) for runner in runners)
        )

    def test_stream_that_ends_before_its_first_event_is_not_complete(
        self,
    ) -> None:
        requests: list[bytes] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            requests.append(request)
            if len(requests) == 1:
                writer.write(_HEAD % 200 + b"\r\n")
                writer.close()
                return
            writer.write(_STREAM_HEAD + _event(1) + _STREAM_END)

        got, _ = self._send_request(answer, answer)
        self.assertEqual(2, len(requests))
        self.assertEqual(1, got.count(b"id: 1\n"), got)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))

    def test_stream_returns_to_a_silent_head_if_the_next_one_breaks(
        self,
    ) -> None:
        self.patch(stalls, "STALL_SECONDS", 0.2)
        requests: list[bytes] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            requests.append(request)
            if len(requests) == 1:
                writer.write(_STREAM_HEAD + _event(1))
                await writer.drain()
                await asyncio.sleep(1.0)
                return
            if len(requests) == 3:
                writer.write(_STREAM_HEAD + _event(6) + _STREAM_END)
                return
            writer.write(_STREAM_HEAD)
            for number in range(2, 6):
                writer.write(_event(number))
                await writer.drain()
                await asyncio.sleep(0.15)
            await asyncio.sleep(0.15)
            writer.transport.abort()

        got, runners = self._send_request(answer, answer, first_attempts=100)
        for number in range(1, 7):
            self.assertEqual(1, got.count(b"id: %d\n" % number), got)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))
        self.assertIn(b"Last-Event-Id: 5", requests[2])
        # The route allows two runners per request.
        self.assertEqual([1, 2], sorted(len(r.request_heads) for r in runners))

    def test_stream_returns_to_a_silent_head_after_a_wait_for_a_slot(
        self,
    ) -> None:
        self.patch(stalls, "STALL_SECONDS", 0.2)
        refusal = _complete_response(503, b"", b"X-Not-Executed: 1\r\n")
        heads: list[str] = []

        async def scenario() -> bytes:
            path = FrontEndHarness()
            board = path.board
            for _ in range(100):
                board.retries.record_first_attempt("cards", board.now())

            def free_slots() -> None:
                while board.loads.total(heads[1]):
                    board.loads.remove_request(heads[1])
                board.dispatch_waiting()

            async def answer(
                name: str, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                heads.append(name)
                if len(heads) == 1:
                    writer.write(_STREAM_HEAD + _event(1))
                    await writer.drain()
                    await asyncio.sleep(3.0)
                elif len(heads) == 2:
                    # The head is full until the other is not suspected.
                    for _ in range(30):
                        board.loads.add_request(name)
                    board.loop.call_later(
                        SUSPICION_TTL_SECONDS + 0.1, free_slots
                    )
                    writer.write(refusal)
                elif len(heads) == 3:
                    writer.write(refusal)
                else:
                    writer.write(_STREAM_HEAD + _event(2) + _STREAM_END)

            runners = []
            for name in ("h0", "h1"):

                async def answer_as(
                    count: int,
                    request: bytes,
                    writer: asyncio.StreamWriter,
                    name: str = name,
                ) -> None:
                    await answer(name, request, writer)

                runner = RawRunner(answer_as)
                path.add_open_group(name, await runner.start())
                runners.append(runner)
            got = await path.send_request("/write/1", headers=_MODEL)
            path.close()
            for runner in runners:
                await runner.stop()
            return got

        got = run(scenario())
        self.assertEqual(4, len(heads), got)
        self.assertEqual([heads[1], heads[0]], heads[2:])
        for number in (1, 2):
            self.assertEqual(1, got.count(b"id: %d\n" % number), got)
        self.assertTrue(got.endswith(b"0\r\n\r\n"))

    def test_event_after_a_gap_is_not_forwarded(self) -> None:
        got, _ = self._send_request(
            _answers(_STREAM_HEAD + _event(1) + _event(3) + _STREAM_END)
        )
        self.assertNotIn(b"id: 3", got)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))

    def test_stream_that_ends_within_an_event_is_aborted(self) -> None:
        part = b"id: 2\nda"
        got, _ = self._send_request(
            _answers(
                _STREAM_HEAD
                + _event(1)
                + b"%x\r\n%s\r\n" % (len(part), part)
                + _STREAM_END
            )
        )
        self.assertFalse(got.endswith(b"0\r\n\r\n"))


def _silent_address(sockets: contextlib.ExitStack) -> str:
    """Returns the address of a listener that accepts no connection.

    Args:
        sockets: Closes the sockets.
    """
    listener = sockets.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    host, port = listener.getsockname()
    # The kernel drops attempts to connect once its accept queue is full.
    for _ in range(4):
        waiting = sockets.enter_context(socket.socket())
        waiting.setblocking(False)
        waiting.connect_ex((host, port))
    return f"{host}:{port}"
