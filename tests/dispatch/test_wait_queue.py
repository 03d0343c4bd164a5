"""Order of waiting requests, and how many meet their target under overload."""

from __future__ import annotations

import asyncio
import random

import testtools

from mulberrypaddle.dispatch import WaitQueue
from mulberrypaddle.dispatch.wait_queue import (
    Waiter,
    queue_sort_key,
    share_of_free_slots,
)
from tests.support.asynchronous import run

STEP_SECONDS = 0.01
MAX_WAIT_SECONDS = 1.65
ON_TIME_SECONDS = 0.1


def _waiter(order: float, *, on_time_until: float = 0.0) -> Waiter:
    """Returns a request with this sort key that waits `MAX_WAIT_SECONDS`."""
    return Waiter(
        order,
        on_time_until_seconds=on_time_until,
        until_seconds=MAX_WAIT_SECONDS,
        wait_result=asyncio.get_running_loop().create_future(),
    )


class _Overload:
    """Simulates a queue of requests for runners with a number of slots."""

    def __init__(self, *, slots: int, requests_per_second: float) -> None:
        self.slots = slots
        self.requests_per_second = requests_per_second
        self.on_time_count = 0
        self.late_count = 0
        self.unserved_count = 0
        self.worst_large_wait = 0.0

    async def simulate(self, seconds: float) -> None:
        """Simulates random arrivals that each hold a slot for a second."""
        rng = random.Random(1)
        line = WaitQueue()
        busy_until: list[float] = []
        waiting: list[tuple[Waiter, float]] = []
        now = 0.0
        while now < seconds:
            now += STEP_SECONDS
            busy_until = [end for end in busy_until if end > now]
            if rng.random() < self.requests_per_second * STEP_SECONDS:
                waiter = Waiter(
                    queue_sort_key(
                        arrived_at_seconds=now, urgency=1, busy_seconds=1.0
                    ),
                    on_time_until_seconds=now + ON_TIME_SECONDS,
                    until_seconds=now + MAX_WAIT_SECONDS,
                    wait_result=asyncio.get_running_loop().create_future(),
                )
                line.add(waiter)
                waiting.append((waiter, now))
            line.admit_waiting(self.slots - len(busy_until), now_seconds=now)
            still_waiting = []
            for waiter, arrived in waiting:
                if not waiter.wait_result.done():
                    still_waiting.append((waiter, arrived))
                    continue
                if not waiter.wait_result.result():
                    self.unserved_count += 1
                    continue
                busy_until.append(now + 1.0)
                if now - arrived <= ON_TIME_SECONDS + STEP_SECONDS:
                    self.on_time_count += 1
                else:
                    self.late_count += 1
            waiting = still_waiting


class OverloadTest(testtools.TestCase):
    """A quarter more requests than the runners of a small site can handle."""

    def test_most_requests_that_can_be_served_meet_their_target(self) -> None:
        overload = _Overload(slots=60, requests_per_second=75.0)
        run(overload.simulate(40.0))
        total = (
            overload.on_time_count
            + overload.late_count
            + overload.unserved_count
        )
        # Four in five can be served. In order of arrival, all of them would be
        # late.
        self.assertGreater(overload.on_time_count / total, 0.7)
        served = overload.on_time_count + overload.late_count
        self.assertGreater(served / total, 0.75)

    def test_no_request_waits_at_low_load(self) -> None:
        overload = _Overload(slots=120, requests_per_second=75.0)
        run(overload.simulate(40.0))
        self.assertEqual(0, overload.late_count + overload.unserved_count)


class QueueOrderTest(testtools.TestCase):
    """Priority among waiting requests."""

    def test_on_time_requests_precede_late_ones_and_older_precede_newer(
        self,
    ) -> None:
        async def scenario() -> list[bool]:
            line = WaitQueue()
            waiters = [
                _waiter(1.0, on_time_until=0.5),
                _waiter(3.0, on_time_until=2.0),
                _waiter(2.0, on_time_until=2.0),
            ]
            for waiter in waiters:
                line.add(waiter)
            line.admit_waiting(1, now_seconds=1.0)
            return [waiter.wait_result.done() for waiter in waiters]

        self.assertEqual([False, False, True], run(scenario()))

    def test_late_requests_are_not_ahead_of_on_time_ones(self) -> None:
        async def scenario() -> tuple[int, int]:
            line = WaitQueue()
            line.add(_waiter(1.0, on_time_until=0.5))
            line.add(_waiter(2.0, on_time_until=2.0))
            return (
                line.count_ahead(3.0, on_time=True, now_seconds=1.0),
                line.count_ahead(3.0, on_time=False, now_seconds=1.0),
            )

        self.assertEqual((1, 2), run(scenario()))

    def test_expired_waiter_is_resolved_with_false(self) -> None:
        async def scenario() -> tuple[bool, int]:
            line = WaitQueue()
            waiter = _waiter(1.0)
            line.add(waiter)
            line.admit_waiting(5, now_seconds=MAX_WAIT_SECONDS)
            return waiter.wait_result.result(), len(line)

        self.assertEqual((False, 0), run(scenario()))

    def test_urgent_and_short_requests_sort_first(self) -> None:
        def order(*, urgency: int, busy: float) -> float:
            return queue_sort_key(
                arrived_at_seconds=0.0, urgency=urgency, busy_seconds=busy
            )

        self.assertLess(order(urgency=0, busy=1.0), order(urgency=1, busy=1.0))
        self.assertLess(order(urgency=1, busy=0.5), order(urgency=1, busy=1.0))


class SlotShareTest(testtools.TestCase):
    """Division of the free slots among the routers that see them."""

    def test_only_router_with_a_queue_uses_all_slots(self) -> None:
        share = share_of_free_slots(
            3, local_waiting=2, peers_waiting=0, chance=0.9
        )
        self.assertEqual(3, share)

    def test_all_routers_together_use_about_the_free_slots(self) -> None:
        rng = random.Random(1)
        used = 0
        for _ in range(200):
            for _ in range(71):
                used += share_of_free_slots(
                    5, local_waiting=1, peers_waiting=70, chance=rng.random()
                )
        self.assertAlmostEqual(5.0, used / 200, delta=0.5)

    def test_router_without_a_queue_uses_no_slots(self) -> None:
        share = share_of_free_slots(
            3, local_waiting=0, peers_waiting=2, chance=0.0
        )
        self.assertEqual(0, share)


class EndedWaitTest(testtools.TestCase):
    """Waits that end before any slot can be free."""

    def test_only_waits_that_end_before_the_time_are_ended(self) -> None:
        async def scenario() -> tuple[bool, int]:
            queue = WaitQueue()
            waiter = _waiter(1.0)
            queue.add(waiter)
            queue.end_waits_before(MAX_WAIT_SECONDS)
            assert not waiter.wait_result.done()
            queue.end_waits_before(MAX_WAIT_SECONDS + 0.1)
            return waiter.wait_result.result(), len(queue)

        self.assertEqual((False, 0), run(scenario()))
