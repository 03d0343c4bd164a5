"""Sends this router's usage counts to the holder of the duty, by datagram.

Each router sends its running sums and its wall clock to the holder, which
answers with the agreed time. The sums also go to a backup that the holder
names, which passes on those of routers that have fallen silent to the next
holder.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING, Any

from mulberrypaddle.duties.usage_sums import ProcessSums
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.report_limiter import ReportLimiter
from mulberrypaddle.serving.usage_message import (
    MAX_WINDOWS,
    Echo,
    UsageAnswer,
    UsageMessage,
    decode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.duties.fleet_clock import FleetClock
    from mulberrypaddle.duties.usage_counter import UsageCounter
    from mulberrypaddle.duties.usage_sums import UsageSums
    from mulberrypaddle.serving.blackboard import Blackboard

_LOGGER = logging.getLogger("mulberrypaddle.duties")

# Pause between two rounds, in which a new holder is noticed.
ROUND_SECONDS = 0.1

# Interval of messages while the sums change, or the holder has not answered.
SEND_INTERVAL_SECONDS = 0.5

# Interval while they don't, in which the clocks are compared. It is shorter
# than the time that a new holder waits for sums.
IDLE_INTERVAL_SECONDS = 1.0

# Longest round trip of a message and its answer by which clocks are compared:
# half of it is the greatest error.
MAX_ROUND_TRIP_SECONDS = 0.2

# Time without a message of a router after which its sums are passed on: two
# messages are lost, or it has ended.
SILENT_SECONDS = 1.2

# Time without an answer after which the sums go to all routers that may hold
# the duty: two messages to the presumed holder.
UNANSWERED_SECONDS = 1.0

# Times that the sums of a silent process are passed on to a holder; one
# datagram may be lost.
PASS_ON_COUNT = 2

# Windows after the present one whose sums are kept: clocks differ by little.
FUTURE_WINDOWS = 2


class UsageExchange(asyncio.DatagramProtocol):
    """Sends and receives usage sums and clocks."""

    def __init__(
        self,
        board: Blackboard,
        *,
        port: int,
        incarnation: str,
        clock: FleetClock,
        counter: UsageCounter,
        sums: UsageSums,
        find_holder: Callable[[], tuple[str, str]],
        find_candidates: Callable[[], set[str]],
        holds_duty: Callable[[], bool],
        era: Callable[[], int],
        observe_era: Callable[[int], None],
        steady: Callable[[], float],
        wall: Callable[[], float],
        kept_seconds: float,
    ) -> None:
        """Creates an exchange that does nothing until `run`.

        Args:
            board: Shared state of this router.
            port: Port for the datagrams, the same on every VM.
            incarnation: Id of this process.
            clock: The agreed time.
            counter: Counts of this process.
            sums: Sums of all processes that this router hears of.
            find_holder: Returns the address of the holder, if it is another
                router, and the id of its process; empty if unknown.
            find_candidates: Returns the addresses of routers that may hold the
                duty while the presumed holder doesn't answer.
            holds_duty: Returns whether this router holds the duty.
            era: Returns the latest known era of the store; 0 if unknown.
            observe_era: Called with the era that the holder knows.
            steady: Returns the steady time in seconds.
            wall: Returns the wall clock in seconds.
            kept_seconds: Time from the end of a window for which its sums are
                kept.
        """
        self._board = board
        self._port = port
        self._incarnation = incarnation
        self._clock = clock
        self._counter = counter
        self._sums = sums
        self._find_holder = find_holder
        self._find_candidates = find_candidates
        self._holds_duty = holds_duty
        self._era = era
        self._observe_era = observe_era
        self._steady = steady
        self._wall = wall
        self._kept_seconds = kept_seconds
        self._transport: asyncio.DatagramTransport | None = None
        self._started_at_seconds = steady()
        self._sent_at_seconds = -IDLE_INTERVAL_SECONDS
        # Holder that the last message went to, and the state of the sums that
        # it has confirmed.
        self._holder = ("", "")
        self._confirmed_change = -1
        # Address that answered last, and the steady time of that.
        self._answering_ip = ""
        self._heard_holder_at_seconds = self._started_at_seconds
        self._backup_ip = ""
        # Last answer, and the steady time at which it arrived.
        self._last_answer: UsageAnswer | None = None
        self._answered_at_seconds = 0.0
        # Addresses that processes sent their messages from, by process.
        self._ips: dict[str, str] = {}
        # How often the sums of each silent process were passed on to the
        # present holder.
        self._passed_on: dict[str, int] = {}
        self._reported = ReportLimiter()

    async def run(self) -> None:
        """Exchanges datagrams until cancelled; then sends the sums once more.

        The sums that changed since the last message would be lost otherwise.
        """
        transport, _ = await self._board.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._board.settings.ip, self._port)
        )
        try:
            while not transport.is_closing():
                self.tick()
                await asyncio.sleep(ROUND_SECONDS)
        finally:
            if not transport.is_closing():
                self._send_sums(self._steady())
            transport.close()
        raise ConnectionError("the socket for usage sums was closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the datagram socket."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the transport; `run` ends then and is started again."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram was not delivered; it is repeated anyway."""
        _LOGGER.debug("usage_datagram_refused", extra={"reason": str(exc)})

    # Sending.

    def tick(self) -> None:
        """Sends what is due, and updates the agreed time of the holder."""
        now = self._steady()
        self._prune(now)
        holder = self._find_holder()
        if holder != self._holder:
            self._holder = holder
            self._confirmed_change = -1
            self._sent_at_seconds = -IDLE_INTERVAL_SECONDS
            self._passed_on.clear()
        is_changed = self._confirmed_change != self._counter.change_number
        interval_seconds = (
            SEND_INTERVAL_SECONDS if is_changed else IDLE_INTERVAL_SECONDS
        )
        # Rounds come a little late, so that half of one is allowed for.
        if now - self._sent_at_seconds < interval_seconds - ROUND_SECONDS / 2:
            return
        self._sent_at_seconds = now
        if self._holds_duty():
            self._update_clock(now)
            self.collect()
            # The holder's own counts would be lost with it otherwise.
            self._backup_ip = self._choose_backup(now)
            self._send_sums(now)
            return
        self._send_sums(now)
        self._pass_on(now)

    def _update_clock(self, now: float) -> None:
        """Updates the agreed time, which this router tells the others."""
        self._clock.record_clock(
            self._board.settings.node,
            self._wall(),
            agreed_seconds=self._clock.agreed_seconds(now),
            now_seconds=now,
        )
        self._clock.update(now, live_routers=self._board.live_routers)

    def collect(self) -> None:
        """Adds this router's own counts to the sums."""
        now = self._steady()
        started_at_seconds = self._clock.agreed_seconds(
            self._started_at_seconds
        )
        if started_at_seconds is None:
            return
        self._sums.record(
            self._incarnation,
            ProcessSums(
                self._board.settings.node,
                started_at_seconds=started_at_seconds,
                first_start=self._board.settings.first_start,
                windows=self._counter.windows(),
                heard_at_seconds=now,
            ),
        )

    def _send_sums(self, now: float) -> None:
        """Sends this router's sums and clocks to the holder and the backup."""
        settings = self._board.settings
        windows = self._counter.windows()
        newest = sorted(windows)[-MAX_WINDOWS:]
        message = UsageMessage(
            node=settings.node,
            incarnation=self._incarnation,
            is_own=True,
            sent_at_seconds=now,
            wall_seconds=self._wall(),
            agreed_seconds=self._clock.agreed_seconds(now),
            echo=self._make_echo(now),
            change_number=self._counter.change_number,
            started_at_seconds=self._clock.agreed_seconds(
                self._started_at_seconds
            ),
            first_start=settings.first_start,
            windows={window: windows[window] for window in newest},
        )
        self._send(message, {*self._holder_ips(now), self._backup_ip})

    def _holder_ips(self, now: float) -> set[str]:
        """Returns the addresses at which the holder is presumed."""
        if self._holds_duty():
            return set()
        ips = {self._holder[0], self._answering_ip}
        if now - self._heard_holder_at_seconds >= UNANSWERED_SECONDS:
            ips |= self._find_candidates()
        return ips - {""}

    def _make_echo(self, now: float) -> Echo | None:
        """Returns what a message repeats of the last answer."""
        answer = self._last_answer
        if answer is None:
            return None
        return Echo(
            answer.incarnation,
            answered_at_seconds=answer.answered_at_seconds,
            age_seconds=now - self._answered_at_seconds,
        )

    def _pass_on(self, now: float) -> None:
        """Passes the sums of silent processes on to the holder."""
        holder_ips = self._holder_ips(now)
        if not holder_ips:
            return
        for incarnation, sums in self._sums.processes.items():
            if incarnation == self._incarnation or not sums.windows:
                continue
            if now - sums.heard_at_seconds < SILENT_SECONDS:
                continue
            passed_on = self._passed_on.get(incarnation, 0)
            if passed_on >= PASS_ON_COUNT:
                continue
            self._passed_on[incarnation] = passed_on + 1
            message = UsageMessage(
                node=sums.node,
                incarnation=incarnation,
                is_own=False,
                sent_at_seconds=now,
                wall_seconds=0.0,
                agreed_seconds=None,
                echo=None,
                change_number=0,
                started_at_seconds=sums.started_at_seconds,
                first_start=sums.first_start,
                windows=sums.windows,
            )
            self._send(message, holder_ips)

    def _send(self, message: UsageMessage | UsageAnswer, ips: set[str]) -> None:
        """Sends a message to all given addresses but this router's."""
        if self._transport is None:
            return
        data = message.to_bytes()
        for ip in ips - {"", self._board.settings.ip}:
            self._transport.sendto(data, (ip, self._port))

    # Receiving.

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Handles a datagram; an invalid one is logged and ignored."""
        try:
            message = decode_message(data)
        except ValueError as error:
            if self._reported.is_new(f"{addr[0]}: {error}", 0):
                _LOGGER.warning(
                    "unreadable_usage_message", extra={"reason": str(error)}
                )
            return
        handle = (
            functools.partial(self._handle_answer, message, addr[0])
            if isinstance(message, UsageAnswer)
            else functools.partial(self._handle_message, message, addr[0])
        )
        self._board.supervisor.run_step("received usage message", handle)

    def _handle_message(self, message: UsageMessage, ip: str) -> None:
        """Records the sums and clocks of another process."""
        if message.incarnation == self._incarnation:
            return
        now = self._steady()
        if message.started_at_seconds is not None:
            self._sums.record(
                message.incarnation,
                ProcessSums(
                    message.node,
                    started_at_seconds=message.started_at_seconds,
                    first_start=message.first_start,
                    windows=message.windows,
                    heard_at_seconds=now if message.is_own else 0.0,
                ),
            )
        if not message.is_own:
            return
        self._ips[message.incarnation] = ip
        self._record_clock(message, now)
        if not self._holds_duty():
            return
        stepped_at_seconds = self._clock.stepped_at_seconds
        answer = UsageAnswer(
            incarnation=self._incarnation,
            receiver=message.incarnation,
            sent_at_seconds=message.sent_at_seconds,
            answered_at_seconds=now,
            change_number=message.change_number,
            agreed_seconds=self._clock.agreed_seconds(now),
            stepped_seconds=(
                None if stepped_at_seconds is None else now - stepped_at_seconds
            ),
            era=self._era(),
            backup_ip=self._choose_backup(now),
        )
        self._send(answer, {ip})

    def _record_clock(self, message: UsageMessage, now: float) -> None:
        """Records the clocks of a process, if they were read just now.

        A message that was long on its way, or waited while this process stood
        still, has a clock of the past.
        """
        echo = message.echo
        if echo is None or echo.incarnation != self._incarnation:
            return
        round_trip_seconds = now - echo.answered_at_seconds - echo.age_seconds
        if not 0 <= round_trip_seconds <= MAX_ROUND_TRIP_SECONDS:
            return
        transit_seconds = round_trip_seconds / 2
        agreed_seconds = message.agreed_seconds
        if agreed_seconds is not None:
            agreed_seconds += transit_seconds
        self._clock.record_clock(
            message.node,
            message.wall_seconds + transit_seconds,
            agreed_seconds=agreed_seconds,
            now_seconds=now,
        )

    def _choose_backup(self, now: float) -> str:
        """Returns the address of the router that keeps the sums too.

        It is the first live one by the id of its process, so that it rarely
        changes.
        """
        for incarnation in sorted(self._ips):
            sums = self._sums.processes.get(incarnation)
            if (
                sums is not None
                and now - sums.heard_at_seconds < SILENT_SECONDS
            ):
                return self._ips[incarnation]
        return ""

    def _handle_answer(self, answer: UsageAnswer, ip: str) -> None:
        """Adopts the agreed time and the confirmation of the holder."""
        if answer.receiver != self._incarnation:
            return
        # Only a router that holds the duty answers.
        if ip != self._holder[0] and ip not in self._find_candidates():
            return
        now = self._steady()
        self._answering_ip = ip
        self._heard_holder_at_seconds = now
        self._confirmed_change = max(
            self._confirmed_change, answer.change_number
        )
        self._backup_ip = answer.backup_ip
        last = self._last_answer
        if last is None or last.incarnation != answer.incarnation:
            # The holder can use the clocks of the next message.
            self._sent_at_seconds = -IDLE_INTERVAL_SECONDS
        if last is None or (
            answer.answered_at_seconds > last.answered_at_seconds
            or last.incarnation != answer.incarnation
        ):
            self._last_answer = answer
            self._answered_at_seconds = now
        if answer.era:
            self._observe_era(answer.era)
        round_trip_seconds = now - answer.sent_at_seconds
        if (
            answer.agreed_seconds is None
            or not 0 <= round_trip_seconds <= MAX_ROUND_TRIP_SECONDS
        ):
            return
        is_first = self._clock.agreed_seconds(now) is None
        self._clock.adopt(
            answer.agreed_seconds + round_trip_seconds / 2,
            now,
            stepped_at_seconds=(
                None
                if answer.stepped_seconds is None
                else now - round_trip_seconds / 2 - answer.stepped_seconds
            ),
        )
        if is_first:
            log_state_change(
                "agreed_time_adopted",
                holder=ip,
                wall_ahead=round(self._wall() - answer.agreed_seconds, 3),
            )
            # The sums could not be sent by window before.
            self._sent_at_seconds = -IDLE_INTERVAL_SECONDS

    def _prune(self, now: float) -> None:
        """Forgets windows that are overdue, and processes that ended."""
        agreed_seconds = self._clock.agreed_seconds(now)
        if agreed_seconds is None:
            return
        window_seconds = self._board.settings.bounds.usage_window_seconds
        self._sums.prune(
            range(
                int((agreed_seconds - self._kept_seconds) // window_seconds),
                int(agreed_seconds // window_seconds) + FUTURE_WINDOWS + 1,
            ),
            silent_since_seconds=now - self._kept_seconds,
        )
        for incarnation in [
            key for key in self._ips if key not in self._sums.processes
        ]:
            del self._ips[incarnation]
