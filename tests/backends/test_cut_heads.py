"""Tests of the client of runners against heads that are cut off."""

from __future__ import annotations

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from mulberrypaddle.core.request import AttemptState
from tests.support.runner_answers import call_runner

_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_STATUS = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
_HEADS = (
    _STATUS + b"Content-Length: 800\r\n\r\n",
    _STATUS + b"Content-Length: 0\r\n\r\n",
    _STATUS + b"Transfer-Encoding: chunked\r\n\r\n",
    _INTERIM + b"HTTP/1.1 204 No Content\r\n\r\n",
)


class CutHeadTest(testtools.TestCase):
    """A head that is cut anywhere is no answer."""

    def test_cut_head_is_no_answer(self) -> None:
        for head in _HEADS:
            for at in range(1, len(head)):
                result, statuses = call_runner(head[:at])
                self.assertIsInstance(result, Failure, head[:at])
                self.assertIs(AttemptState.MAYBE_RUN, result.failure().state)
                self.assertEqual([], statuses, head[:at])

    def test_whole_head_without_a_body_is_an_answer(self) -> None:
        for head in (_HEADS[1], _HEADS[2] + b"0\r\n\r\n", _HEADS[3]):
            result, statuses = call_runner(head)
            self.assertIsInstance(result, Success, head)
            self.assertEqual(1, len(statuses))

    def test_odd_status_or_length_does_not_raise(self) -> None:
        for status in ("\u00b2\u00b2\u00b2", "9" * 5_000, "-20", "", "2e2"):
            head = f"HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n"
            result, statuses = call_runner(head.encode("latin-1"))
            self.assertIsInstance(result, Failure, status)
            self.assertEqual([], statuses, status)

    def test_status_that_is_none_is_no_answer(self) -> None:
        # Guards against a status of a runner in trouble that reaches a caller;
        # curl accepts up to 999.
        for status in (b"600", b"999", b"000", b"099", b"1000", b"-1", b"x"):
            for body in (b"", b"broken disk"):
                answer = (
                    b"HTTP/1.1 " + status + b" X\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body)
                ) + body
                result, statuses = call_runner(answer)
                self.expectThat(statuses, Equals([]), repr(status))
                self.expectThat(
                    isinstance(result, Failure), Equals(True), repr(status)
                )
                if isinstance(result, Failure):
                    self.expectThat(
                        result.failure().state,
                        Equals(AttemptState.MAYBE_RUN),
                        repr(status),
                    )
