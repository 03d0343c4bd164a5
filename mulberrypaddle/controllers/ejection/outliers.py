"""Ejects runners that fail or are slow beyond the others of their service.

A runner is judged by its latest attempts against the median of the
service. It returns gradually: it is open for a growing part of the time,
and goes out for twice as long when it fails again meanwhile. The idea of
outlier ejection is known from service proxies such as Envoy.
"""

from __future__ import annotations

import statistics
import zlib
from collections import deque
from typing import TYPE_CHECKING

from mulberrypaddle.controllers.ejection.detector import Detector

if TYPE_CHECKING:
    from mulberrypaddle.controllers.ejection.detector import Observation

WINDOW_ATTEMPTS = 20
WINDOW_SECONDS = 120.0
LEAST_FAILURES = 3
# How far a runner's failure share must lie above the median.
FAILURE_MARGIN = 0.15
LEAST_LATENCIES = 4
# How many times the median latency is too slow.
SLOW_FACTOR = 3.0
# Latencies below this are no reason to eject.
LEAST_SLOW_SECONDS = 0.05
EJECT_SECONDS = 10.0
MAX_EJECT_SECONDS = 60.0
# Without a further ejection the next one is short again after this.
FORGIVE_SECONDS = 300.0
# Parts of the time for which a returning runner is open, and for how long.
RETURN_SHARES = (0.1, 0.25, 0.5)
RETURN_STAGE_SECONDS = 4.0
RETURN_SLOT_SECONDS = 0.4
# Failures that end a return; one is enough where nothing succeeded before.
RETURN_FAILURES = 2
RETURN_FAILURES_AFTER_LOSS = 1
_SLOTS_PER_TURN = 20
_HEALTHY = ""


class _Sample:
    """One attempt."""

    __slots__ = ("at_seconds", "failed", "latency_seconds")

    def __init__(self, seen: Observation, now_seconds: float) -> None:
        self.at_seconds = now_seconds
        self.failed = seen.failed
        self.latency_seconds = seen.latency_seconds


class _History:
    """The latest attempts of one runner and its ejections."""

    __slots__ = (
        "ejections",
        "out_until_seconds",
        "phase",
        "reason",
        "samples",
        "was_lost",
    )

    def __init__(self, runner_id: str) -> None:
        self.samples: deque[_Sample] = deque(maxlen=WINDOW_ATTEMPTS)
        self.ejections = 0
        self.out_until_seconds = float("-inf")
        self.reason = _HEALTHY
        self.was_lost = False
        # Spreads the open slots of different runners.
        self.phase = zlib.crc32(runner_id.encode()) % _SLOTS_PER_TURN

    def failures(self) -> int:
        return sum(sample.failed for sample in self.samples)

    def failure_share(self) -> float:
        if not self.samples:
            return 0.0
        return self.failures() / len(self.samples)

    def latency_seconds(self) -> float | None:
        latencies = []
        for sample in self.samples:
            if not sample.failed:
                latencies.append(sample.latency_seconds)
        if len(latencies) < LEAST_LATENCIES:
            return None
        return statistics.fmean(latencies)

    def returning(self, now_seconds: float) -> bool:
        back_seconds = len(RETURN_SHARES) * RETURN_STAGE_SECONDS
        if not self.reason:
            return False
        return now_seconds < self.out_until_seconds + back_seconds

    def is_open(self, now_seconds: float) -> bool:
        """Returns whether the runner may get work in this slot."""
        if now_seconds < self.out_until_seconds:
            return False
        if not self.returning(now_seconds):
            return True
        back_seconds = now_seconds - self.out_until_seconds
        share = RETURN_SHARES[int(back_seconds / RETURN_STAGE_SECONDS)]
        slot = int(now_seconds / RETURN_SLOT_SECONDS) + self.phase
        every = round(1.0 / share)
        return slot % every == 0


class OutlierDetector(Detector):
    """Compares each runner's latest attempts with the service's median."""

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def observe(self, seen: Observation, now_seconds: float) -> None:
        """Takes note of one attempt and ejects its runner if it stands out."""
        history = self._histories.get(seen.runner_id)
        if history is None:
            history = _History(seen.runner_id)
            self._histories[seen.runner_id] = history
        if now_seconds < history.out_until_seconds:
            # Sent before the ejection: no news.
            return
        samples = history.samples
        samples.append(_Sample(seen, now_seconds))
        while now_seconds - samples[0].at_seconds > WINDOW_SECONDS:
            samples.popleft()
        reason = self._reason(history, seen, now_seconds)
        if reason:
            _eject(history, reason, now_seconds)

    def ejected(self, now_seconds: float) -> dict[str, str]:
        """Returns the runners that get no work now, the surest first."""
        out = []
        for runner_id, history in list(self._histories.items()):
            if not history.is_open(now_seconds):
                out.append((-history.ejections, runner_id, history.reason))
                continue
            if history.samples:
                age_seconds = now_seconds - history.samples[-1].at_seconds
                if age_seconds > FORGIVE_SECONDS:
                    del self._histories[runner_id]
        return {runner_id: reason for _, runner_id, reason in sorted(out)}

    def _reason(
        self, history: _History, seen: Observation, now_seconds: float
    ) -> str:
        """Returns why a runner stands out, or an empty string."""
        needed = LEAST_FAILURES
        if history.returning(now_seconds):
            needed = RETURN_FAILURES
            if history.was_lost:
                needed = RETURN_FAILURES_AFTER_LOSS
        if seen.failed and history.failures() >= needed:
            share = history.failure_share()
            median = self._median_failure_share()
            if share >= median + FAILURE_MARGIN:
                return f"failed {share:.2f}, median {median:.2f}"
        if seen.failed:
            return _HEALTHY
        latency_seconds = history.latency_seconds()
        if latency_seconds is None or latency_seconds < LEAST_SLOW_SECONDS:
            return _HEALTHY
        median_seconds = self._median_latency_seconds()
        if latency_seconds >= SLOW_FACTOR * median_seconds:
            return f"took {latency_seconds:.2f} s, median {median_seconds:.2f}"
        return _HEALTHY

    def _median_failure_share(self) -> float:
        shares = []
        for history in self._histories.values():
            shares.append(history.failure_share())
        return statistics.median(shares)

    def _median_latency_seconds(self) -> float:
        latencies = []
        for history in self._histories.values():
            latency_seconds = history.latency_seconds()
            if latency_seconds is not None:
                latencies.append(latency_seconds)
        return statistics.median(latencies)


def _eject(history: _History, reason: str, now_seconds: float) -> None:
    calm_seconds = now_seconds - history.out_until_seconds
    if calm_seconds > FORGIVE_SECONDS:
        history.ejections = 0
    length_seconds = min(
        EJECT_SECONDS * 2**history.ejections, MAX_EJECT_SECONDS
    )
    history.ejections += 1
    history.was_lost = history.failures() == len(history.samples)
    history.reason = reason
    history.out_until_seconds = now_seconds + length_seconds
    history.samples.clear()
