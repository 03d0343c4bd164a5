"""Consecutive-failure opening with a single probe, to compare with.

Source of the idea: the circuit breaker of ahmednour/circuit-breaker; five
failures in a row open, a success resets the count, and after the recovery
timeout one request probes.
"""

from __future__ import annotations

from mulberrypaddle.controllers.ejection.detector import Detector, Observation

FAILURE_THRESHOLD = 5


class _Circuit:
    """One runner's circuit."""

    __slots__ = ("failures", "open_until_seconds")

    def __init__(self) -> None:
        self.failures = 0
        self.open_until_seconds = float("-inf")


class ConsecutiveFailures(Detector):
    """Opens after failures in a row; any outcome after it is the probe's."""

    def __init__(self, *, recovery_seconds: float = 60.0) -> None:
        self._circuits: dict[str, _Circuit] = {}
        self._recovery_seconds = recovery_seconds

    def observe(self, seen: Observation, now_seconds: float) -> None:
        circuit = self._circuits.setdefault(seen.runner_id, _Circuit())
        if not seen.failed:
            circuit.failures = 0
            return
        circuit.failures += 1
        if circuit.failures >= FAILURE_THRESHOLD:
            circuit.open_until_seconds = now_seconds + self._recovery_seconds

    def ejected(self, now_seconds: float) -> dict[str, str]:
        found = {}
        for runner_id, circuit in self._circuits.items():
            if now_seconds < circuit.open_until_seconds:
                found[runner_id] = f"{circuit.failures} failures in a row"
        return found

    def probe_sent(self, runner_id: str, now_seconds: float) -> None:
        """Closes the circuit to all but the probe that was just sent."""
        circuit = self._circuits.get(runner_id)
        if circuit is not None and circuit.failures >= FAILURE_THRESHOLD:
            circuit.open_until_seconds = now_seconds + self._recovery_seconds
