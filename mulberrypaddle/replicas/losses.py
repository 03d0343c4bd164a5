"""Which runners are lost, told from questions that they leave unanswered.

The entry of a dead runner lapses after seconds. Routers notice sooner that its
streams stand still; then the owner asks the members of its group themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Pause between two questions to one runner.
PROBE_INTERVAL_SECONDS = 0.2

# Questions without an answer before a runner counts as lost; a link that loses
# one packet in thirty leaves two unanswered once in some hundred times.
UNANSWERED_PROBES_BEFORE_LOST = 2

# Pause between two questions to a runner that counts as lost, or that has just
# answered.
SETTLED_PROBE_INTERVAL_SECONDS = 1.0

# Age up to which an answer of any runner shows that this router's own link
# works.
LINK_PROOF_MAX_AGE_SECONDS = 1.0

# Time beyond a question's own limit after which this router itself was late: it
# may have been suspended or starved, so that the silence says nothing.
MAX_LOCAL_DELAY_SECONDS = 0.15


class LossJudge:
    """Counts unanswered questions, by life of the runner.

    Attributes:
        lost: Lives that count as lost.
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

    def may_ask(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Returns whether a question is due; it counts as asked if so."""
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

    def answered(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Takes an answer.

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

    def unanswered(
        self,
        incarnation: tuple[str, int | None],
        *,
        waited_seconds: float,
        limit_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Takes that a question was left unanswered.

        It counts only if some other runner has just answered: a router whose
        own link is full or cut hears of none.

        Args:
            life: Life of the runner.
            waited_seconds: How long the answer was waited for.
            limit_seconds: How long it should have been.
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
        """Forgets runners that are gone."""
        known = set(incarnations)
        self.lost &= known
        for incarnation in self._probed_at_seconds.keys() - known:
            del self._probed_at_seconds[incarnation]
            self._answered_at_seconds.pop(incarnation, None)
            self._unanswered_probes.pop(incarnation, None)
