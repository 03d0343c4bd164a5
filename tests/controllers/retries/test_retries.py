"""Tests of the retries."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.controllers.retries import Retries
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.core.request import AttemptState
from tests.support.retry_load import make_context, make_request, run_load


class MayRetryTest(testtools.TestCase):
    """One decision at a time."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.retries = Retries(make_context(self.clock, 1))

    def _may_retry(
        self, state: AttemptState, *, attempts: int = 1, **options: object
    ) -> bool:
        request = make_request(0, 0.0, **options)
        wait_seconds = self.retries.may_retry(request, state, attempts=attempts)
        return wait_seconds is not None

    def test_unrepeatable_only_if_it_surely_did_not_run(self) -> None:
        allowed = []
        for state in AttemptState:
            if self._may_retry(state, idempotent=False):
                allowed.append(state)
        self.assertEqual([AttemptState.UNSENT, AttemptState.REFUSED], allowed)

    def test_three_attempts_at_most(self) -> None:
        self.assertTrue(self._may_retry(AttemptState.UNSENT, attempts=2))
        self.assertFalse(self._may_retry(AttemptState.UNSENT, attempts=3))

    def test_not_past_the_deadline(self) -> None:
        self.assertFalse(
            self._may_retry(AttemptState.UNSENT, deadline_at_seconds=0.0)
        )

    def test_small_minimum_without_other_requests(self) -> None:
        allowed = []
        for _ in range(4):
            allowed.append(self._may_retry(AttemptState.MAYBE_RUN))
        self.assertEqual([True, True, False, False], allowed)
        self.clock.advance(10.0)
        self.assertTrue(self._may_retry(AttemptState.MAYBE_RUN))

    def test_one_organisation_does_not_use_up_the_service(self) -> None:
        for number in range(100):
            self.retries.started(make_request(number, 0.0))
        spent = 0
        while self._may_retry(AttemptState.MAYBE_RUN, organisation="museum-0"):
            spent += 1
        self.assertEqual(3, spent)
        self.assertTrue(
            self._may_retry(AttemptState.MAYBE_RUN, organisation="museum-1")
        )

    def test_waits_are_jittered_and_grow(self) -> None:
        request = make_request(0, 0.0)
        waits = set()
        for attempts in (1, 1, 1, 2, 2, 2):
            wait_seconds = self.retries.may_retry(
                request, AttemptState.UNSENT, attempts=attempts
            )
            self.assertThat(wait_seconds, matchers.LessThan(0.1 * attempts))
            waits.add(wait_seconds)
        self.assertEqual(6, len(waits))


class ExtraLoadTest(testtools.TestCase):
    """Three in ten runners break every attempt."""

    def test_budget_bounds_the_extra_load(self) -> None:
        count = run_load(seed=1, failing_share=0.3)
        self.assertThat(count.extra_share, matchers.LessThan(0.1))

    def test_without_budget_is_shown_to_fail(self) -> None:
        count = run_load(seed=1, failing_share=0.3, three_tries=True)
        self.assertThat(count.extra_share, matchers.GreaterThan(0.3))
