"""Tests of the check that no request on a kept connection is lost."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from unittest import mock

import testtools

from tests.support.asynchronous import run
from tests.support.disruptions import Disruptions
from tests.support.idle_limits import IdleLimits
from tests.support.kept_callers import KeptCallers, SentRequest, losses
from tests.support.simulated_deployment import (
    Caller,
    Router,
    SimulatedDeployment,
)

GRACE_SECONDS = 6.0


class LossesTest(testtools.TestCase):
    """Which requests without a complete answer count as lost in a stop."""

    def _excuses(
        self,
        *,
        sent_after: float = 3.5,
        lasted: float = 1.0,
        outcome: str = "cut",
        limit: float = 4.0,
        runs: bool = True,
        broke_off: bool = False,
        run_lasted: float | None = None,
        was_reset: bool = False,
        paused: bool = False,
        killed: bool = False,
        signalled: bool = True,
        within_limit: bool = False,
    ) -> list[str]:
        """Returns the excuses of one request.

        Args:
            sent_after: Time from a signal to stop to the request, in seconds.
            lasted: Time from the request to the end of its connection.
            outcome: Outcome of the request.
            limit: Time limit of the request, in seconds.
            runs: Whether it reaches a runner.
            broke_off: Whether the runner broke off.
            run_lasted: Time after which the runner ended the answer, in
                seconds; None if it did not.
            was_reset: Whether the connection was reset.
            paused: Whether the router was paused before the request.
            killed: Whether the router was killed before the request.
            signalled: Whether the router got the signal.
            within_limit: Whether the connection was kept within its limit.
        """

        async def scenario() -> list[str]:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(
                    Path(folder), grace_seconds=GRACE_SECONDS
                )
                router = Router(
                    deployment, 1, data_centre="south", source=Path(folder)
                )
                stopped_at = time.monotonic()
                if signalled:
                    router.stopped_at_seconds.append(stopped_at)
                request = SentRequest("q1", "write", router, limit)
                request.sent_at_seconds = stopped_at + sent_after
                request.ended_at_seconds = stopped_at + sent_after + lasted
                request.outcome = outcome
                request.was_reset = was_reset
                request.is_within_limit = within_limit
                if runs:
                    work = deployment.record_run("q1", "i-1", may_repeat=True)
                    work.broke_off = broke_off
                    if run_lasted is not None:
                        work.ended_at_seconds = (
                            stopped_at + sent_after + run_lasted
                        )
                disruptions = Disruptions()
                if paused:
                    disruptions.add_pause(router, 1.0)
                if killed:
                    disruptions.add(router.ip, 1.0)
                found = losses(deployment, [request], disruptions)
                excuses = [loss.excuse for loss in found]
                deployment.store.close()
                await asyncio.sleep(0)
                return excuses

        return run(scenario())

    def test_request_that_is_cut_counts(self) -> None:
        self.assertEqual([""], self._excuses())

    def test_answered_request_is_not_lost(self) -> None:
        self.assertEqual([], self._excuses(outcome="served"))

    def test_early_request_at_a_runner_until_the_end_is_excused(self) -> None:
        excuses = self._excuses(sent_after=2.9, lasted=2.8)
        self.assertEqual(["runner at work at the end"], excuses)

    def test_early_request_whose_runner_has_answered_counts(self) -> None:
        excuses = self._excuses(sent_after=2.9, lasted=2.8, run_lasted=1.0)
        self.assertEqual([""], excuses)

    def test_early_request_that_is_cut_before_the_end_counts(self) -> None:
        self.assertEqual([""], self._excuses(sent_after=0.5, lasted=2.0))

    def test_time_limit_and_broken_runner_excuse(self) -> None:
        self.assertEqual(["time limit"], self._excuses(limit=1.0))
        self.assertEqual(["runner broke off"], self._excuses(broke_off=True))

    def test_unread_request_is_not_lost(self) -> None:
        unread = self._excuses(outcome="no answer", runs=False, was_reset=True)
        crossing = self._excuses(outcome="no answer", runs=False, lasted=0.1)
        read = self._excuses(outcome="no answer", runs=False, lasted=0.3)
        self.assertEqual(([], [], [""]), (unread, crossing, read))

    def test_pause_of_the_router_excuses(self) -> None:
        self.assertEqual(["disruption"], self._excuses(paused=True))
        late = self._excuses(sent_after=4.5, lasted=1.0, paused=True)
        self.assertEqual([""], late)

    def test_unread_request_on_a_kept_connection_counts(self) -> None:
        excuses = self._excuses(
            outcome="no answer",
            runs=False,
            was_reset=True,
            signalled=False,
            within_limit=True,
        )
        self.assertEqual([""], excuses)

    def test_request_after_the_idle_limit_is_not_lost(self) -> None:
        excuses = self._excuses(
            outcome="no answer", runs=False, was_reset=True, signalled=False
        )
        self.assertEqual([], excuses)

    def test_late_process_does_not_excuse_a_request_in_its_socket(self) -> None:
        excuses = self._excuses(
            outcome="no answer",
            runs=False,
            was_reset=True,
            signalled=False,
            within_limit=True,
            paused=True,
        )
        self.assertEqual([""], excuses)

    def test_killed_process_excuses(self) -> None:
        excuses = self._excuses(
            outcome="no answer",
            runs=False,
            signalled=False,
            within_limit=True,
            killed=True,
        )
        self.assertEqual(["disruption"], excuses)

    def test_request_that_never_ends_counts_unless_the_process_stands(
        self,
    ) -> None:
        hanging = self._excuses(outcome="timed out", lasted=5.0)
        paused = self._excuses(
            outcome="timed out", sent_after=0.0, lasted=5.0, paused=True
        )
        self.assertEqual(([""], ["disruption"]), (hanging, paused))

    def test_kept_connection_that_crosses_a_stop_is_not_lost(self) -> None:
        excuses = self._excuses(
            outcome="no answer", runs=False, was_reset=True, within_limit=True
        )
        self.assertEqual([], excuses)


class IdleLimitsTest(testtools.TestCase):
    """The smallest limit that may be in force is that of a recent version."""

    def test_raised_limit_holds_once_it_must_be_in_force(self) -> None:
        limits = IdleLimits()
        with mock.patch.object(time, "monotonic") as now:
            now.return_value = 100.0
            limits.record(2.0)
            now.return_value = 110.0
            limits.record(15.0)
            now.return_value = 111.9
            self.assertEqual(2.0, limits.smallest_seconds())
            self.assertEqual(False, limits.allows(1.7))
            now.return_value = 112.1
            self.assertEqual(15.0, limits.smallest_seconds())
            self.assertEqual(True, limits.allows(11.9))

    def test_lowered_limit_holds_at_once(self) -> None:
        limits = IdleLimits()
        limits.record(15.0)
        limits.record(2.0)
        self.assertEqual(2.0, limits.smallest_seconds())


class StreamLimitTest(testtools.TestCase):
    """Kinds of requests while many streams are open."""

    def test_no_more_streams_are_begun_than_the_limit(self) -> None:
        async def scenario() -> tuple[set[str], set[str]]:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
                callers = KeptCallers(
                    deployment,
                    Caller(deployment),
                    seed=1,
                    kinds=("safe", "draft"),
                    longest_pause_seconds=1.0,
                )
                before = {callers._choose_kind() for _ in range(50)}
                callers.limit_streams(0)
                after = {callers._choose_kind() for _ in range(50)}
                await deployment.close()
                return before, after

        self.assertEqual(({"safe", "draft"}, {"safe"}), run(scenario()))
