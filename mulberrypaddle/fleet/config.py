"""The configuration written by operators, as parsed by routers."""

from __future__ import annotations

import enum


class RetryPolicy(enum.Enum):
    """Whether the requests of a route may be retried at another runner.

    Attributes:
        SAFE: All requests.
        UNSAFE: None, since a request may have side effects.
        STREAM: Streams that can be resumed; see `Route.resumable`.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Route:
    """A rule that routes the requests of a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host that the route matches, in lower case.
        path_prefix: Prefix of the matching paths; starts and ends with a slash.
        retry_policy: Which requests may be retried at another runner.
        timeout_seconds: Time from the arrival of a request to its deadline.
        target_seconds: Latency target: time within which an answer has its full
            value.
        pause_seconds: Longest pause between two events of a stream that meets
            its target; 0 if the answers are not streams.
        urgency: Urgency rank of the requests; 0 is the most urgent.
        shares: Names of the services that the requests are divided among, with
            their weights.
        max_runners: Maximum number of runners that one request may be sent to.
        public: Whether requests are accepted without an API key.
        resumable: Whether an interrupted stream may be resumed at another
            runner.
    """

    __slots__ = (
        "host",
        "max_runners",
        "name",
        "path_prefix",
        "pause_seconds",
        "public",
        "retry_policy",
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
        retry_policy: RetryPolicy,
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
        self.retry_policy = retry_policy
        self.timeout_seconds = timeout_seconds
        self.target_seconds = target_seconds
        self.pause_seconds = pause_seconds
        self.urgency = urgency
        self.shares = shares
        self.max_runners = max_runners
        self.public = public
        self.resumable = resumable

    @property
    def may_retry(self) -> bool:
        """Returns whether a request may be retried at another runner."""
        if self.retry_policy is RetryPolicy.STREAM:
            return self.resumable
        return self.retry_policy is RetryPolicy.SAFE

    @property
    def may_use_kept_connections(self) -> bool:
        """Returns whether requests may use kept connections to runners.

        A runner may close one as a request comes, and the request must be sent
        again.
        """
        return self.may_retry and self.max_runners > 1


class ModelSpec:
    """One model of an engine service.

    Attributes:
        name: Name of the model.
        size: Number of runners in a group that serves it.
        demand_share: Expected share of the work at the first start, 0 to 1.
        time_factor: Factor on the processing times in `EngineTraits`.
        load_seconds: Time to load the weights from the weight store.
        warm_join_seconds: Time to join a group if the host already holds the
            weights.
    """

    __slots__ = (
        "demand_share",
        "load_seconds",
        "name",
        "time_factor",
        "size",
        "warm_join_seconds",
    )

    def __init__(
        self,
        *,
        name: str,
        size: int,
        demand_share: float,
        time_factor: float,
        load_seconds: float,
        warm_join_seconds: float,
    ) -> None:
        self.name = name
        self.size = size
        self.demand_share = demand_share
        self.time_factor = time_factor
        self.load_seconds = load_seconds
        self.warm_join_seconds = warm_join_seconds


class EngineTraits:
    """Performance characteristics of an engine service.

    An engine service serves models, each by groups of runners.

    Attributes:
        slots: Number of requests that one group serves at once.
        models: Models by name.
        step_seconds: Time of one token step of an idle group.
        step_seconds_per_request: Time added to a token step for each request
            that is generating tokens.
        prompt_tokens_per_second: Rate at which prompts are processed.
        steps_per_event: Token steps between two events of a stream.
        mean_prompt_tokens: Mean length of a prompt in tokens.
        mean_answer_tokens: Mean length of an answer in tokens.
        loads_per_second: Loads of model weights that may start each second,
            over all runners.
        max_parallel_loads: Loads of model weights that can run in parallel at
            full speed.
        open_seconds: Time from the order to open a group until it serves.
    """

    __slots__ = (
        "open_seconds",
        "max_parallel_loads",
        "loads_per_second",
        "models",
        "prompt_tokens_per_second",
        "slots",
        "step_seconds",
        "step_seconds_per_request",
        "steps_per_event",
        "mean_answer_tokens",
        "mean_prompt_tokens",
    )

    def __init__(
        self,
        *,
        slots: int,
        models: dict[str, ModelSpec],
        step_seconds: float,
        step_seconds_per_request: float,
        prompt_tokens_per_second: float,
        steps_per_event: int,
        mean_prompt_tokens: float,
        mean_answer_tokens: float,
        loads_per_second: float,
        max_parallel_loads: int,
        open_seconds: float,
    ) -> None:
        self.slots = slots
        self.models = models
        self.step_seconds = step_seconds
        self.step_seconds_per_request = step_seconds_per_request
        self.prompt_tokens_per_second = prompt_tokens_per_second
        self.steps_per_event = steps_per_event
        self.mean_prompt_tokens = mean_prompt_tokens
        self.mean_answer_tokens = mean_answer_tokens
        self.loads_per_second = loads_per_second
        self.max_parallel_loads = max_parallel_loads
        self.open_seconds = open_seconds

    def busy_seconds(self, model: ModelSpec) -> float:
        """Returns how long an average request holds a slot of a busy group."""
        return self.seconds_for(
            model,
            prompt_tokens=self.mean_prompt_tokens,
            answer_tokens=self.mean_answer_tokens,
        )

    def seconds_for(
        self, model: ModelSpec, *, prompt_tokens: float, answer_tokens: float
    ) -> float:
        """Returns how long a request holds a slot while all slots are in use.

        Args:
            model: Model that serves the request.
            prompt_tokens: Length of the prompt.
            answer_tokens: Length of the answer.
        """
        step_seconds = (
            self.step_seconds + self.slots * self.step_seconds_per_request
        )
        prompt_seconds = prompt_tokens / self.prompt_tokens_per_second
        # Each request waits while the prompts of others in its batch are read.
        prompt_seconds *= 1 + self.slots / 2
        return model.time_factor * (
            answer_tokens * step_seconds + prompt_seconds
        )


class ScalingLimits:
    """Limits on the number of runners of a service in each data centre.

    Attributes:
        min_runners: Least number of runners.
        max_runners: Greatest number of runners.
        startup_seconds: Time from an order until a new runner serves.
    """

    __slots__ = ("max_runners", "min_runners", "startup_seconds")

    def __init__(
        self, *, min_runners: int, max_runners: int, startup_seconds: float
    ) -> None:
        self.min_runners = min_runners
        self.max_runners = max_runners
        self.startup_seconds = startup_seconds


class ServiceSpec:
    """One service, which is provided by a set of runners.

    Attributes:
        name: Name of the service.
        health_path: URL path of the runners' health check.
        cold_requests_per_second: Rate limit of a cold runner, over all routers;
            0 for no limit.
        engine: Characteristics of its model engines; None for a plain HTTP
            service.
        scaling: Limits within which its number of runners is ordered from the
            platform; None if the number is fixed.
    """

    __slots__ = (
        "cold_requests_per_second",
        "engine",
        "health_path",
        "name",
        "scaling",
    )

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        cold_requests_per_second: float,
        engine: EngineTraits | None,
        scaling: ScalingLimits | None = None,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.cold_requests_per_second = cold_requests_per_second
        self.engine = engine
        self.scaling = scaling


class Organisation:
    """An organisation that sends requests.

    Attributes:
        name: Name of the organisation.
        urgency: Urgency rank of its requests, which overrides that of the
            route; None to use that of the route.
    """

    __slots__ = ("name", "urgency")

    def __init__(self, name: str, *, urgency: int | None) -> None:
        self.name = name
        self.urgency = urgency


class CallerLimits:
    """Limits on the size and duration of requests from callers.

    Attributes:
        header_bytes: Maximum size of the header section.
        body_bytes: Maximum size of the body.
        header_seconds: Maximum time for receiving the header section.
        idle_seconds: Maximum time that a connection may stay idle.
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
    """One complete version of the configuration.

    Attributes:
        version: Version number given by the operator.
        revision: Revision of the store at which it was written.
        services: Services by name.
        limits: Limits on requests from callers.
        organisations: Organisations by API key; None if no keys are required.
        urgency_ranks: Urgencies of the requests to a service, the most urgent
            first, by service. Only services with model engines whose requests
            have several are listed.
    """

    __slots__ = (
        "_routes_by_host",
        "limits",
        "organisations",
        "revision",
        "services",
        "urgency_ranks",
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
        self.urgency_ranks = _find_urgency_ranks(
            routes, services, organisations
        )

    def has_competing_ranks(self, service: str, model: str) -> bool:
        """Returns whether requests for a model may have several urgencies."""
        if service not in self.urgency_ranks:
            return False
        engine = self.services[service].engine
        return engine is not None and model in engine.models

    def rank_of(self, service: str, model: str, urgency: int) -> int | None:
        """Returns the place of an urgency among those of a service, from 0.

        None if ranks do not compete for the model.
        """
        if not self.has_competing_ranks(service, model):
            return None
        return self.urgency_ranks[service].index(urgency)

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest prefix, or None.

        Args:
            host: Host header, with or without a port.
            path: Path of the request without the query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _find_urgency_ranks(
    routes: tuple[Route, ...],
    services: dict[str, ServiceSpec],
    organisations: dict[str, Organisation] | None,
) -> dict[str, tuple[int, ...]]:
    """Computes `ServingConfig.urgency_ranks`."""
    found: dict[str, set[int]] = {}
    overriding = {
        organisation.urgency for organisation in (organisations or {}).values()
    }
    for route in routes:
        urgencies = {
            route.urgency if urgency is None else urgency
            for urgency in overriding
        }
        if organisations is None or route.public:
            urgencies.add(route.urgency)
        for name, _ in route.shares:
            service = services.get(name)
            if service is not None and service.engine is not None:
                found.setdefault(name, set()).update(urgencies)
    return {
        name: tuple(sorted(urgencies))
        for name, urgencies in found.items()
        if len(urgencies) > 1
    }
