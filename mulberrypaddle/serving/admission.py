"""Admission control, decided by the request line and the headers alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.dispatch.crash_records import fingerprint
from mulberrypaddle.dispatch.wait_decision import (
    FIRST_EVENT_RESERVE_SECONDS,
    MAX_DURATION_MARGIN,
    MIN_RETRY_AFTER_SECONDS,
    on_time_until,
)
from mulberrypaddle.fleet import RetryPolicy

if TYPE_CHECKING:
    import random

    from mulberrypaddle.dispatch.stop_schedule import StopSchedule
    from mulberrypaddle.fleet import (
        Organisation,
        Route,
        ServiceSpec,
        ServingConfig,
    )
    from mulberrypaddle.serving.caller_request import CallerRequest
    from mulberrypaddle.serving.header_codec import CallerHeaders

# Expected time for which a request to a plain service holds a slot, as a
# fraction of the latency target of its route.
PLAIN_BUSY_FRACTION = 0.25

# Weight of the caller's estimate of the answer's length; the usual length has
# the rest of the weight, since some estimates are far off.
ESTIMATE_WEIGHT = 0.5


class Refusal:
    """Why a request is not admitted.

    Attributes:
        kind: Kind of the error.
        detail: What is wrong, for the caller and the log.
        retry_after_seconds: Delay before the caller should retry; None for the
            default of the kind.
    """

    __slots__ = ("detail", "kind", "retry_after_seconds")

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        self.kind = kind
        self.detail = detail
        self.retry_after_seconds = retry_after_seconds


class Admission:
    """The terms on which a request was admitted.

    Attributes:
        route: Route that matches the request.
        service: Service that handles it.
        organisation: Name of the caller's organisation; empty if none.
        urgency: Priority; 0 is the highest.
        rank: Place of the urgency among those of the service; None if ranks do
            not compete there. See `ServingConfig.rank_of`.
        deadline_seconds: Loop time by which it must be answered.
        on_time_until_seconds: Last loop time at which sending it to a runner
            still gives an answer within the route's target.
        busy_seconds: Expected time for which it holds a slot of a runner.
        needed_seconds: Time that a stopping router grants it; None if unknown.
        request_fingerprint: Hash of organisation, target and body, the same
            for all requests of equal content.
    """

    __slots__ = (
        "busy_seconds",
        "deadline_seconds",
        "needed_seconds",
        "request_fingerprint",
        "on_time_until_seconds",
        "organisation",
        "rank",
        "route",
        "service",
        "urgency",
    )

    def __init__(
        self,
        *,
        route: Route,
        service: ServiceSpec,
        organisation: str,
        urgency: int,
        deadline_seconds: float,
        on_time_until_seconds: float,
        busy_seconds: float,
        needed_seconds: float | None,
        request_fingerprint: str,
        rank: int | None = None,
    ) -> None:
        self.route = route
        self.service = service
        self.organisation = organisation
        self.urgency = urgency
        self.rank = rank
        self.deadline_seconds = deadline_seconds
        self.on_time_until_seconds = on_time_until_seconds
        self.busy_seconds = busy_seconds
        self.needed_seconds = needed_seconds
        self.request_fingerprint = request_fingerprint

    @property
    def is_stream(self) -> bool:
        """Returns whether the answer is a stream of events."""
        return self.route.retry_policy is RetryPolicy.STREAM

    def may_send(
        self,
        stop: StopSchedule | None,
        *,
        now_seconds: float,
        arrived_at_seconds: float,
    ) -> bool:
        """Returns whether the request, which has not run, may still be sent.

        Args:
            stop: Schedule of the planned stop of this router; None before one.
            now_seconds: Loop time.
            arrived_at_seconds: Loop time at which the request was complete.
        """
        if stop is None:
            return True
        return stop.may_send(
            now_seconds=now_seconds,
            arrived_at_seconds=arrived_at_seconds,
            deadline_seconds=self.deadline_seconds,
            needed_seconds=self.needed_seconds,
            is_stream=self.is_stream,
            may_repeat=self.route.may_retry,
        )


def admit(
    config: ServingConfig | None,
    *,
    request: CallerRequest,
    fields: CallerHeaders,
    arrived_at_seconds: float,
    stop: StopSchedule | None,
    rng: random.Random,
) -> Result[Admission, Refusal]:
    """Decides whether to admit a request.

    Args:
        config: Active configuration; None if none is known yet.
        request: Method, target, host and body.
        fields: Parsed headers of the request.
        arrived_at_seconds: Loop time at which the request was complete.
        stop: Schedule of the planned stop of this router; None before one.
        rng: Source of the random choice between the services of a route.

    Returns:
        The terms, or why it is refused.
    """
    if config is None:
        return _refuse(ErrorKind.NOT_IN_FORCE, "no configuration is known")
    route = config.route_for(request.host, request.path)
    if route is None:
        return _refuse(
            ErrorKind.UNKNOWN_SERVICE, f"no route for {request.path!r}"
        )
    organisation = None
    if config.organisations is not None:
        organisation = config.organisations.get(fields.key)
        if organisation is None and not route.public:
            return _refuse(ErrorKind.UNAUTHENTICATED, "unknown key")
    if not fields.request_id:
        return _refuse(ErrorKind.BAD_REQUEST, "got no request id")
    if request.method == "HEAD" and request.body:
        # curl would send it with another method.
        return _refuse(ErrorKind.BAD_REQUEST, "got a HEAD request with a body")
    service = config.services.get(_choose_service(route, rng))
    if service is None:
        return _refuse(
            ErrorKind.NO_RUNNER, "the route's service is not configured"
        )
    wait_seconds = route.timeout_seconds
    if fields.wait_seconds is not None:
        wait_seconds = min(wait_seconds, fields.wait_seconds)
    deadline_seconds = arrived_at_seconds + wait_seconds
    name = organisation.name if organisation else ""
    urgency = _urgency_of(route, organisation)
    admission = Admission(
        route=route,
        service=service,
        organisation=name,
        urgency=urgency,
        rank=config.rank_of(service.name, fields.model, urgency),
        deadline_seconds=deadline_seconds,
        on_time_until_seconds=on_time_until(
            arrived_at_seconds=arrived_at_seconds,
            target_seconds=route.target_seconds,
            is_stream=route.retry_policy is RetryPolicy.STREAM,
        ),
        busy_seconds=_expected_busy_seconds(route, service, fields),
        needed_seconds=_needed_seconds(route, service, fields),
        request_fingerprint=fingerprint(name, request.target, request.body),
    )
    if not admission.may_send(
        stop,
        now_seconds=arrived_at_seconds,
        arrived_at_seconds=arrived_at_seconds,
    ):
        return _refuse(
            ErrorKind.SHUTTING_DOWN,
            "this router is about to end",
            retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
        )
    return Success(admission)


def _refuse(
    kind: ErrorKind, detail: str, *, retry_after_seconds: float | None = None
) -> Failure[Refusal]:
    """Returns a refusal, wrapped as a failed result."""
    return Failure(
        Refusal(kind, detail, retry_after_seconds=retry_after_seconds)
    )


def _choose_service(route: Route, rng: random.Random) -> str:
    """Returns the name of a service of the route, chosen by weight."""
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [max(0.0, weight) for _, weight in route.shares]
    if not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]


def _urgency_of(route: Route, organisation: Organisation | None) -> int:
    """Returns the organisation's urgency, or the route's if it has none."""
    if organisation is None or organisation.urgency is None:
        return route.urgency
    return organisation.urgency


def _expected_busy_seconds(
    route: Route, service: ServiceSpec, fields: CallerHeaders
) -> float:
    """Estimates how long a request holds a slot of a runner.

    Returns 0.0 for a model that the service does not have.
    """
    engine = service.engine
    if engine is None:
        return route.target_seconds * PLAIN_BUSY_FRACTION
    spec = engine.models.get(fields.model)
    if spec is None:
        return 0.0
    usual_seconds = engine.busy_seconds(spec)
    tokens = fields.expected_tokens
    if tokens <= 0:
        return usual_seconds
    if fields.answer_tokens:
        tokens = min(tokens, fields.answer_tokens)
    estimated_factor = tokens / max(1.0, engine.mean_answer_tokens)
    return usual_seconds * (
        (1 - ESTIMATE_WEIGHT) + ESTIMATE_WEIGHT * estimated_factor
    )


def _needed_seconds(
    route: Route, service: ServiceSpec, fields: CallerHeaders
) -> float | None:
    """Returns for how long a request is expected to need this router.

    It is None if that is unknown. Where a stream can't be resumed, so that
    nothing is left of it once it is interrupted, it is an upper estimate.
    """
    if route.retry_policy is not RetryPolicy.STREAM:
        return route.target_seconds
    if route.may_retry:
        busy_seconds = _expected_busy_seconds(route, service, fields)
        return busy_seconds + FIRST_EVENT_RESERVE_SECONDS
    max_seconds = _max_busy_seconds(service, fields)
    if max_seconds is None:
        return None
    return max_seconds * MAX_DURATION_MARGIN + FIRST_EVENT_RESERVE_SECONDS


def _max_busy_seconds(
    service: ServiceSpec, fields: CallerHeaders
) -> float | None:
    """Returns how long a request holds a slot at most; None if unknown."""
    engine = service.engine
    if engine is None or not fields.answer_tokens:
        return None
    spec = engine.models.get(fields.model)
    if spec is None:
        return None
    return engine.seconds_for(
        spec,
        prompt_tokens=fields.prompt_tokens,
        answer_tokens=fields.answer_tokens,
    )
