"""Tests of streams that broke off, by what the next runner answers."""

from __future__ import annotations

import asyncio

import testtools

from tests.serving.test_exchange import (
    _HEAD,
    _MODEL,
    _STREAM_END,
    _STREAM_HEAD,
    _complete_response,
    _event,
)
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

# Occurs in each answer that must not reach the caller.
_FAULT = b"broken disk"

_EVENTS_TYPE = b"Content-Type: text/event-stream\r\n"
_JSON_TYPE = b"Content-Type: application/json\r\n"
_JSON = b'{"error": "' + _FAULT + b'"}'
_ERROR_EVENT = b"event: error\ndata: " + _FAULT + b"\n\n"
_NEXT_EVENT = b"id: 3\ndata: " + _FAULT + b"\n\n"
_HTTP_HEAD = b"HTTP/1.1 503 X\r\nX-Reason: " + _FAULT + b"\r\n\r\n"
_UNSEALED = b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\n"
_NO_LENGTH = _HEAD % 200 + b"Connection: close\r\n\r\n"
_COMMENT = b": alive\n\n"


class _Fleet:
    """Heads that share one list of answers, whichever of them is asked.

    Attributes:
        requests: All requests, in order of arrival.
    """

    def __init__(self, *answers: bytes) -> None:
        self._answers = answers
        self.requests: list[bytes] = []

    async def answer(
        self, count: int, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Writes the next answer; closes the connection if none is left."""
        self.requests.append(request)
        number = len(self.requests)
        if number > len(self._answers):
            writer.close()
            return
        writer.write(self._answers[number - 1])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()


def _request_stream(
    *answers: bytes, max_runners: int = 2, resumes_after: int | None = None
) -> tuple[bytes, list[bytes]]:
    """Requests a stream that three heads may answer.

    Args:
        *answers: Bytes of the answers, in order of the attempts.
        max_runners: Number of runners that the route allows.
        resumes_after: Id of the last event that the caller has; None if it
            starts a new stream.

    Returns:
        The bytes that the caller received until its connection closed, and
        the requests that runners received.
    """

    async def scenario() -> tuple[bytes, list[bytes]]:
        path = FrontEndHarness()
        assert path.board.config is not None
        route = path.board.config.route_for("shop.example", "/write/1")
        assert route is not None
        route.max_runners = max_runners
        for _ in range(50):
            # The retry budget of a new process allows no second attempt.
            path.board.retries.record_first_attempt("cards", path.board.now())
        fleet = _Fleet(*answers)
        runners = []
        for number in range(3):
            runner = RawRunner(fleet.answer)
            path.add_open_group(f"h{number}", await runner.start())
            runners.append(runner)
        headers = _MODEL
        if resumes_after is not None:
            headers = (*_MODEL, f"Last-Event-Id: {resumes_after}")
        got = await path.send_request("/write/1", headers=headers)
        path.close()
        for runner in runners:
            await runner.stop()
        return got, fleet.requests

    return run(scenario())


def _plain_event(number: int) -> bytes:
    """Returns an event without the framing of a chunk."""
    return b"id: %d\ndata: x\n\n" % number


def _decode_chunks(answer: bytes) -> tuple[bytes, bool]:
    """Returns the body of a chunked answer, and whether it is complete."""
    rest = answer.partition(b"\r\n\r\n")[2]
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        size_bytes = int(size, 16)
        if not size_bytes:
            return body, rest == b"\r\n"
        body += rest[:size_bytes]
        rest = rest[size_bytes + 2 :]
    return body, False


_BROKEN_STREAM = _STREAM_HEAD + _event(1) + _event(2)


class NextAnswerTest(testtools.TestCase):
    """Answers of the second runner that don't continue the stream.

    The first one broke off after two events.
    """

    def _assert_cut(self, answer: bytes) -> None:
        """Checks that the caller's stream is cut after the second event."""
        got, requests = _request_stream(_BROKEN_STREAM, answer)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        two_events = _plain_event(1) + _plain_event(2)
        self.assertEqual((two_events, False), _decode_chunks(got))
        self.assertEqual(2, len(requests))
        self.assertIn(b"Last-Event-Id: 2", requests[1])

    def test_client_error(self) -> None:
        self._assert_cut(_complete_response(404, _FAULT))

    def test_client_error_that_looks_like_the_next_event(self) -> None:
        self._assert_cut(_complete_response(404, _NEXT_EVENT, _EVENTS_TYPE))

    def test_server_error_that_looks_like_the_next_event(self) -> None:
        self._assert_cut(_complete_response(500, _NEXT_EVENT, _EVENTS_TYPE))

    def test_unavailable_that_may_have_run(self) -> None:
        self._assert_cut(_complete_response(503, _FAULT))

    def test_redirect(self) -> None:
        location = b"Location: http://other.example/\r\n"
        self._assert_cut(_complete_response(302, _FAULT, location))

    def test_no_content(self) -> None:
        self._assert_cut(_HEAD % 204 + b"\r\n")

    def test_success_without_a_seal(self) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(_NEXT_EVENT)
        self._assert_cut(_UNSEALED + _EVENTS_TYPE + length + _NEXT_EVENT)

    def test_encoded_success(self) -> None:
        encoding = _EVENTS_TYPE + b"Content-Encoding: br\r\n"
        self._assert_cut(_complete_response(200, _NEXT_EVENT, encoding))

    def test_json(self) -> None:
        self._assert_cut(_complete_response(200, _JSON, _JSON_TYPE))

    def test_json_that_ends_with_an_empty_line(self) -> None:
        body = _JSON + b"\n\n"
        self._assert_cut(_complete_response(200, body, _JSON_TYPE))

    def test_json_without_a_media_type(self) -> None:
        self._assert_cut(_complete_response(200, _JSON + b"\n\n"))

    def test_json_as_a_stream(self) -> None:
        self._assert_cut(_complete_response(200, _JSON, _EVENTS_TYPE))

    def test_other_media_type_that_looks_like_the_next_event(self) -> None:
        text = b"Content-Type: text/plain\r\n"
        self._assert_cut(_complete_response(200, _NEXT_EVENT, text))

    def test_head_of_an_error_as_a_stream(self) -> None:
        self._assert_cut(_complete_response(200, _HTTP_HEAD, _EVENTS_TYPE))

    def test_error_event_without_an_id(self) -> None:
        self._assert_cut(_complete_response(200, _ERROR_EVENT, _EVENTS_TYPE))

    def test_stream_without_events_that_is_cut_off(self) -> None:
        self._assert_cut(_STREAM_HEAD)
        self._assert_cut(_STREAM_HEAD + b"0")
        self._assert_cut(_STREAM_HEAD + b"0\r\n")

    def test_stream_without_events_that_ends_with_its_connection(self) -> None:
        self._assert_cut(_NO_LENGTH)

    def test_comments_that_end_with_their_connection(self) -> None:
        self._assert_cut(_NO_LENGTH + _COMMENT)

    def test_comments_beside_other_events_without_an_id(self) -> None:
        body = _COMMENT + _ERROR_EVENT
        self._assert_cut(_complete_response(200, body, _EVENTS_TYPE))
        body = _COMMENT + b"event: ping\n\n"
        self._assert_cut(_complete_response(200, body, _EVENTS_TYPE))

    def test_error_event_after_a_repeated_event(self) -> None:
        body = _plain_event(1) + _ERROR_EVENT
        self._assert_cut(_complete_response(200, body, _EVENTS_TYPE))

    def test_stream_that_ends_before_the_last_forwarded_event(self) -> None:
        self._assert_cut(_STREAM_HEAD + _event(1) + _STREAM_END)

    def test_gap(self) -> None:
        self._assert_cut(_STREAM_HEAD + _event(4) + _STREAM_END)

    def test_head_that_is_cut_off(self) -> None:
        self._assert_cut(_HEAD % 200 + b"Content-Length: 800\r\n")

    def test_bytes_that_are_not_http(self) -> None:
        self._assert_cut(_NEXT_EVENT)

    def test_answer_to_another_request(self) -> None:
        other = _STREAM_HEAD.replace(b"q1", b"q0")
        self._assert_cut(other + _event(3) + _STREAM_END)


class ResumedStreamTest(testtools.TestCase):
    """Streams that broke off and are continued."""

    def _assert_whole(self, got: bytes, last: int) -> None:
        """Checks that the caller got a complete stream with the first head."""
        events = [_plain_event(number) for number in range(1, last + 1)]
        self.assertEqual((b"".join(events), True), _decode_chunks(got))
        self.assertEqual(1, got.count(b"X-Response-Seal: s\r\n"))

    def test_third_runner_continues_after_an_error_of_the_second(self) -> None:
        rest = _STREAM_HEAD + _event(3) + _STREAM_END
        for status in (302, 404, 500):
            got, requests = _request_stream(
                _BROKEN_STREAM,
                _complete_response(status, _FAULT),
                rest,
                max_runners=3,
            )
            self._assert_whole(got, 3)
            self.assertEqual(3, len(requests))
            self.assertIn(b"Last-Event-Id: 2", requests[2])

    def test_refusal_of_the_second_runner_does_not_end_the_stream(self) -> None:
        refusal = _complete_response(503, _FAULT, b"X-Not-Executed: 1\r\n")
        rest = _STREAM_HEAD + _event(3) + _STREAM_END
        got, _ = _request_stream(_BROKEN_STREAM, refusal, rest)
        self._assert_whole(got, 3)

    def test_head_of_the_first_runner_is_kept(self) -> None:
        other = b"X-Response-Seal: other\r\nX-Other: 1\r\n"
        rest = _STREAM_HEAD.replace(b"X-Response-Seal: s\r\n", other)
        got, _ = _request_stream(_BROKEN_STREAM, rest + _event(3) + _STREAM_END)
        self._assert_whole(got, 3)
        self.assertNotIn(b"ther", got)

    def test_stream_that_starts_over_is_not_repeated(self) -> None:
        again = _event(1) + _event(2)
        for rest, last in ((b"", 2), (_event(3), 3)):
            got, _ = _request_stream(
                _BROKEN_STREAM, _STREAM_HEAD + again + rest + _STREAM_END
            )
            self._assert_whole(got, last)

    def test_media_type_may_have_parameters(self) -> None:
        body = _plain_event(3)
        parameters = b"Content-Type: Text/Event-Stream; charset=utf-8\r\n"
        got, _ = _request_stream(
            _BROKEN_STREAM, _complete_response(200, body, parameters)
        )
        self._assert_whole(got, 3)

    def test_runner_without_further_events_ends_the_stream(self) -> None:
        # Guards against streams that broke off behind their last event, at any
        # byte of the end, and never end although the next runner ends them.
        ends = (
            _STREAM_HEAD + _STREAM_END,
            _complete_response(200, b"", _EVENTS_TYPE),
            _complete_response(200, _COMMENT, _EVENTS_TYPE),
        )
        for cut in (b"", b"0", b"0\r\n", b"0\r\n\r"):
            for end in ends:
                got, requests = _request_stream(_BROKEN_STREAM + cut, end)
                self._assert_whole(got, 2)
                self.assertEqual(2, len(requests))
                self.assertIn(b"Last-Event-Id: 2", requests[1])

    def test_runner_that_repeats_events_ends_the_stream(self) -> None:
        for repeated in (_event(2), _event(1) + _event(2)):
            got, _ = _request_stream(
                _BROKEN_STREAM, _STREAM_HEAD + repeated + _STREAM_END
            )
            self._assert_whole(got, 2)

    def test_third_runner_ends_the_stream(self) -> None:
        end = _STREAM_HEAD + _STREAM_END
        for second, last in (
            (_STREAM_HEAD, 2),
            (_complete_response(500, _FAULT), 2),
            (_STREAM_HEAD + _event(3), 3),
        ):
            got, requests = _request_stream(
                _BROKEN_STREAM, second, end, max_runners=3
            )
            self._assert_whole(got, last)
            self.assertIn(b"Last-Event-Id: %d" % last, requests[2])


class FirstAnswerTest(testtools.TestCase):
    """Answers on the route of a stream before any event was forwarded."""

    def test_json_is_forwarded_as_it_is(self) -> None:
        body = b'{"done": 1}\n\n'
        got, _ = _request_stream(_complete_response(200, body, _JSON_TYPE))
        self.assertTrue(got.startswith(b"HTTP/1.1 200"))
        self.assertTrue(got.endswith(b"\r\n\r\n" + body))
        self.assertIn(b"Content-Length: %d\r\n" % len(body), got)

    def test_no_content_is_forwarded_as_it_is(self) -> None:
        got, _ = _request_stream(_HEAD % 204 + b"\r\n")
        self.assertTrue(got.startswith(b"HTTP/1.1 204"))
        self.assertIn(b"X-Response-Seal: s", got)
        self.assertTrue(got.endswith(b"\r\n\r\n"))

    def test_stream_without_events_is_no_end(self) -> None:
        got, _ = _request_stream(_STREAM_HEAD, _STREAM_HEAD + _STREAM_END)
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))

    def test_bytes_that_are_no_events_are_no_empty_stream(self) -> None:
        got, _ = _request_stream(
            _complete_response(200, _HTTP_HEAD, _EVENTS_TYPE),
            _complete_response(200, _JSON + b"\n\n"),
        )
        self.assertTrue(got.startswith(b"HTTP/1.1 502"))
        self.assertNotIn(_FAULT, got)

    def test_error_on_the_connection_of_a_stream_is_not_in_it(self) -> None:
        stream = _NO_LENGTH + _plain_event(1)
        got, _ = _request_stream(stream + _HTTP_HEAD, stream + _HTTP_HEAD)
        self.assertNotIn(_FAULT, got)
        self.assertFalse(got.endswith(_STREAM_END))


class CallerResumesTest(testtools.TestCase):
    """A caller resumes its stream, and the runner sends no further event."""

    def test_confirmed_end_is_passed_on(self) -> None:
        for end in (
            _STREAM_HEAD + _STREAM_END,
            _complete_response(200, b"", _EVENTS_TYPE),
            _complete_response(200, _COMMENT, _EVENTS_TYPE),
        ):
            got, requests = _request_stream(end, resumes_after=2)
            self.assertTrue(got.startswith(b"HTTP/1.1 200"))
            self.assertEqual((b"", True), _decode_chunks(got))
            self.assertEqual(1, len(requests))

    def test_end_that_may_be_a_crash_is_not_passed_on(self) -> None:
        # Guards against a stream that looks complete although a runner crashed
        # or reported an error before it sent the next event.
        for end in (
            _NO_LENGTH,
            _NO_LENGTH + _COMMENT,
            _complete_response(200, _ERROR_EVENT, _EVENTS_TYPE),
        ):
            got, requests = _request_stream(end, end, resumes_after=2)
            self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)
            self.assertNotIn(_FAULT, got)
            self.assertEqual(2, len(requests))

    def test_next_runner_goes_on_after_such_an_end(self) -> None:
        rest = _STREAM_HEAD + _event(3) + _STREAM_END
        got, requests = _request_stream(_NO_LENGTH, rest, resumes_after=2)
        self.assertEqual((_plain_event(3), True), _decode_chunks(got))
        self.assertIn(b"Last-Event-Id: 2", requests[1])
