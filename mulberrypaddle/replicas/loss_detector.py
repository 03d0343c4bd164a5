"""Detects dead or unreachable ("lost") runners by unanswered probes.

The store entry of a dead runner expires only after some seconds. Routers notice
earlier that its streams stall; the owner of the groups then probes the members
of its group directly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Interval between two probes of one runner.
PROBE_INTERVAL_SECONDS = 0.2

# Unanswered probes after which a runner counts as lost. On a link that loses
# one packet in thirty, two in a row fail by chance once in some hundred cases.
UNANSWERED_PROBES_BEFORE_LOST = 2

# Interval between two probes of a runner that counts as lost or has just
# answered.
SETTLED_PROBE_INTERVAL_SECONDS = 1.0

# Age up to which an answer of any runner proves that this router's own network
# link works.
LINK_PROOF_MAX_AGE_SECONDS = 1.0

# If a probe's timeout fires this much too late, this router itself was delayed
# (suspended or starved of CPU), and the missing answer proves nothing.
MAX_LOCAL_DELAY_SECONDS = 0.15


class LossDetector:
    """Decides from unanswered probes which runner incarnations are lost.

    An incarnation is a runner's id with the Unix time of its start in
    milliseconds, or None if it did not report one.

    Attributes:
        lost: Incarnations that count as lost.
    """

    __slots__ = (
        "_answered_at_seconds",
        "_probed_at_seconds",
        "_last_answer_seconds",
        "_unanswered_probes",
        "lost",
    )

    def __init__(self) -> None:
        self._answered_at_seconds: dict[tuple[str, int | None], float] = {}
        self._last_answer_seconds: float | None = None
        self._probed_at_seconds: dict[tuple[str, int | None], float] = {}
        self._unanswered_probes: dict[tuple[str, int | None], int] = {}
        self.lost: set[tuple[str, int | None]] = set()

    def start_probe_if_due(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Returns whether to probe a runner now, and records the probe if so.

        The caller sends the probe.
        """
        interval_seconds = PROBE_INTERVAL_SECONDS
        answered_at = self._answered_at_seconds.get(incarnation)
        if incarnation in self.lost or (
            answered_at is not None
            and now_seconds - answered_at < SETTLED_PROBE_INTERVAL_SECONDS
        ):
            interval_seconds = SETTLED_PROBE_INTERVAL_SECONDS
        probed_at = self._probed_at_seconds.get(incarnation)
        if probed_at is not None and now_seconds - probed_at < interval_seconds:
            return False
        self._probed_at_seconds[incarnation] = now_seconds
        return True

    def record_answer(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Records that a runner answered a probe.

        Returns:
            Whether the runner counted as lost until now.
        """
        self._last_answer_seconds = now_seconds
        self._answered_at_seconds[incarnation] = now_seconds
        self._unanswered_probes.pop(incarnation, None)
        if incarnation not in self.lost:
            return False
        self.lost.discard(incarnation)
        return True

    def record_timeout(
        self,
        incarnation: tuple[str, int | None],
        *,
        waited_seconds: float,
        limit_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Records that a probe timed out.

        The timeout counts only if some runner has answered recently: a router
        whose own link is saturated or cut gets no answers at all.

        Args:
            incarnation: Incarnation of the runner.
            waited_seconds: How long the router actually waited.
            limit_seconds: Timeout of the probe.
            now_seconds: Monotonic time.

        Returns:
            Whether the runner counts as lost from now on.
        """
        if (
            waited_seconds > limit_seconds + MAX_LOCAL_DELAY_SECONDS
            or incarnation in self.lost
        ):
            return False
        last = self._last_answer_seconds
        if last is None or now_seconds - last > LINK_PROOF_MAX_AGE_SECONDS:
            return False
        count = self._unanswered_probes.get(incarnation, 0) + 1
        self._unanswered_probes[incarnation] = count
        if count < UNANSWERED_PROBES_BEFORE_LOST:
            return False
        self.lost.add(incarnation)
        return True

    def keep_only(self, incarnations: Iterable[tuple[str, int | None]]) -> None:
        """Forgets all incarnations except the given ones."""
        known = set(incarnations)
        self.lost &= known
        for incarnation in self._probed_at_seconds.keys() - known:
            del self._probed_at_seconds[incarnation]
            self._answered_at_seconds.pop(incarnation, None)
            self._unanswered_probes.pop(incarnation, None)
