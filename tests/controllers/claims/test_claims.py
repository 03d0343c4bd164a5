"""Tests of claims over seven routers, one failure at a time."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.controllers.claims import Protections, batch, log
from mulberrypaddle.controllers.claims.idempotency_key import (
    key_digest,
    range_of,
)
from mulberrypaddle.controllers.claims.owner import duty_of
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.invariants import InvariantBreachError
from mulberrypaddle.core.rendezvous import owner_of
from tests.support.claims_fleet import ROUTERS, ClaimsFleet, Sending


class _ClaimsCase(testtools.TestCase):
    def make(self, **options: object) -> ClaimsFleet:
        fleet = ClaimsFleet(seed=1, **options)
        fleet.refused_share = 0.0
        fleet.broken_share = 0.0
        fleet.fleet.run(1.0)
        return fleet

    def owner(self, key: str, members: list[str] = ROUTERS) -> str:
        number = range_of(key_digest("museum", key))
        return owner_of(duty_of(number), members)

    def others(self, *member_ids: str) -> list[str]:
        return [name for name in ROUTERS if name not in member_ids]

    def kind(self, sending: Sending) -> ErrorKind | None:
        if sending.result is None:
            return None
        return sending.result.failure().kind


class ResendTest(_ClaimsCase):
    """The same key again."""

    def test_gets_the_kept_answer_through_another_router(self) -> None:
        fleet = self.make()
        key = fleet.new_key()
        fleet.submit("router-1", key)
        fleet.fleet.run(2.0)
        again = fleet.submit("router-2", key)
        fleet.fleet.run(1.0)
        self.assertEqual(key.encode(), again.result.unwrap().body)
        self.assertEqual({key: 1}, fleet.runs)
        self.assertEqual(0, fleet.claims["router-1"].unconfirmed)

    def test_of_a_large_answer_is_told_that_it_ran(self) -> None:
        fleet = self.make()
        fleet.answer_bytes = 5000
        key = fleet.new_key()
        fleet.submit("router-1", key)
        fleet.fleet.run(2.0)
        again = fleet.submit("router-2", key)
        fleet.fleet.run(1.0)
        self.assertEqual(ErrorKind.ALREADY_RAN, self.kind(again))

    def test_while_running_joins_or_is_unknown(self) -> None:
        fleet = self.make()
        fleet.queue_seconds = 4.0
        key = fleet.new_key()
        fleet.submit("router-1", key)
        fleet.fleet.run(0.5)
        joined = fleet.submit("router-1", key)
        elsewhere = fleet.submit("router-2", key)
        fleet.fleet.run(0.5)
        self.assertIsNone(joined.result)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, self.kind(elsewhere))
        fleet.fleet.run(9.0)
        self.assertEqual(key.encode(), joined.result.unwrap().body)
        self.assertEqual({key: 1}, fleet.runs)

    def test_with_other_content_is_refused(self) -> None:
        fleet = self.make()
        key = fleet.new_key()
        fleet.submit("router-1", key)
        same = fleet.submit("router-1", key, body=b"another")
        fleet.fleet.run(2.0)
        other = fleet.submit("router-2", key, body=b"another")
        fleet.fleet.run(1.0)
        self.assertEqual(ErrorKind.KEY_REUSED, self.kind(same))
        self.assertEqual(ErrorKind.KEY_REUSED, self.kind(other))

    def test_after_a_refusal_by_the_runner_runs(self) -> None:
        fleet = self.make()
        fleet.refused_share = 1.0
        key = fleet.new_key()
        fleet.submit("router-1", key)
        fleet.fleet.run(2.0)
        fleet.refused_share = 0.0
        fleet.submit("router-2", key)
        fleet.fleet.run(2.0)
        self.assertEqual({key: 1}, fleet.runs)


class StoreTest(_ClaimsCase):
    """The platform's store fails."""

    def test_outage_refuses_as_not_run_and_blocks_no_key(self) -> None:
        fleet = self.make()
        key = fleet.new_key()
        fleet.fleet.store.down = True
        refused = fleet.submit("router-1", key)
        fleet.fleet.run(5.0)
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, self.kind(refused))
        fleet.fleet.store.down = False
        fleet.fleet.run(2.0)
        fleet.submit("router-2", key)
        fleet.fleet.run(2.0)
        self.assertEqual({key: 1}, fleet.runs)

    def test_claim_that_landed_unseen_is_released(self) -> None:
        fleet = self.make()
        key = fleet.new_key()
        store = fleet.fleet.store
        store.lost_response_share, store.applied_share = 1.0, 1.0
        asks, again = self.others(self.owner(key))[:2]
        refused = fleet.submit(asks, key)
        fleet.fleet.run(0.3)
        fleet.fleet.store_cut.update(ROUTERS)
        fleet.fleet.run(6.0)
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, self.kind(refused))
        # The router that asked is gone: only the owner knows.
        fleet.kill(refused.member_id)
        fleet.fleet.store_cut.clear()
        store.lost_response_share = 0.0
        fleet.fleet.run(4.0)
        fleet.submit(again, key)
        fleet.fleet.run(2.0)
        self.assertEqual({key: 1}, fleet.runs)


class OwnerTest(_ClaimsCase):
    """The owner of the key range is lost or replaced."""

    def _lose_owner_while_running(self, fleet: ClaimsFleet) -> Sending:
        fleet.queue_seconds = 8.0
        key = fleet.new_key()
        owner = self.owner(key)
        asks, again = self.others(owner)[:2]
        fleet.submit(asks, key)
        fleet.fleet.run(0.5)
        fleet.kill(owner)
        fleet.kill(asks)
        fleet.change_members(self.others(owner))
        fleet.fleet.run(8.0)
        sending = fleet.submit(again, key)
        fleet.fleet.run(20.0)
        return sending

    def test_heir_answers_unknown_for_an_open_claim(self) -> None:
        sending = self._lose_owner_while_running(self.make())
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, self.kind(sending))

    def test_grant_before_the_write_is_shown_to_fail(self) -> None:
        protections = Protections(write_before_grant=False)
        fleet = self.make(protections=protections)
        key = fleet.new_key()
        owner = self.owner(key)
        asks, again = self.others(owner)[:2]
        fleet.fleet.store_cut.add(owner)
        fleet.submit(asks, key)
        fleet.fleet.run(0.5)
        fleet.kill(owner)
        fleet.kill(asks)
        fleet.fleet.store_cut.clear()
        fleet.fleet.run(2.0)
        fleet.submit(again, key)
        fleet.fleet.run(4.0)
        self.assertEqual([key], fleet.double_runs())

    def test_unread_lost_answer_is_shown_to_fail(self) -> None:
        for read_back, runs in ((True, 1), (False, 2)):
            fleet = self.make(protections=Protections(read_back=read_back))
            store = fleet.fleet.store
            key = fleet.new_key()
            owner = self.owner(key)
            asks, again = self.others(owner)[:2]
            store.lost_response_share, store.applied_share = 1.0, 0.0
            fleet.submit(asks, key)
            fleet.fleet.run(1.0)
            store.lost_response_share = 0.0
            fleet.kill(owner)
            fleet.fleet.run(3.0)
            fleet.submit(again, key)
            fleet.fleet.run(4.0)
            self.assertEqual({key: runs}, fleet.runs)

    def _stale_owner_grants(self, protections: Protections) -> ClaimsFleet:
        """An isolated owner and its heir are asked for the same key."""
        fleet = self.make(protections=protections)
        key = fleet.new_key()
        owner = self.owner(key)
        asks, again = self.others(owner)[:2]
        # The heir would delete an empty segment, which fences as well.
        fleet.submit(asks, fleet.key_beside(key))
        fleet.fleet.run(1.0)
        fleet.isolate(owner)
        fleet.isolate(asks)
        fleet.change_members(self.others(owner))
        fleet.fleet.run(8.0)
        fleet.submit(asks, key)
        fleet.fleet.run(1.0)
        fleet.submit(again, key)
        fleet.fleet.run(3.0)
        return fleet

    def test_stale_owner_is_stopped_by_lease_and_by_fence(self) -> None:
        for protections in (
            Protections(),
            Protections(settle_wait=False),
            Protections(fence=False),
        ):
            fleet = self._stale_owner_grants(protections)
            self.assertEqual([], fleet.double_runs())
        protections = Protections(settle_wait=False, fence=False)
        fleet = self._stale_owner_grants(protections)
        self.assertEqual(1, len(fleet.double_runs()))


class GrantTest(_ClaimsCase):
    """The router that received the request is late."""

    def _send_late(self, protections: Protections) -> ClaimsFleet:
        fleet = self.make(protections=protections)
        key = fleet.new_key()
        fleet.send_after_seconds = 40.0
        fleet.submit("router-1", key)
        fleet.fleet.run(25.0)
        fleet.send_after_seconds = 0.0
        fleet.submit("router-2", key)
        fleet.fleet.run(20.0)
        return fleet

    def test_expired_grant_is_given_back_and_not_used(self) -> None:
        fleet = self._send_late(Protections())
        self.assertEqual([1], list(fleet.runs.values()))
        fleet = self._send_late(Protections(grant_expiry=False))
        self.assertEqual([2], list(fleet.runs.values()))

    def test_second_sending_under_one_grant_is_a_breach(self) -> None:
        fleet = self.make()
        fleet.queue_seconds = 4.0
        sending = fleet.submit("router-1", fleet.new_key())
        fleet.fleet.run(0.5)
        claims = fleet.claims["router-1"]
        claims.may_send(sending.request)
        self.assertRaises(
            InvariantBreachError, claims.may_send, sending.request
        )


class RetentionTest(_ClaimsCase):
    """Memory and store stay bounded without forgetting."""

    def _resend_after_the_window(self, protections: Protections) -> ClaimsFleet:
        fleet = self.make(retention_seconds=20.0, protections=protections)
        first = fleet.new_key()
        fleet.submit("router-1", first)
        fleet.fleet.run(2.0)
        for name in ROUTERS:
            fleet.kill(name)
        fleet.fleet.run(150.0)
        self.last = fleet.submit("router-2", first)
        fleet.fleet.run(2.0)
        return fleet

    def test_expired_key_is_refused_and_forgotten(self) -> None:
        fleet = self._resend_after_the_window(Protections())
        self.assertEqual(ErrorKind.KEY_EXPIRED, self.kind(self.last))
        held = sum(claims.records for claims in fleet.claims.values())
        self.assertEqual(0, held)
        objects = fleet.fleet.store.list("claims/").unwrap()
        self.assertThat(len(objects), matchers.LessThan(9))

    def test_accepted_expired_key_is_shown_to_fail(self) -> None:
        fleet = self._resend_after_the_window(Protections(retention=False))
        self.assertEqual(1, len(fleet.double_runs()))


class LongLogTest(_ClaimsCase):
    """A log of many segments."""

    def test_heir_reads_it_in_small_steps_and_knows_every_claim(self) -> None:
        fleet = self.make()
        first = fleet.new_key()
        keys = [first]
        while len(keys) < 40:
            keys.append(fleet.key_beside(first))
        self.patch(batch, "SEGMENT_BYTES", 100)
        for key in keys:
            fleet.submit("router-1", key)
            fleet.fleet.run(0.2)
        fleet.fleet.run(2.0)
        prefix = f"claims/{range_of(key_digest('museum', first)):02d}/"
        segments = fleet.fleet.store.list(prefix).unwrap()
        self.assertThat(len(segments), matchers.GreaterThan(20))
        self.patch(log, "SEGMENTS_PER_STEP", 1)
        fleet.kill(self.owner(first))
        fleet.fleet.run(4.0)
        sendings = [fleet.submit("router-2", key) for key in keys]
        fleet.fleet.run(4.0)
        self.assertEqual(dict.fromkeys(keys, 1), fleet.runs)
        for sending in sendings:
            self.assertIsNotNone(sending.result)
