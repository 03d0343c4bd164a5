"""When an attempt at a plain service counts as run in usage reports."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import testtools

from mulberrypaddle.serving.plain_attempt import ObservedPlainAttempt
from mulberrypaddle.serving.runner_call import CallOutcome
from tests.support.virtual_time import run_virtual


class _Call:
    """A call that is sent at once and ends after some time."""

    sent = True
    has_ended = False
    keep_alive_seconds = None
    error = "aborted"

    def __init__(self, seconds: float, outcome: CallOutcome) -> None:
        self._seconds = seconds
        self._outcome = outcome

    async def run(self, *args: object, **kwargs: object) -> CallOutcome:
        await asyncio.sleep(self._seconds)
        return self._outcome


class PlainAttemptTest(testtools.TestCase):
    """Attempts that begin at the loop time 0."""

    def _count_runs(
        self,
        seconds: float,
        *,
        outcome: CallOutcome = CallOutcome.BROKEN,
        head: Any = None,
    ) -> list[tuple[float, float]]:
        """Runs an attempt.

        Args:
            seconds: Time until its call ends.
            outcome: Outcome of the call.
            head: Head of the answer.

        Returns:
            The times from its start at which it was counted, and from which
            the run was counted.
        """

        async def scenario() -> list[tuple[float, float]]:
            began_at = asyncio.get_running_loop().time()
            counted: list[tuple[float, float]] = []
            board = mock.MagicMock()
            board.now = asyncio.get_running_loop().time
            route = mock.MagicMock(may_retry=False, target_seconds=100.0)
            attempt = ObservedPlainAttempt(
                board,
                mock.MagicMock(),
                entry=mock.MagicMock(),
                request_id="1",
                route=route,
                deadline_seconds=began_at + 60.0,
                prompt_parts=(),
                resumes_after=None,
                previous=None,
                reserve_reroute=lambda runner: False,
            )
            attempt.on_first_event = lambda at: counted.append(
                (board.now() - began_at, at - began_at)
            )
            attempt._call = _Call(seconds, outcome)  # type: ignore[assignment]
            attempt._head = head
            await attempt.run(mock.MagicMock(), [])
            return counted

        return run_virtual(scenario())

    def test_long_run_is_counted_while_in_flight(self) -> None:
        # Guards against runs that come too late for their window, and against
        # a second count at the end.
        counted = self._count_runs(8.0)
        self.assertEqual(1, len(counted))
        self.assertLess(counted[0][0], 1.3)
        self.assertEqual(0.0, counted[0][1])

    def test_short_run_is_counted_at_its_end(self) -> None:
        # Guards against short runs that are not counted, or twice.
        counted = self._count_runs(0.5)
        self.assertEqual(1, len(counted))
        self.assertEqual(0.0, counted[0][1])

    def test_refusal_is_not_counted(self) -> None:
        # Guards against a count before a refusal can have come.
        head = mock.MagicMock(not_run=True, fault_runner="", status=429)
        counted = self._count_runs(0.9, outcome=CallOutcome.COMPLETE, head=head)
        self.assertEqual([], counted)
