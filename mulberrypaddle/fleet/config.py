"""The configuration that operators write, as routers use it."""

from __future__ import annotations

import enum


class RepeatRule(enum.Enum):
    """What a route allows to be sent more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Route:
    """One rule from host and path to a service.

    Attributes:
        name: Name of the route.
        host: Host that it answers for, in lower case.
        path_prefix: Start of the paths, begins and ends with a slash.
        repeat_rule: What may be sent more than once.
        timeout_seconds: Longest time that a caller is kept waiting.
        target_seconds: Time within which an answer is worth most.
        pause_seconds: Longest pause between two events of a stream that is
            on time; 0 if it is no stream.
        urgency: Rank of its requests, 0 first.
        shares: Services with their weights.
        max_runners: Most runners that one request may be sent to.
        public: Whether no key is needed.
        resumable: Whether a broken stream may go on at another runner.
    """

    __slots__ = (
        "host",
        "max_runners",
        "name",
        "path_prefix",
        "pause_seconds",
        "public",
        "repeat_rule",
        "resumable",
        "shares",
        "target_seconds",
        "timeout_seconds",
        "urgency",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        repeat_rule: RepeatRule,
        timeout_seconds: float,
        target_seconds: float,
        pause_seconds: float,
        urgency: int,
        shares: tuple[tuple[str, float], ...],
        max_runners: int,
        public: bool,
        resumable: bool,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.repeat_rule = repeat_rule
        self.timeout_seconds = timeout_seconds
        self.target_seconds = target_seconds
        self.pause_seconds = pause_seconds
        self.urgency = urgency
        self.shares = shares
        self.max_runners = max_runners
        self.public = public
        self.resumable = resumable

    @property
    def may_repeat(self) -> bool:
        """Returns whether a request may run at a second runner."""
        if self.repeat_rule is RepeatRule.STREAM:
            return self.resumable
        return self.repeat_rule is RepeatRule.SAFE


class ModelSpec:
    """One model of an engine service.

    Attributes:
        name: Name of the model.
        size: Runners that a group of it needs.
        demand_share: Share of the work at the start, 0 to 1.
        pace: Factor on all times of its groups.
        load_seconds: Time to load the weights from the weight store.
        warm_seconds: Time to join where the host holds the weights.
    """

    __slots__ = (
        "demand_share",
        "load_seconds",
        "name",
        "pace",
        "size",
        "warm_seconds",
    )

    def __init__(
        self,
        *,
        name: str,
        size: int,
        demand_share: float,
        pace: float,
        load_seconds: float,
        warm_seconds: float,
    ) -> None:
        self.name = name
        self.size = size
        self.demand_share = demand_share
        self.pace = pace
        self.load_seconds = load_seconds
        self.warm_seconds = warm_seconds


class EngineTraits:
    """How the runners of an engine service behave.

    Attributes:
        slots: Requests that one group serves at once.
        models: Models by name.
        step_seconds: Time of one token step with nothing running.
        step_seconds_per_request: Added for each request that writes.
        prompt_tokens_per_second: Rate at which prompts are read.
        steps_per_pass: Token steps between two events of a stream.
        usual_prompt_tokens: Mean length of a prompt.
        usual_answer_tokens: Mean length of an answer.
        loads_per_second: Loads of weights that may start, over all runners.
        loads_at_once: Loads of weights at full speed.
        form_seconds: Time from the order to serve to serving.
    """

    __slots__ = (
        "form_seconds",
        "loads_at_once",
        "loads_per_second",
        "models",
        "prompt_tokens_per_second",
        "slots",
        "step_seconds",
        "step_seconds_per_request",
        "steps_per_pass",
        "usual_answer_tokens",
        "usual_prompt_tokens",
    )

    def __init__(
        self,
        *,
        slots: int,
        models: dict[str, ModelSpec],
        step_seconds: float,
        step_seconds_per_request: float,
        prompt_tokens_per_second: float,
        steps_per_pass: int,
        usual_prompt_tokens: float,
        usual_answer_tokens: float,
        loads_per_second: float,
        loads_at_once: int,
        form_seconds: float,
    ) -> None:
        self.slots = slots
        self.models = models
        self.step_seconds = step_seconds
        self.step_seconds_per_request = step_seconds_per_request
        self.prompt_tokens_per_second = prompt_tokens_per_second
        self.steps_per_pass = steps_per_pass
        self.usual_prompt_tokens = usual_prompt_tokens
        self.usual_answer_tokens = usual_answer_tokens
        self.loads_per_second = loads_per_second
        self.loads_at_once = loads_at_once
        self.form_seconds = form_seconds

    def busy_seconds(self, model: ModelSpec) -> float:
        """Returns how long a usual request holds a slot of a full group."""
        return self.seconds_for(
            model,
            prompt_tokens=self.usual_prompt_tokens,
            answer_tokens=self.usual_answer_tokens,
        )

    def seconds_for(
        self, model: ModelSpec, *, prompt_tokens: float, answer_tokens: float
    ) -> float:
        """Returns how long a request holds a slot of a full group."""
        step = self.step_seconds + self.slots * self.step_seconds_per_request
        reading = prompt_tokens / self.prompt_tokens_per_second
        # Each request waits while the others of its batch are read.
        reading *= 1 + self.slots / 2
        return model.pace * (answer_tokens * step + reading)


class ServiceSpec:
    """One service.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        cold_requests_per_second: What a cold runner bears; 0 if any.
        engine: Traits of model engines; None for a plain service.
    """

    __slots__ = ("cold_requests_per_second", "engine", "health_path", "name")

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        cold_requests_per_second: float,
        engine: EngineTraits | None,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.cold_requests_per_second = cold_requests_per_second
        self.engine = engine


class Organisation:
    """A caller organisation.

    Attributes:
        name: Name of the organisation.
        urgency: Rank of its requests, before that of the route; None if the
            route decides.
    """

    __slots__ = ("name", "urgency")

    def __init__(self, name: str, *, urgency: int | None) -> None:
        self.name = name
        self.urgency = urgency


class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Longest header section.
        body_bytes: Longest body.
        header_seconds: Longest time for the header section.
        idle_seconds: Longest time that a connection may stay idle.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_seconds", "idle_seconds")

    def __init__(
        self,
        *,
        header_bytes: int,
        body_bytes: int,
        header_seconds: float,
        idle_seconds: float,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds


class ServingConfig:
    """One version of the configuration, whole.

    Attributes:
        version: Version that the operator gave.
        revision: Revision of the store at which it was written.
        services: Services by name.
        limits: Bounds for callers.
        organisations: Organisations by key; None if no keys are asked for.
    """

    __slots__ = (
        "_routes_by_host",
        "limits",
        "organisations",
        "revision",
        "services",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        revision: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceSpec],
        limits: CallerLimits,
        organisations: dict[str, Organisation] | None,
    ) -> None:
        self.version = version
        self.revision = revision
        self.services = services
        self.limits = limits
        self.organisations = organisations
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = by_host

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that fits.

        Args:
            host: Host header, with or without a port.
            path: Path without the query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
