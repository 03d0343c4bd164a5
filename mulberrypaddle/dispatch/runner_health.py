"""Passive health checks of runners, with outlier ejection.

Three conditions are tracked separately. A runner that this router could not
reach ("silent") is not used by it for some seconds. A runner that answers with
failures ("failing") is ejected for a while, unless too few others remain. A
head whose streams have stalled, or that another router could not reach
("suspected"), is only chosen if no other runner is available.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Consecutive failures that eject a runner; a single one may be chance.
FAILURES_BEFORE_EJECTION = 2

# Duration of the first ejection of a failing runner, about one heartbeat of the
# platform. It doubles with each further ejection.
FIRST_EJECTION_SECONDS = 1.0

# Longest ejection, so that a runner that fails only a part of its requests is
# tried again.
MAX_EJECTION_SECONDS = 8.0

# How long a runner is not used after a connection to it failed or went silent:
# until the entry of a dead runner has expired, three heartbeats of 1.2 s.
UNREACHABLE_SECONDS = 4.0


# Age up to which an observation of stalled streams counts against a head. The
# observation is repeated while they are stalled, and reaches all routers within
# 0.4 s.
SUSPICION_TTL_SECONDS = 0.6


class _RunnerRecord:
    """Recent failures of one runner.

    Attributes:
        failures: Consecutive failures since the last success or ejection.
        ejections: Number of recent ejections; each success lowers it by one.
        ejected_until_seconds: Monotonic time at which the ejection ends.
        unreachable_until_seconds: Monotonic time until which the runner counts
            as unreachable.
        locally_ejected_until_seconds: The same for the ejections that this
            router decided itself, the only ones that it reports.
    """

    __slots__ = (
        "failures",
        "ejected_until_seconds",
        "ejections",
        "locally_ejected_until_seconds",
        "unreachable_until_seconds",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_seconds = 0.0
        self.locally_ejected_until_seconds = 0.0
        self.unreachable_until_seconds = 0.0


class RunnerHealth:
    """Ejects failing runners, and applies ejections that other routers report.

    Times are monotonic, in seconds.
    """

    __slots__ = ("_records", "_suspected_at_seconds")

    def __init__(self) -> None:
        self._records: dict[str, _RunnerRecord] = {}
        self._suspected_at_seconds: dict[str, float] = {}

    def is_ejected(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether a runner is ejected because its answers failed."""
        record = self._records.get(runner_id)
        return record is not None and now_seconds < record.ejected_until_seconds

    def is_unreachable(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether this router recently could not reach a runner."""
        record = self._records.get(runner_id)
        return (
            record is not None
            and now_seconds < record.unreachable_until_seconds
        )

    def is_suspected(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether a head is suspected to be stalled or unreachable."""
        observed_at_seconds = self._suspected_at_seconds.get(runner_id)
        if observed_at_seconds is None:
            return False
        return now_seconds - observed_at_seconds < SUSPICION_TTL_SECONDS

    def record_success(self, runner_id: str) -> None:
        """Records a successful answer, which makes the runner usable at once.

        It ends an ejection and the time for which the runner is unreachable.
        """
        record = self._records.get(runner_id)
        if record is None:
            return
        record.failures = 0
        record.ejections = max(0, record.ejections - 1)
        record.ejected_until_seconds = 0.0
        record.locally_ejected_until_seconds = 0.0
        record.unreachable_until_seconds = 0.0

    def record_failure(self, runner_id: str, now_seconds: float) -> bool:
        """Records a failed answer.

        Returns:
            Whether the runner is ejected because of it.
        """
        record = self._records.setdefault(runner_id, _RunnerRecord())
        record.failures += 1
        if record.failures < FAILURES_BEFORE_EJECTION:
            return False
        ejection_seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**record.ejections
        )
        record.ejections += 1
        record.failures = 0
        record.locally_ejected_until_seconds = now_seconds + ejection_seconds
        record.ejected_until_seconds = max(
            record.ejected_until_seconds, record.locally_ejected_until_seconds
        )
        return True

    def record_unreachable(self, runner_id: str, now_seconds: float) -> None:
        """Records that a connection to a runner failed or went silent."""
        record = self._records.setdefault(runner_id, _RunnerRecord())
        record.unreachable_until_seconds = now_seconds + UNREACHABLE_SECONDS

    def mark_suspected(
        self, runner_id: str, observed_at_seconds: float
    ) -> None:
        """Marks a head as suspected, since it was stalled or unreachable.

        Only the latest time of observation is kept.
        """
        self._suspected_at_seconds[runner_id] = max(
            observed_at_seconds, self._suspected_at_seconds.get(runner_id, 0.0)
        )

    def recently_suspected(
        self, now_seconds: float, *, within_seconds: float
    ) -> dict[str, float]:
        """Returns the heads that were last marked as suspected recently.

        Args:
            now_seconds: Monotonic time.
            within_seconds: Age below which an observation is returned.

        Returns:
            Age of the last observation in seconds, by runner id.
        """
        return {
            runner_id: now_seconds - at_seconds
            for runner_id, at_seconds in self._suspected_at_seconds.items()
            if now_seconds - at_seconds < within_seconds
        }

    def apply_peer_report(
        self,
        *,
        failing: Iterable[str],
        silent: Iterable[str],
        now_seconds: float,
    ) -> None:
        """Applies the unhealthy runners that another router reports.

        Failing runners are ejected here too; silent ones are only suspected.

        Args:
            failing: Runners that it has ejected.
            silent: Runners that it could not reach.
            now_seconds: Monotonic time.
        """
        ejected_until = now_seconds + FIRST_EJECTION_SECONDS
        for runner_id in failing:
            record = self._records.setdefault(runner_id, _RunnerRecord())
            record.ejected_until_seconds = max(
                record.ejected_until_seconds, ejected_until
            )
        for runner_id in silent:
            # The network link of the other router may be at fault. If all
            # routers stopped using these runners, the rest would be overloaded.
            self.mark_suspected(runner_id, now_seconds)

    def locally_ejected(self, now_seconds: float) -> list[str]:
        """Returns the runners that this router itself has ejected."""
        return [
            runner_id
            for runner_id, record in self._records.items()
            if now_seconds < record.locally_ejected_until_seconds
        ]

    def locally_unreachable(self, now_seconds: float) -> list[str]:
        """Returns the runners that this router itself could not reach."""
        return [
            runner_id
            for runner_id, record in self._records.items()
            if now_seconds < record.unreachable_until_seconds
        ]

    def retain_only(self, runner_ids: Iterable[str]) -> None:
        """Drops the records of all runners except the given ones."""
        known = set(runner_ids)
        for kept in (self._records, self._suspected_at_seconds):
            for runner_id in list(kept):
                if runner_id not in known:
                    del kept[runner_id]
