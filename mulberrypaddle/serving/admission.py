"""Whether a request is taken, and on which terms; told by its head alone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.dispatch.crash_records import fingerprint
from mulberrypaddle.dispatch.patience import (
    LEAST_RETRY_AFTER_SECONDS,
    ends_in_time,
    on_time_until,
)
from mulberrypaddle.fleet import RepeatRule

if TYPE_CHECKING:
    import random

    from mulberrypaddle.fleet import (
        Organisation,
        Route,
        ServiceSpec,
        ServingConfig,
    )
    from mulberrypaddle.serving.dialect import CallerFields
    from mulberrypaddle.serving.request_line import RequestLine

# Part of its target for which a request of a plain service holds a slot.
PLAIN_BUSY_PART = 0.25

# Part of a caller's estimate of the answer's length that is trusted; some are
# far off.
TRUSTED_PART = 0.5


class Refusal:
    """Why a request is not taken.

    Attributes:
        kind: Kind of the error.
        detail: What was got and what is allowed.
        retry_after_seconds: When to come again; None as the kind's table says.
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
    """The terms on which a request was taken.

    Attributes:
        route: Route that it fits.
        service: Service that it goes to.
        organisation: Name of its organisation; empty if none.
        urgency: Its rank, 0 first.
        deadline_seconds: Loop time at which its time is up.
        on_time_until_seconds: Loop time until which a sending makes the
            answer come within the target.
        busy_seconds: How long it will hold a slot.
        mark: Fingerprint that tells it from others, whatever its id.
    """

    __slots__ = (
        "busy_seconds",
        "deadline_seconds",
        "mark",
        "on_time_until_seconds",
        "organisation",
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
        mark: str,
    ) -> None:
        self.route = route
        self.service = service
        self.organisation = organisation
        self.urgency = urgency
        self.deadline_seconds = deadline_seconds
        self.on_time_until_seconds = on_time_until_seconds
        self.busy_seconds = busy_seconds
        self.mark = mark

    @property
    def is_stream(self) -> bool:
        """Returns whether its answer is a stream."""
        return self.route.repeat_rule is RepeatRule.STREAM


def admit(
    config: ServingConfig | None,
    *,
    line: RequestLine,
    fields: CallerFields,
    arrived_at_seconds: float,
    ends_at_seconds: float | None,
    rng: random.Random,
) -> Result[Admission, Refusal]:
    """Decides on a request by its head.

    Args:
        config: Configuration in force; None if none is known yet.
        line: Method, target and body.
        fields: What its headers say.
        arrived_at_seconds: Loop time at which it came.
        ends_at_seconds: Loop time at which this router ends; None if it does
            not.
        rng: Chooses between the services of a route.

    Returns:
        The terms, or why it is refused.
    """
    if config is None:
        return _refuse(ErrorKind.NOT_IN_FORCE, "no configuration is known")
    route = config.route_for(line.host, line.path)
    if route is None:
        return _refuse(ErrorKind.UNKNOWN_SERVICE, f"no route for {line.path!r}")
    organisation = None
    if config.organisations is not None:
        organisation = config.organisations.get(fields.key)
        if organisation is None and not route.public:
            return _refuse(ErrorKind.UNAUTHENTICATED, "unknown key")
    if not fields.request_id:
        return _refuse(ErrorKind.BAD_REQUEST, "got no request id")
    service = config.services.get(_choose_service(route, rng))
    if service is None:
        return _refuse(
            ErrorKind.NO_RUNNER, "the route's service is not configured"
        )
    wait_seconds = route.timeout_seconds
    if fields.wait_seconds is not None:
        wait_seconds = min(wait_seconds, fields.wait_seconds)
    deadline_seconds = arrived_at_seconds + wait_seconds
    if ends_at_seconds is not None and not ends_in_time(
        now_seconds=arrived_at_seconds,
        deadline_seconds=deadline_seconds,
        longest_seconds=_longest_seconds(service, fields),
        ends_at_seconds=ends_at_seconds,
    ):
        return _refuse(
            ErrorKind.SHUTTING_DOWN,
            "this router is about to end",
            retry_after_seconds=LEAST_RETRY_AFTER_SECONDS,
        )
    name = organisation.name if organisation else ""
    return Success(
        Admission(
            route=route,
            service=service,
            organisation=name,
            urgency=_urgency_of(route, organisation),
            deadline_seconds=deadline_seconds,
            on_time_until_seconds=on_time_until(
                arrived_at_seconds=arrived_at_seconds,
                target_seconds=route.target_seconds,
                is_stream=route.repeat_rule is RepeatRule.STREAM,
            ),
            busy_seconds=_expected_busy_seconds(route, service, fields),
            mark=fingerprint(name, line.target, line.body),
        )
    )


def _refuse(
    kind: ErrorKind, detail: str, *, retry_after_seconds: float | None = None
) -> Failure[Refusal]:
    return Failure(
        Refusal(kind, detail, retry_after_seconds=retry_after_seconds)
    )


def _choose_service(route: Route, rng: random.Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [max(0.0, weight) for _, weight in route.shares]
    if not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]


def _urgency_of(route: Route, organisation: Organisation | None) -> int:
    if organisation is None or organisation.urgency is None:
        return route.urgency
    return organisation.urgency


def _expected_busy_seconds(
    route: Route, service: ServiceSpec, fields: CallerFields
) -> float:
    """Returns how long a request will hold a slot."""
    engine = service.engine
    if engine is None:
        return route.target_seconds * PLAIN_BUSY_PART
    spec = engine.models.get(fields.model)
    if spec is None:
        return 0.0
    usual = engine.busy_seconds(spec)
    tokens = fields.expected_tokens
    if tokens <= 0:
        return usual
    if fields.answer_tokens:
        tokens = min(tokens, fields.answer_tokens)
    told = tokens / max(1.0, engine.usual_answer_tokens)
    return usual * ((1 - TRUSTED_PART) + TRUSTED_PART * told)


def _longest_seconds(
    service: ServiceSpec, fields: CallerFields
) -> float | None:
    """Returns how long a request holds a slot at the most, if known."""
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
