"""The ejection controller of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.latest import latest_runner_table
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.ejection.detector import Detector, Observation
from mulberrypaddle.controllers.ejection.outliers import OutlierDetector
from mulberrypaddle.core.request import AttemptState

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.core.ticket import AttemptOutcome

# Most runners of a service that are out at once; the rest serve on.
MAX_EJECTED_SHARE = 0.34
STEP_SECONDS = 0.1
# An answer of so many tokens counts as twice as long as an empty one.
TOKENS_PER_UNIT = 64
_FIRST_SERVER_ERROR = 500


class Ejection(Controller):
    """Writes on the blackboard which runners get no work now.

    Args:
        context: This router's context.
        make_detector: Makes the detector of one service.
        max_ejected_share: Most runners of a service that are out at once.
    """

    name = "ejection"

    def __init__(
        self,
        context: Context,
        *,
        make_detector: Callable[[], Detector] = OutlierDetector,
        max_ejected_share: float = MAX_EJECTED_SHARE,
    ) -> None:
        super().__init__(context)
        self._make_detector = make_detector
        self._max_ejected_share = max_ejected_share
        self._detectors: dict[str, Detector] = {}
        self._next_step_seconds = 0.0
        self._ejected: dict[str, str] = {}

    def step(self, now_seconds: float) -> None:
        """Writes the runners that are out."""
        if now_seconds < self._next_step_seconds:
            return
        self._next_step_seconds = now_seconds + STEP_SECONDS
        sizes = self._service_sizes()
        ejected: dict[str, str] = {}
        for service, detector in list(self._detectors.items()):
            if service not in sizes:
                del self._detectors[service]
                continue
            allowed = int(sizes[service] * self._max_ejected_share)
            found = detector.ejected(now_seconds)
            for runner_id in list(found)[:allowed]:
                ejected[runner_id] = found[runner_id]
        self._note_changes(ejected)
        self._ejected = ejected
        self.context.board.write(
            keys.EJECTED, ejected, writer=self.name, now_seconds=now_seconds
        )

    def observe(self, outcome: AttemptOutcome) -> None:
        """Learns how an attempt ended.

        Refusals and answers below 500 show a runner that lives; an attempt
        that neither ended nor broke by the runner's fault shows nothing.

        Args:
            outcome: How the attempt ended.
        """
        ticket = outcome.ticket
        failed = outcome.runner_died or outcome.status >= _FIRST_SERVER_ERROR
        unreached = outcome.state is AttemptState.UNSENT
        if unreached:
            # Without a latency the router itself never tried to send.
            failed = outcome.latency_seconds > 0
        if not failed and outcome.state is not AttemptState.DONE:
            return
        service = ticket.request.service
        detector = self._detectors.get(service)
        if detector is None:
            detector = self._make_detector()
            self._detectors[service] = detector
        units = 1.0 + ticket.request.max_output_tokens / TOKENS_PER_UNIT
        detector.observe(
            Observation(
                ticket.runner.runner_id,
                failed=failed,
                latency_seconds=outcome.latency_seconds / units,
            ),
            self.context.now_seconds(),
        )

    def _service_sizes(self) -> dict[str, int]:
        table = latest_runner_table(self.context.board)
        sizes: dict[str, int] = {}
        for runner in table.runners.values():
            sizes[runner.service] = sizes.get(runner.service, 0) + 1
        return sizes

    def _note_changes(self, ejected: dict[str, str]) -> None:
        for runner_id, reason in ejected.items():
            if runner_id in self._ejected:
                continue
            self.context.decide(
                "eject", subject=runner_id, outcome="out", reason=reason
            )
