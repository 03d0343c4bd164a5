"""Announcements of runners: how they are recorded, logged and told."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.fleet.announcement import RunnerAnnouncement
from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.order_tracker import Directive
from mulberrypaddle.replicas.orders import CloseGroup, LeaveGroup
from mulberrypaddle.serving.announcements import (
    record_announcement,
    record_leaving,
)
from mulberrypaddle.serving.group_controller import GroupController
from mulberrypaddle.serving.heartbeat import SCOPE_FLEET, Heartbeat
from mulberrypaddle.serving.local_heartbeat import (
    MAX_REPORTED_LEAVING,
    make_local_heartbeat,
)
from mulberrypaddle.serving.peer import DutyStatus
from mulberrypaddle.serving.peer_exchange import PeerExchange
from tests.serving.test_digest import make_heartbeat
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import RunnerEntry

_LEAVING = RunnerAnnouncement(leaving=True)

# Longest payload of a UDP datagram over IPv4.
_MAX_DATAGRAM_BYTES = 65_507


def _entry(harness: FrontEndHarness, runner_id: str) -> RunnerEntry:
    """Returns the entry of a listed runner."""
    entry = harness.board.view.get(runner_id)
    assert entry is not None
    return entry


def _in_harness(check: Callable[[FrontEndHarness], None]) -> None:
    """Calls a check with a router, in an event loop."""

    async def scenario() -> None:
        harness = FrontEndHarness()
        check(harness)
        harness.close()

    run(scenario())


class RecordTest(testtools.TestCase):
    """Answers of a runner, and of another one at its address."""

    def test_other_runner_at_the_address_is_recorded_too(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            harness.add_runner("r1", "127.0.0.1:1")
            harness.add_runner("r2", "127.0.0.1:1")
            harness.add_runner("r3", "127.0.0.1:3")
            record_announcement(
                harness.board,
                _entry(harness, "r1"),
                RunnerAnnouncement(leaving=True, other_runner=True),
            )
            leaving = {
                entry.runner_id
                for entry in harness.board.view
                if entry.is_leaving
            }
            self.assertEqual({"r1", "r2"}, leaving)

        _in_harness(check)

    def test_each_lifetime_is_logged_once(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            harness.add_runner("r1", "127.0.0.1:1")
            entry = _entry(harness, "r1")
            for _ in range(5):
                record_announcement(harness.board, entry, _LEAVING)
                record_leaving(harness.board, ("r1", 1), source="router")
                record_announcement(
                    harness.board,
                    entry,
                    RunnerAnnouncement(pause_seconds=1.0, pause_problem="odd"),
                )
            record_leaving(harness.board, ("r1", 2), source="router")

        with self.assertLogs("mulberrypaddle.beliefs", "INFO") as logs:
            _in_harness(check)
        events = [
            (record.msg, record.__dict__["started_at_ms"])
            for record in logs.records
        ]
        self.assertEqual(
            [
                ("runner_leaving", 1),
                ("runner_paused", 1),
                ("runner_leaving", 2),
            ],
            events,
        )
        self.assertEqual("odd", logs.records[1].__dict__["problem"])


class ControlTest(testtools.TestCase):
    """Answers to orders and to requests for a status report."""

    def _announcements(self, answer: bytes) -> list[RunnerAnnouncement]:
        """Returns what the answers to a report and to an order announce."""

        async def write(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer)

        async def scenario() -> list[RunnerAnnouncement]:
            harness = FrontEndHarness()
            runner = RawRunner(write)
            harness.add_runner("r1", await runner.start())
            entry = _entry(harness, "r1")
            control = PlatformRunnerControl()
            found: list[RunnerAnnouncement] = []
            control.on_announcement = lambda _, item: found.append(item)
            await control.fetch_report(entry, limit_seconds=1.0)
            await control.send_order(entry, LeaveGroup("g1", epoch=1), fence=1)
            harness.close()
            await runner.stop()
            return found

        return run(scenario())

    def test_answers_that_announce_to_leave(self) -> None:
        for status in (b"200", b"202", b"409", b"503"):
            found = self._announcements(
                b"HTTP/1.1 " + status + b" X\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 2\r\n\r\n{}"
            )
            self.assertEqual([True, True], [item.leaving for item in found])

    def test_answers_that_ask_for_a_pause(self) -> None:
        found = self._announcements(
            b"HTTP/1.1 503 X\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual([2.5, 2.5], [item.pause_seconds for item in found])


class _RunnerControl:
    """Counts orders and requests for reports.

    Attributes:
        order_count: Number of orders.
        reported_ids: Runners that were asked for a report.
    """

    def __init__(self) -> None:
        self.order_count = 0
        self.reported_ids: list[str] = []

    async def send_order(self, *args: object, **options: object) -> object:
        self.order_count += 1
        raise asyncio.CancelledError

    async def fetch_report(
        self, entry: RunnerEntry, **options: object
    ) -> object:
        self.reported_ids.append(entry.runner_id)
        raise asyncio.CancelledError


class _DutyManager:
    """Holds the fencing token 7 for one data centre."""

    def fences(self) -> dict[str, int]:
        return {"south": 7}


class PausedControlTest(testtools.TestCase):
    """Orders and probes in a pause that a runner asked for."""

    def _controller(
        self, harness: FrontEndHarness
    ) -> tuple[GroupController, _RunnerControl]:
        control = _RunnerControl()
        controller = GroupController(
            harness.board,
            control=control,  # type: ignore[arg-type]
            duty_manager=_DutyManager(),  # type: ignore[arg-type]
        )
        controller._fences = {"south": 7}
        return controller, control

    def test_one_order_is_sent(self) -> None:
        async def scenario() -> int:
            harness = FrontEndHarness()
            harness.add_open_group("h1", "127.0.0.1:1")
            entry = _entry(harness, "h1")
            harness.board.pauses.record(
                entry.incarnation, 60.0, harness.board.now()
            )
            controller, control = self._controller(harness)
            reconciler = GroupReconciler(load_window_seconds=5.0)
            for _ in range(4):
                order = CloseGroup("g-h1", epoch=1)
                task = asyncio.ensure_future(
                    controller._send_order(
                        reconciler, Directive(entry, order, reason="test")
                    )
                )
                await asyncio.wait({task})
            harness.close()
            return control.order_count

        self.assertEqual(1, run(scenario()))

    def test_no_probe_is_sent(self) -> None:
        async def scenario() -> list[str]:
            harness = FrontEndHarness()
            board = harness.board
            harness.add_open_group("h1", "127.0.0.1:1")
            board.runner_health.mark_suspected("h1", board.now())
            board.pauses.record(
                _entry(harness, "h1").incarnation, 60.0, board.now()
            )
            controller, control = self._controller(harness)
            assert board.config is not None
            controller._probe_suspects(
                board.config.services["cards"],
                GroupReconciler(load_window_seconds=5.0),
                board.now(),
            )
            await asyncio.sleep(0)
            harness.close()
            return control.reported_ids

        self.assertEqual(["h1-1"], run(scenario()))


class HeartbeatTest(testtools.TestCase):
    """Leaving runners are told to other routers."""

    def test_receiver_learns_which_lifetime_leaves(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            exchange = PeerExchange(harness.board, [])
            for number in range(3):
                harness.add_runner(f"r{number}", f"127.0.0.1:{number + 1}")
            heartbeat = make_heartbeat(
                "b", leaving={"r0": 1, "r1": 2, "r2": None, "gone": 3}
            )
            exchange.datagram_received(heartbeat.to_bytes(), ("127.0.0.2", 1))
            leaving = [
                _entry(harness, f"r{number}").is_leaving for number in range(3)
            ]
            self.assertEqual([True, False, False], leaving)

        _in_harness(check)

    def test_members_learn_it_from_the_digest_of_their_relay(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            exchange = PeerExchange(harness.board, [])
            harness.add_runner("r0", "127.0.0.1:1")
            digest = make_heartbeat(
                "b", leaving={"r0": 1}, scope=SCOPE_FLEET, routers=20
            )
            exchange.datagram_received(digest.to_bytes(), ("127.0.0.2", 1))
            self.assertTrue(_entry(harness, "r0").is_leaving)

        _in_harness(check)

    def test_relay_reports_what_a_member_told(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            exchange = PeerExchange(harness.board, [])
            harness.add_runner("r0", "127.0.0.1:1")
            member = make_heartbeat("b", leaving={"r0": 1})
            exchange.datagram_received(member.to_bytes(), ("127.0.0.2", 1))
            self.assertEqual({"r0": 1}, _local_heartbeat(harness).leaving)

        _in_harness(check)

    def test_invalid_start_time_is_rejected(self) -> None:
        for value in ("1", 1.5, [], {}):
            self.assertRaises(
                ValueError, make_heartbeat, "b", leaving={"r": value}
            )

    def test_previous_version_can_read_the_message(self) -> None:
        # It rejects unknown fields and skips unknown collections in `changes`.
        data = make_heartbeat("b", leaving={"r0": 1}).to_bytes()
        fields = json.loads(data)
        without = json.loads(make_heartbeat("b").to_bytes())
        self.assertEqual(without.keys(), fields.keys())
        self.assertEqual({"leaving": {"r0": 1}}, fields["changes"])
        decoded = Heartbeat.from_bytes(data)
        self.assertEqual({"r0": 1}, decoded.leaving)
        self.assertEqual({}, decoded.changes)

    def test_message_is_bounded(self) -> None:
        def check(harness: FrontEndHarness) -> None:
            for number in range(1000):
                harness.add_runner(f"runner-{number:060}", "127.0.0.1:1")
                record_leaving(
                    harness.board, (f"runner-{number:060}", 1), source="router"
                )
            heartbeat = _local_heartbeat(harness)
            self.assertEqual(MAX_REPORTED_LEAVING, len(heartbeat.leaving))
            self.assertLess(len(heartbeat.to_bytes()), _MAX_DATAGRAM_BYTES)

        _in_harness(check)


def _local_heartbeat(harness: FrontEndHarness) -> Heartbeat:
    """Returns the heartbeat of a router that holds no duty."""
    return make_local_heartbeat(
        harness.board,
        duty_status=DutyStatus(),
        incarnation="a",
        capacity=0,
        revisions={},
        known=[],
        relays={},
        now_seconds=harness.board.now(),
    )
