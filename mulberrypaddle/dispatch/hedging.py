"""Decides when a request is sent a second time before its first answer.

Guards against single slow runners: a request that waits longer than nearly all
others of its service and model is likely to wait for its runner rather than for
its work, so that a second runner often answers it sooner. Each second send
costs a runner's time, and when all runners are slow it only adds load. The
second sends therefore stay under a share of the requests that the operator
sets.
"""

from __future__ import annotations

import collections
import statistics

# Highest share of the requests that may be sent twice.
MAX_HEDGE_RATIO = 0.2

# Quantile of the first-event times after which a request is sent again. With a
# lower ratio the quantile is 1 - ratio, so that the second sends go to the
# slowest requests instead of the first ones that are slow.
HEDGE_QUANTILE = 0.95

# Least delay as a multiple of the median first-event time. The second send
# takes about the median time itself, so that it gains nothing where the slowest
# answers hardly differ from the others.
MIN_DELAY_MEDIANS = 1.5

# Least delay. Timers and the event loop are no more exact than this.
MIN_DELAY_SECONDS = 0.005

# First-event times that are kept for each service and model, and the least
# number from which a quantile is taken.
MAX_SAMPLES = 400
MIN_SAMPLES = 40

# Age above which a first-event time is not used any more: the speed of runners
# changes with their load.
SAMPLE_TTL_SECONDS = 60.0

# New first-event times after which the quantile is computed again.
SAMPLES_PER_QUANTILE = 10

# Second sends that unused shares of earlier requests allow at once: the
# requests of a runner become slow together.
MAX_SAVED_HEDGES = 10.0

# Tolerance for the rounding of summed shares.
_ROUNDING = 1e-9


class FirstEventTimes:
    """Recent first-event times of one service and model."""

    __slots__ = ("_delay_seconds", "_new_samples", "_quantile", "_samples")

    def __init__(self, quantile: float) -> None:
        """Creates an empty record.

        Args:
            quantile: Quantile from which the delay is taken.
        """
        self._quantile = quantile
        # Monotonic time of the record, and first-event time in seconds.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self._new_samples = 0
        self._delay_seconds = 0.0

    def record(self, seconds: float, now_seconds: float) -> None:
        """Records a first-event time, or a lower bound of one."""
        self._samples.append((now_seconds, seconds))
        self._new_samples += 1

    def delay_seconds(self, now_seconds: float) -> float | None:
        """Returns the delay before a second send; None if it is not known."""
        while (
            self._samples
            and now_seconds - self._samples[0][0] > SAMPLE_TTL_SECONDS
        ):
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            self._delay_seconds = 0.0
            return None
        if not self._delay_seconds or self._new_samples >= SAMPLES_PER_QUANTILE:
            self._new_samples = 0
            self._delay_seconds = self._compute_delay_seconds()
        return self._delay_seconds

    def _compute_delay_seconds(self) -> float:
        """Computes the delay from the recorded times."""
        percentiles = statistics.quantiles(
            (seconds for _, seconds in self._samples),
            n=100,
            method="inclusive",
        )
        percent = min(99, round(self._quantile * 100))
        median_seconds = percentiles[49]
        return max(
            percentiles[percent - 1],
            MIN_DELAY_MEDIANS * median_seconds,
            MIN_DELAY_SECONDS,
        )


class HedgePolicy:
    """Delay before a second send, and the limit on the second sends.

    Attributes:
        ratio: Share of the requests of a service that may be sent twice, from
            0 (off) to `MAX_HEDGE_RATIO`.
    """

    __slots__ = ("_saved_hedges", "_times", "ratio")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._times: dict[tuple[str, str], FirstEventTimes] = {}
        # Second sends that are allowed now, by service.
        self._saved_hedges: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Returns whether any request may be sent twice."""
        return self.ratio > 0

    def record_request(self, service: str) -> None:
        """Records the first send of a request, which raises the limit."""
        if not self.is_enabled:
            return
        self._saved_hedges[service] = min(
            MAX_SAVED_HEDGES, self._saved_hedges.get(service, 0.0) + self.ratio
        )

    def record_first_event(
        self, service: str, model: str, seconds: float, *, now_seconds: float
    ) -> None:
        """Records how long a first send took to its first event.

        Of a send that was cancelled or abandoned it is the time until then.
        Without these times the quantile would fall with each second send that
        wins, and more and more requests would be sent twice.

        Args:
            service: Service that the request was sent to.
            model: Requested model; empty for plain services.
            seconds: Time from the send to the first event of a stream, or to
                the complete answer of a plain service.
            now_seconds: Monotonic time.
        """
        key = (service, model)
        times = self._times.get(key)
        if times is None:
            times = FirstEventTimes(max(HEDGE_QUANTILE, 1 - self.ratio))
            self._times[key] = times
        times.record(seconds, now_seconds)

    def delay_seconds(
        self, service: str, model: str, *, now_seconds: float
    ) -> float | None:
        """Returns the time from the first send to the second one.

        None if too few first-event times of the service and model are known.

        Args:
            service: Service that the request is sent to.
            model: Requested model; empty for plain services.
            now_seconds: Monotonic time.
        """
        times = self._times.get((service, model))
        return None if times is None else times.delay_seconds(now_seconds)

    def allows(self, service: str) -> bool:
        """Returns whether the limit allows a second send now."""
        return self._saved_hedges.get(service, 0.0) >= 1.0 - _ROUNDING

    def record_hedge(self, service: str) -> None:
        """Records a second send, which uses up a part of the limit."""
        self._saved_hedges[service] = max(
            0.0, self._saved_hedges.get(service, 0.0) - 1.0
        )
