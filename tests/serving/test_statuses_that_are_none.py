"""Answers of runners with a status that is none, or never a final one.

A runner in trouble may write anything in the place of the status. Callers must
never get it, nor a status that promises that a request has not run.
"""

from __future__ import annotations

import testtools
from testtools.matchers import Contains, Equals, Not

from tests.serving.test_exchange import (
    _MODEL,
    _STREAM_END,
    _STREAM_HEAD,
    _complete_response,
    _event,
)
from tests.support.scripted_runners import send_to_runners

# What stands in the place of the status. A runner that ends an answer with an
# interim status (100 to 199) sends no final one.
_STATUSES = (
    b"000",
    b"099",
    b"0",
    b"1000",
    b"-1",
    b"oops",
    b"600",
    b"999",
    b"",
    b"20",
    b"2000",
    b"200.0",
    b"+200",
    b"100",
    b"102",
    b"199",
)

# Occurs in each answer that must not reach the caller.
_BODY = b"broken disk"


def _invalid_answer(status: bytes, *, extra: bytes = b"") -> bytes:
    """Returns an answer that is complete and sealed but for its status."""
    good = _complete_response(200, _BODY, extra)
    return good.replace(b"HTTP/1.1 200 X", b"HTTP/1.1 " + status + b" X")


class PlainTest(testtools.TestCase):
    """Answers to requests to plain services."""

    def _check(self, got: bytes, expected: bytes, status: bytes) -> None:
        self.expectThat(got[:12], Equals(b"HTTP/1.1 " + expected), repr(status))
        if expected != b"200":
            self.expectThat(got, Not(Contains(_BODY)), repr(status))

    def test_request_that_may_not_be_repeated_gets_502(self) -> None:
        # It may have run, so that 503 or 429 would promise too much.
        for method in ("POST", "GET"):
            for status in _STATUSES:
                answered = send_to_runners(
                    "/pay/1", _invalid_answer(status), method=method
                )
                self._check(answered.got, b"502", status)
                self.expectThat(len(answered.requests), Equals(1), repr(status))

    def test_request_that_may_be_repeated_goes_to_another_runner(self) -> None:
        good = _complete_response(200, b"done")
        for method in ("POST", "GET"):
            for status in _STATUSES:
                answered = send_to_runners(
                    "/safe/1", _invalid_answer(status), good, method=method
                )
                self._check(answered.got, b"200", status)
                self.expectThat(answered.got[-4:], Equals(b"done"))
                self.expectThat(len(answered.requests), Equals(2), repr(status))

    def test_two_invalid_answers_give_502(self) -> None:
        for status in _STATUSES:
            invalid = _invalid_answer(status)
            answered = send_to_runners("/safe/1", invalid, invalid)
            self._check(answered.got, b"502", status)
            self.expectThat(len(answered.requests), Equals(2), repr(status))

    def test_invalid_answer_is_not_passed_on_as_an_error_answer(self) -> None:
        for status in _STATUSES:
            answered = send_to_runners(
                "/safe/1",
                _complete_response(500, b"first"),
                _invalid_answer(status),
            )
            self._check(answered.got, b"502", status)

    def test_statement_not_run_of_an_invalid_answer_is_not_believed(
        self,
    ) -> None:
        # Nothing else in such an answer can be relied on.
        for status in _STATUSES:
            answered = send_to_runners(
                "/pay/1",
                _invalid_answer(status, extra=b"X-Not-Executed: 1\r\n"),
                _complete_response(200, b"done"),
            )
            self._check(answered.got, b"502", status)
            self.expectThat(len(answered.requests), Equals(1), repr(status))

    def test_runner_that_goes_on_is_not_waited_for(self) -> None:
        # The connection stays open, as that of a sound answer may.
        good = _complete_response(200, b"done")
        for status in _STATUSES:
            if status[:1] == b"1" and len(status) == 3:
                # An interim answer, behind which the final one may come.
                continue
            answered = send_to_runners(
                "/safe/1", _invalid_answer(status), good, closes=False
            )
            self._check(answered.got, b"200", status)

    def test_invalid_answer_over_a_kept_connection(self) -> None:
        good = _complete_response(200, b"done")
        kept = _complete_response(200, b"kept", b"Keep-Alive: timeout=5\r\n")
        for status in _STATUSES:
            invalid = _invalid_answer(
                status, extra=b"Keep-Alive: timeout=5\r\n"
            )
            answered = send_to_runners("/safe/1", invalid, good, before=kept)
            self._check(answered.got, b"200", status)
            self.expectThat(answered.got[-4:], Equals(b"done"), repr(status))
            self.expectThat(len(answered.requests), Equals(2), repr(status))

    def test_interim_answer_before_the_final_one_is_skipped(self) -> None:
        for status in (b"100", b"102", b"103", b"199"):
            interim = b"HTTP/1.1 " + status + b" X\r\n\r\n"
            good = _complete_response(200, b"done")
            answered = send_to_runners("/pay/1", interim + good)
            self._check(answered.got, b"200", status)

    def test_invalid_status_behind_an_interim_answer(self) -> None:
        for status in _STATUSES:
            interim = b"HTTP/1.1 100 X\r\n\r\n"
            answered = send_to_runners(
                "/pay/1", interim + _invalid_answer(status)
            )
            self._check(answered.got, b"502", status)

    def test_101_is_no_answer(self) -> None:
        # No request asks for another protocol.
        for method in ("POST", "GET"):
            answered = send_to_runners(
                "/pay/1", _invalid_answer(b"101"), method=method
            )
            self._check(answered.got, b"502", b"101")

    def test_statuses_at_the_bounds_are_answers(self) -> None:
        for status in (200, 299, 404, 499, 500, 599):
            answered = send_to_runners(
                "/pay/1", _complete_response(status, b"done")
            )
            self._check(answered.got, b"%d" % status, b"%d" % status)


class StreamTest(testtools.TestCase):
    """Answers to requests for streams."""

    def test_invalid_status_before_the_first_event(self) -> None:
        good = _STREAM_HEAD + _event(1) + _event(2) + _STREAM_END
        for status in _STATUSES:
            for invalid in (
                _invalid_answer(status),
                good.replace(b"HTTP/1.1 200", b"HTTP/1.1 " + status).replace(
                    b"data: x", b"data: z"
                ),
            ):
                answered = send_to_runners(
                    "/write/1", invalid, good, headers=_MODEL
                )
                got = answered.got
                self.expectThat(got[:12], Equals(b"HTTP/1.1 200"), repr(status))
                self.expectThat(got.count(b"data: x"), Equals(2), repr(status))
                self.expectThat(got, Not(Contains(b"data: z")), repr(status))
                self.expectThat(len(answered.requests), Equals(2), repr(status))

    def test_invalid_statuses_at_both_runners_give_502(self) -> None:
        for status in _STATUSES:
            invalid = _invalid_answer(status)
            answered = send_to_runners(
                "/write/1", invalid, invalid, headers=_MODEL
            )
            self.expectThat(
                answered.got[:12], Equals(b"HTTP/1.1 502"), repr(status)
            )

    def test_invalid_status_on_a_resumed_attempt(self) -> None:
        # The answer has begun: it may only be cut, with nothing added.
        begun = _STREAM_HEAD + _event(1)
        rest = _STREAM_HEAD + _event(2) + _STREAM_END
        for status in _STATUSES:
            for invalid in (
                _invalid_answer(status),
                rest.replace(b"HTTP/1.1 200", b"HTTP/1.1 " + status),
            ):
                answered = send_to_runners(
                    "/write/1", begun, invalid, headers=_MODEL
                )
                got = answered.got
                self.expectThat(got[:12], Equals(b"HTTP/1.1 200"), repr(status))
                self.expectThat(got.count(b"id: "), Equals(1), repr(status))
                self.expectThat(got, Not(Contains(_BODY)), repr(status))
                self.expectThat(
                    got.endswith(_STREAM_END), Equals(False), repr(status)
                )

    def test_stream_that_a_caller_resumes(self) -> None:
        good = _STREAM_HEAD + _event(6) + _STREAM_END
        for status in _STATUSES:
            answered = send_to_runners(
                "/write/1",
                _invalid_answer(status),
                good,
                headers=(*_MODEL, "Last-Event-Id: 5"),
            )
            self.expectThat(
                answered.got.count(b"id: 6"), Equals(1), repr(status)
            )
            self.expectThat(answered.got, Not(Contains(_BODY)), repr(status))


class RecordTest(testtools.TestCase):
    """What is recorded of a runner that sends no status."""

    def test_it_counts_as_a_broken_answer(self) -> None:
        for status in _STATUSES:
            answered = send_to_runners("/pay/1", _invalid_answer(status))
            self.expectThat(len(answered.reports), Equals(1), repr(status))
