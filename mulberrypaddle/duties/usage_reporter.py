"""Decides the counts of each window, and reports them to the platform.

The counts of a window are decided by one conditional write to the store, so
that two routers which both believe that they hold the duty, or one after the
other, report the same ones. Only counts that the store is known to hold are
sent, and they never change afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.duties.platform_api import CallOutcome
from mulberrypaddle.duties.usage_record import RING_SIZE, UsageRecord
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.store_era import FIRST_ERA

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.duties.fleet_clock import FleetClock
    from mulberrypaddle.duties.leadership import DutyLeadership
    from mulberrypaddle.duties.platform_api import PlatformApi
    from mulberrypaddle.duties.usage_ring import UsageRing
    from mulberrypaddle.duties.usage_sums import UsageSums

# Time from the end of a window until its counts are decided: sums are sent
# every 0.5 s, and a plain request is counted when it is answered.
DECISION_DELAY_SECONDS = 2.0

# Longest delay, as a share of the time until the report is due.
MAX_DELAY_SHARE = 0.25

# Share of the time until the report is due for which a decision waits for
# routers that are not heard; the rest is left for the store and the report.
MAX_WAIT_SHARE = 0.6

# Further time after which a holder that hears a minority gives a window up. One
# that hears the others has decided by then.
MINORITY_PAUSE_SECONDS = 1.0

# Share of the live routers that must be heard after the end of a window, so
# that a holder which is cut off with a minority decides nothing.
MIN_HEARD_SHARE = 2 / 3

# Time after taking over the duty in which the sums of the live routers arrive:
# two intervals of messages, and the time that they need to learn of the holder.
SETTLE_SECONDS = 1.5

# Pause after a failed call to the store, which is billed, and to the API.
STORE_PAUSE_SECONDS = 1.0
REPORT_PAUSE_SECONDS = 0.5

# Reports use at most this share of the calls that the API accepts for duties.
CALL_SHARE = 0.5

# Windows before which a report is overdue at the latest, so that the ring is
# not written again while a report may still be sent.
MAX_DUE_WINDOWS = RING_SIZE - 4

# Writes for one window without a result before a pause.
MAX_WRITES = 3

# Why a window is given up by a holder that hears a minority of the routers.
_NOT_HEARD = "routers_not_heard"


class _Report:
    """Counts of a window that the store is known to hold.

    Attributes:
        record: The record.
        accepted: Whether the platform has accepted the report.
    """

    __slots__ = ("accepted", "record")

    def __init__(self, record: UsageRecord) -> None:
        self.record = record
        self.accepted = False


class UsageReporter:
    """Decides and reports the usage of each window while it holds the duty.

    `decide` and `send` make one step each and are called again and again, each
    by one task.

    Attributes:
        last_reported_window: Highest window whose report was accepted; -1
            before the first.
    """

    __slots__ = (
        "_api",
        "_clock",
        "_collect",
        "_contradicted",
        "_due_seconds",
        "_first_undecided",
        "_held_since_seconds",
        "_holder",
        "_leadership",
        "_live_routers",
        "_next_call_at_seconds",
        "_now",
        "_pause_seconds",
        "_reports",
        "_ring",
        "_ring_token",
        "_skipped",
        "_store_paused_until_seconds",
        "_sums",
        "_token",
        "_window_seconds",
        "last_reported_window",
    )

    def __init__(
        self,
        ring: UsageRing,
        api: PlatformApi,
        leadership: DutyLeadership,
        *,
        holder: str,
        clock: FleetClock,
        sums: UsageSums,
        collect: Callable[[], None],
        live_routers: Callable[[], int],
        now: Callable[[], float],
        window_seconds: float,
        due_seconds: float,
        calls_per_second: float,
    ) -> None:
        """Creates a reporter that holds nothing yet.

        Args:
            ring: The ring of records in the store.
            api: The platform's API.
            leadership: Tells the lease of this router, and whether calls to
                the API may be made.
            holder: Name of this VM.
            clock: The agreed time.
            sums: The sums of all routers.
            collect: Adds this router's own latest counts to the sums.
            live_routers: Returns the number of routers that may be alive.
            now: Returns the steady time in seconds, which counts suspension.
            window_seconds: Length of a window.
            due_seconds: Time from the end of a window until its report is due.
            calls_per_second: Calls for duties that the API accepts.
        """
        self._ring = ring
        self._api = api
        self._leadership = leadership
        self._holder = holder
        self._clock = clock
        self._sums = sums
        self._collect = collect
        self._live_routers = live_routers
        self._now = now
        self._window_seconds = window_seconds
        self._due_seconds = min(due_seconds, MAX_DUE_WINDOWS * window_seconds)
        self._pause_seconds = 1.0 / max(0.1, CALL_SHARE * calls_per_second)
        # Fencing token of the present holding, 0 without one, and the one
        # under which the ring was read last.
        self._token = 0
        self._ring_token = 0
        self._held_since_seconds = 0.0
        self._reports: dict[int, _Report] = {}
        # Windows that this router will not decide.
        self._skipped: set[int] = set()
        # Windows of which the store holds other counts than it did before.
        self._contradicted: set[int] = set()
        # Lowest window of this holding that is neither decided nor skipped.
        self._first_undecided: int | None = None
        self._store_paused_until_seconds = 0.0
        self._next_call_at_seconds = 0.0
        self.last_reported_window = -1

    @property
    def token(self) -> int:
        """Returns the fencing token of the present holding; 0 without one."""
        return self._leadership.lease_token()

    def last_report_age_seconds(self) -> float:
        """Returns the time since the end of the last reported window.

        It is -1 if there is none.
        """
        agreed_seconds = self._clock.agreed_seconds(self._now())
        if self.last_reported_window < 0 or agreed_seconds is None:
            return -1.0
        return agreed_seconds - self._end_of(self.last_reported_window)

    # Decisions.

    async def decide(self) -> None:
        """Decides the windows that have ended, if this router holds the duty.

        Makes no call unless something is to be read or decided.
        """
        now = self._now()
        token = self._leadership.observe(now)
        if token != self._token:
            self._token = token
            self._held_since_seconds = now
            self._first_undecided = None
        agreed_seconds = self._clock.agreed_seconds(now)
        if token <= 0 or agreed_seconds is None:
            return
        if now < self._store_paused_until_seconds:
            return
        if self._ring_token != token and not await self._read_ring(token):
            self._store_paused_until_seconds = self._now() + STORE_PAUSE_SECONDS
            return
        if self._now() - self._held_since_seconds < SETTLE_SECONDS:
            return
        windows = self._undecided(agreed_seconds)
        if windows:
            self._collect()
        for window in windows:
            if self._leadership.lease_token() != token:
                return
            if self._must_wait(window):
                continue
            if not await self._decide_window(window, token):
                self._store_paused_until_seconds = (
                    self._now() + STORE_PAUSE_SECONDS
                )
                return

    def _undecided(self, agreed_seconds: float) -> list[int]:
        """Returns the windows to decide; logs those that became overdue."""
        delay_seconds = min(
            DECISION_DELAY_SECONDS, MAX_DELAY_SHARE * self._due_seconds
        )
        first = self._window_at(agreed_seconds - self._due_seconds)
        end = self._window_at(agreed_seconds - delay_seconds)
        if self._first_undecided is None:
            self._first_undecided = first
        # After a step of the agreed time, the windows between are too many.
        for window in range(max(self._first_undecided, first - RING_SIZE), end):
            if window in self._reports or window in self._skipped:
                continue
            if window < first:
                self._skip(window, "overdue")
        self._first_undecided = max(self._first_undecided, first)
        self._forget_before(first - RING_SIZE)
        return [
            window
            for window in range(first, end)
            if window not in self._reports and window not in self._skipped
        ]

    def _forget_before(self, window: int) -> None:
        """Forgets the windows before one, which were overdue long ago."""
        for known in [key for key in self._reports if key < window]:
            del self._reports[known]
        self._contradicted = {
            known for known in self._contradicted if known >= window
        }
        self._skipped = {known for known in self._skipped if known >= window}

    async def _decide_window(self, window: int, token: int) -> bool:
        """Decides a window, or adopts what another router has decided.

        Returns:
            Whether that is settled; False if the store gave no result.
        """
        may_be_decided = True
        for _ in range(MAX_WRITES):
            slot = self._ring.slot(window)
            # No window in the future was decided: such a record is wrong, and
            # is overwritten.
            if slot.window >= window and self._has_ended(slot.window):
                if slot.window == window and slot.record is not None:
                    self._adopt(slot.record)
                else:
                    self._skip(window, "slot_taken")
                return True
            reason = self._reason_to_skip(window)
            if reason == _NOT_HEARD and may_be_decided:
                # Another holder may hear the routers that this one doesn't.
                may_be_decided = False
                if not await self._ring.read(window):
                    return False
                continue
            if reason:
                self._skip(window, reason)
                return True
            record = UsageRecord(
                window,
                window_seconds=self._window_seconds,
                counts=self._sums.total(window),
                era=self._ring.era,
                node=self._holder,
                token=token,
                routers=len(self._sums.processes),
            )
            problem = await self._ring.write(record)
            if problem is None:
                if self._ring.slot(window).record is not None:
                    self._reports[window] = _Report(record)
                    self._log_decision(record, "decided")
                    return True
                continue
            if not await self._ring.read(window):
                self._log_store_failure(window, problem)
                return False
            if self._ring.slot(window).revision == slot.revision and (
                problem.kind is not ErrorKind.CONFLICT
            ):
                # It had no effect, or has none yet: a further write, on the
                # same condition, rules out that both have one.
                self._log_store_failure(window, problem)
                return False
        return False

    def _must_wait(self, window: int) -> bool:
        """Returns whether sums of a window may still arrive in time."""
        now = self._now()
        agreed_seconds = self._clock.agreed_seconds(now)
        if agreed_seconds is None:
            return False
        since_end_seconds = agreed_seconds - self._end_of(window)
        limit_seconds = MAX_WAIT_SHARE * self._due_seconds
        ended_at_seconds = now - since_end_seconds
        if not self._has_heard_most(ended_at_seconds):
            return since_end_seconds < limit_seconds + MINORITY_PAUSE_SECONDS
        return since_end_seconds < limit_seconds and self._sums.awaits_process(
            began_at_seconds=ended_at_seconds - self._window_seconds,
            ended_at_seconds=ended_at_seconds,
        )

    def _has_heard_most(self, since_seconds: float) -> bool:
        """Returns whether most live routers were heard since a steady time."""
        heard = len(self._sums.heard_nodes(since_seconds))
        return heard >= MIN_HEARD_SHARE * self._live_routers()

    def _reason_to_skip(self, window: int) -> str:
        """Returns why this router must not decide a window; empty if it may."""
        now = self._now()
        agreed_now_seconds = self._clock.agreed_seconds(now)
        if agreed_now_seconds is None:
            return "no_agreed_time"
        begins_at_seconds = window * self._window_seconds
        ends_at_seconds = self._end_of(window)
        if self._ring.era > FIRST_ERA:
            # In an earlier era, other counts may have been decided, which a
            # restore has undone.
            seen_at_seconds = self._clock.agreed_seconds(
                self._ring.era_seen_at_seconds
            )
            if seen_at_seconds is None or seen_at_seconds > ends_at_seconds:
                return "restored"
        if begins_at_seconds < self._clock.unsettled_until_seconds:
            return "clock_stepped"
        ended_at_seconds = now - (agreed_now_seconds - ends_at_seconds)
        if not self._sums.is_complete(
            begins_at_seconds=begins_at_seconds,
            ends_at_seconds=ends_at_seconds,
            ended_at_seconds=ended_at_seconds,
            # The settings of a router that is started again may still say that
            # the deployment starts for the first time.
            is_first=not self._ring.has_earlier_record(window),
        ):
            return "incomplete"
        if not self._has_heard_most(ended_at_seconds):
            return _NOT_HEARD
        return ""

    def _adopt(self, record: UsageRecord) -> None:
        """Takes over the counts that another router or process has decided."""
        known = self._reports.get(record.window)
        if known is not None:
            if known.record.counts != record.counts:
                # Neither may be sent any more, as either may have been.
                self._contradicted.add(record.window)
                self._skip(record.window, "contradicted")
                del self._reports[record.window]
            return
        if record.window in self._contradicted:
            return
        self._skipped.discard(record.window)
        self._reports[record.window] = _Report(record)
        self._log_decision(record, "adopted")

    def _skip(self, window: int, reason: str) -> None:
        """Records that a window is not reported, and why."""
        self._skipped.add(window)
        log_state_change(
            "usage_not_reported",
            window=window,
            reason=reason,
            holder=self._holder,
            token=self._token,
        )

    def _log_decision(self, record: UsageRecord, outcome: str) -> None:
        """Logs the counts of a window that the store holds."""
        log_state_change(
            "usage_decided",
            window=record.window,
            outcome=outcome,
            holder=self._holder,
            token=self._token,
            routers=record.routers,
            decided_by=record.node,
            **_count_fields(record),
        )

    def _log_store_failure(self, window: int, problem: Problem) -> None:
        """Logs that the store gave no result for a window."""
        log_state_change(
            "usage_undecided",
            window=window,
            holder=self._holder,
            token=self._token,
            reason=problem.detail,
        )

    # The ring in the store.

    async def _read_ring(self, token: int) -> bool:
        """Reads the ring after taking over; adopts what may not have arrived.

        Returns:
            Whether it could be read.
        """
        problem = await self._ring.read_all()
        if problem is not None:
            log_state_change(
                "usage_ring_unread",
                holder=self._holder,
                token=token,
                reason=problem.detail,
            )
            return False
        self._ring_token = token
        agreed_seconds = self._clock.agreed_seconds(self._now())
        for slot in self._ring.slots.values():
            if slot.record is None or agreed_seconds is None:
                continue
            if self._is_overdue(slot.window, agreed_seconds):
                continue
            if not self._has_ended(slot.window):
                log_state_change(
                    "usage_record_ignored",
                    window=slot.window,
                    reason="its window has not ended",
                )
                continue
            self._adopt(slot.record)
        return True

    # Reports.

    async def send(self) -> None:
        """Sends the oldest report that the platform has not accepted yet."""
        now = self._now()
        if now < self._next_call_at_seconds:
            return
        agreed_seconds = self._clock.agreed_seconds(now)
        if agreed_seconds is None:
            return
        report = self._next_report(agreed_seconds)
        if report is None:
            return
        token = self._leadership.token(now)
        if token is None:
            return
        record = report.record
        self._leadership.record_call(token, now)
        outcome = await self._api.report_usage(
            record.window,
            dict(record.counts),
            holder=self._holder,
            fence=token,
        )
        now = self._now()
        self._leadership.record_call(token, now)
        self._next_call_at_seconds = now + self._pause_seconds
        if outcome is CallOutcome.ACCEPTED:
            report.accepted = True
            self.last_reported_window = max(
                self.last_reported_window, record.window
            )
        else:
            self._next_call_at_seconds = now + max(
                self._pause_seconds, REPORT_PAUSE_SECONDS
            )
        log_state_change(
            "usage_report",
            window=record.window,
            outcome=outcome.value,
            holder=self._holder,
            token=token,
            routers=record.routers,
            decided_by=record.node,
            **_count_fields(record),
        )
        if outcome is CallOutcome.OUTDATED:
            self._leadership.record_outdated(token)

    def _next_report(self, agreed_seconds: float) -> _Report | None:
        """Returns the oldest report that is to be sent; None if none is."""
        for window in sorted(self._reports):
            report = self._reports[window]
            if report.accepted:
                continue
            if self._is_overdue(window, agreed_seconds):
                del self._reports[window]
                self._skip(window, "overdue")
                continue
            return report
        return None

    # Windows.

    def _window_at(self, agreed_seconds: float) -> int:
        """Returns the number of the window at an agreed time."""
        return int(agreed_seconds // self._window_seconds)

    def _end_of(self, window: int) -> float:
        """Returns the agreed time at which a window ends."""
        return (window + 1) * self._window_seconds

    def _has_ended(self, window: int) -> bool:
        """Returns whether a window has ended by the agreed time."""
        agreed_seconds = self._clock.agreed_seconds(self._now())
        return (
            agreed_seconds is not None
            and self._end_of(window) <= agreed_seconds
        )

    def _is_overdue(self, window: int, agreed_seconds: float) -> bool:
        """Returns whether the report of a window is overdue."""
        return agreed_seconds > self._end_of(window) + self._due_seconds


def _count_fields(record: UsageRecord) -> dict[str, Any]:
    """Returns for the log what a record counts."""
    return {
        "total": sum(record.counts.values()),
        "organisations": len(record.counts),
        "counts": " ".join(
            f"{name}={count}" for name, count in sorted(record.counts.items())
        ),
    }
