"""Decodes the platform's JSON documents into the types of `fleet`."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from mulberrypaddle.core.value_checks import (
    is_int,
    require_address,
    require_int,
    require_name,
    require_number,
    require_str,
    shorten,
)
from mulberrypaddle.fleet import (
    CallerLimits,
    EngineTraits,
    GroupMembership,
    MembershipState,
    ModelSpec,
    Organisation,
    RetryPolicy,
    Route,
    RunnerEntry,
    ScalingLimits,
    ServiceSpec,
    ServingConfig,
)
from mulberrypaddle.serving.decoder import Decoder
from mulberrypaddle.serving.report_limiter import ReportLimiter

if TYPE_CHECKING:
    from mulberrypaddle.serving.store import StoredItem

_LOGGER = logging.getLogger("mulberrypaddle.documents")

# Name of the single object that holds the configuration.
CONFIG_NAME = "main"

_RETRY_POLICY_BY_KIND = {
    "safe": RetryPolicy.SAFE,
    "unsafe": RetryPolicy.UNSAFE,
    "streaming": RetryPolicy.STREAM,
}

_DRAINING_BY_STATE = {"ready": False, "draining": True}

# Exceptions raised when a document does not have the expected form.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

# Most slots of a runner, and longest rest of a cold start: a day.
_MAX_SLOTS = 65_536
_MAX_COLD_MS = 86_400_000

# Highest number of the configuration that is accepted.
_MAX_NUMBER = 1e12

# Decoded configurations that are kept: the known and the new one are compared.
_MAX_LAST_CONFIGS = 2

# Used if the configuration has no limits; copied from the platform's example.
_DEFAULT_LIMITS = CallerLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_seconds=3.0,
    idle_seconds=15.0,
)


class PlatformDecoder(Decoder):
    """Decodes the configuration and the entries of runners."""

    def __init__(self) -> None:
        self._reported_runners = ReportLimiter()
        # Configurations that were decoded last, the latest at the end.
        self._last_configs: list[tuple[StoredItem, ServingConfig | None]] = []

    def decode_config(self, items: list[StoredItem]) -> ServingConfig | None:
        """Decodes the configuration; returns None if missing or invalid."""
        for item in items:
            if item.name == CONFIG_NAME:
                return self._decode_config_once(item)
        return None

    def config_version(self, item: StoredItem) -> int | None:
        """Returns the version of a configuration; None if it is invalid."""
        if item.name != CONFIG_NAME:
            return None
        config = self._decode_config_once(item)
        return None if config is None else config.version

    def _decode_config_once(self, item: StoredItem) -> ServingConfig | None:
        """Decodes a configuration, unless it is one of the last decoded.

        Returns:
            The configuration; None if it is invalid.
        """
        config: ServingConfig | None
        for decoded, config in self._last_configs:
            if decoded is item:
                return config
        config = None
        try:
            config = _read_config(item.content["spec"], item.revision)
        except DECODE_ERRORS as error:
            _LOGGER.exception(
                "unreadable_configuration",
                extra={"revision": item.revision, "reason": str(error)},
            )
        self._last_configs.append((item, config))
        del self._last_configs[:-_MAX_LAST_CONFIGS]
        return config

    def decode_runner(
        self, item: StoredItem, *, now_seconds: float
    ) -> RunnerEntry | None:
        """Decodes a runner's entry; returns None if it is invalid."""
        try:
            return _read_runner_entry(
                item.name, item.content["spec"], now_seconds=now_seconds
            )
        except DECODE_ERRORS as error:
            if self._reported_runners.is_new(item.name, item.revision):
                _LOGGER.warning(
                    "unreadable_runner",
                    extra={
                        "subject": item.name,
                        "revision": item.revision,
                        "reason": f"{type(error).__name__}: {error}",
                    },
                )
            return None


def _read_runner_entry(
    runner_id: str, fields: dict[str, Any], *, now_seconds: float
) -> RunnerEntry:
    """Decodes the entry that a runner registered in the store.

    Args:
        runner_id: Name of the entry.
        fields: Decoded JSON of the entry.
        now_seconds: Monotonic time at which the entry was received, from
            which the rest of the runner's cold start counts.

    Raises:
        AttributeError: If an object is of another type.
        KeyError: If a field is missing.
        TypeError: If a list or an object is of another type.
        ValueError: If a field has another type, an unknown value, or one out of
            range.
    """
    if not runner_id.isascii() or not runner_id.isprintable():
        raise ValueError("the id can't be sent in a header")
    # Unix start time in milliseconds; it distinguishes the incarnations of a
    # runner that keeps its id across restarts.
    started_at_ms = fields.get("born")
    cold_ms = fields.get("coldRemainingMs")
    if cold_ms is None:
        cold_ms = 0
    domain = fields.get("domain")
    state = require_str(fields["state"])
    if state not in _DRAINING_BY_STATE:
        raise ValueError(
            f"got state {state!r}, expected one of {list(_DRAINING_BY_STATE)}"
        )
    return RunnerEntry(
        runner_id,
        started_at_ms=None
        if started_at_ms is None
        else require_int(started_at_ms),
        service=require_name(fields["service"]),
        address=require_address(fields["address"]),
        data_centre=require_name(fields["zone"]),
        slots=require_int(fields["slots"], minimum=1, maximum=_MAX_SLOTS),
        draining=_DRAINING_BY_STATE[state],
        cold_until_seconds=now_seconds
        + require_number(cold_ms, maximum=_MAX_COLD_MS) / 1000,
        models=_read_loaded_models(fields),
        domain="" if domain is None else require_str(domain),
        staged=_read_staged_models(fields),
        group=read_membership(fields.get("group")),
        sequence=_read_sequence(fields.get("sequence")),
    )


def _read_sequence(value: Any) -> int | None:
    """Returns the runner's count of its writes; None if it is odd."""
    return value if is_int(value) else None


def _require_list(value: Any) -> list[Any]:
    """Returns a list, empty if it is missing; raises ValueError if none."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f"got {shorten(value)}, expected a list")
    return value


def _read_staged_models(fields: dict[str, Any]) -> tuple[str, ...]:
    """Returns the models whose weights are already on the runner's host."""
    return tuple(
        require_name(name) for name in _require_list(fields.get("staged"))
    )


def _read_loaded_models(fields: dict[str, Any]) -> tuple[str, ...]:
    """Returns the names of the models that the runner has loaded."""
    return tuple(
        require_name(model["name"])
        for model in _require_list(fields.get("models"))
    )


def read_membership(fields: Any) -> GroupMembership | None:
    """Returns a runner's group membership, or None if it is in no group.

    Args:
        fields: What the runner says of its group, in its entry or its report.

    Raises:
        KeyError: If a field is missing.
        TypeError: If it is no mapping.
        ValueError: If a field has another type or an unknown value.
    """
    if not fields:
        return None
    return GroupMembership(
        require_name(fields["name"]),
        epoch=require_int(fields["epoch"]),
        rank=require_int(fields["rank"]),
        state=MembershipState(require_str(fields["state"])),
    )


def _read_number(value: Any) -> float:
    """Returns a number of the configuration, from 0 to `_MAX_NUMBER`.

    Raises:
        ValueError: If the value is no such number.
    """
    return require_number(value, maximum=_MAX_NUMBER)


def _read_rate(value: Any) -> float:
    """Returns a rate of the configuration, above 0 and up to `_MAX_NUMBER`.

    Raises:
        ValueError: If the value is no such number.
    """
    rate = _read_number(value)
    if rate <= 0:
        raise ValueError("got a rate of 0")
    return rate


def _read_int(value: Any, *, minimum: int = 0) -> int:
    """Returns a number of the configuration without its fraction.

    Args:
        value: The number, up to `_MAX_NUMBER`.
        minimum: Lowest number that is accepted.

    Raises:
        ValueError: If the value is no such number.
    """
    number = int(_read_number(value))
    if number < minimum:
        raise ValueError(f"got {number}, expected {minimum} or more")
    return number


def _read_rank(value: Any) -> int:
    """Returns the rank of a route or an organisation; it may be negative.

    Raises:
        ValueError: If the value is no number up to `_MAX_NUMBER`.
    """
    is_negative = type(value) in (int, float) and value < 0
    return -_read_int(-value) if is_negative else _read_int(value)


def _read_config(fields: dict[str, Any], revision: int) -> ServingConfig:
    """Decodes the configuration: routes, services and organisations."""
    limits = _DEFAULT_LIMITS
    if fields.get("limits"):
        limits = _read_limits(fields["limits"])
    return ServingConfig(
        version=require_int(fields["version"]),
        revision=revision,
        routes=tuple(_read_route(route) for route in fields["routes"]),
        services={
            service["name"]: _read_service(service)
            for service in fields["services"]
        },
        limits=limits,
        organisations=_read_organisations(fields),
    )


def _read_limits(fields: dict[str, Any]) -> CallerLimits:
    """Decodes the size and time limits of callers' requests."""
    return CallerLimits(
        header_bytes=_read_int(fields["maxHeaderBytes"]),
        body_bytes=_read_int(fields["maxBodyBytes"]),
        header_seconds=_read_number(fields["headerTimeoutMs"]) / 1000,
        idle_seconds=_read_number(fields["idleTimeoutMs"]) / 1000,
    )


def _read_route(fields: dict[str, Any]) -> Route:
    """Decodes a route, to one service or to several by weight."""
    shares: tuple[tuple[str, float], ...]
    if fields.get("backends"):
        shares = tuple(
            (require_str(share["service"]), _read_number(share["weight"]))
            for share in fields["backends"]
        )
    else:
        shares = ((require_str(fields["service"]), 1.0),)
    timeout_ms = _read_number(fields.get("timeoutMs") or 30_000)
    return Route(
        name=require_str(fields["name"]),
        host=require_str(fields["host"]).lower(),
        path_prefix=require_str(fields["pathPrefix"]),
        retry_policy=_RETRY_POLICY_BY_KIND[fields["kind"]],
        timeout_seconds=timeout_ms / 1000,
        target_seconds=_read_number(fields.get("targetLatencyMs", timeout_ms))
        / 1000,
        # Longest gap between two events of a stream that is still on time.
        pause_seconds=_read_number(fields.get("gapAimMs", 0)) / 1000,
        urgency=_read_rank(fields.get("priority", 5)),
        shares=shares,
        max_runners=_read_int(fields.get("maxAttempts", 1)),
        public=bool(fields.get("public", False)),
        resumable=bool(fields.get("resumable", False)),
    )


def _read_service(fields: dict[str, Any]) -> ServiceSpec:
    """Decodes a service; only services of model engines have an engine."""
    engine = fields.get("engine")
    return ServiceSpec(
        name=require_str(fields["name"]),
        health_path=require_str(fields.get("healthPath", "/")),
        cold_requests_per_second=_read_number(fields.get("coldPerS") or 0),
        engine=None if engine is None else _read_engine(engine),
        scaling=_read_scaling(fields.get("scaling"), service=fields["name"]),
    )


def _read_scaling(fields: Any, *, service: str) -> ScalingLimits | None:
    """Returns the limits on a service's number of runners; None without any.

    Invalid limits are logged, and the number of runners is left as it is: a
    wrong limit of one service must not keep the rest of the configuration from
    taking effect.
    """
    if fields is None:
        return None
    try:
        limits = ScalingLimits(
            min_runners=require_int(fields["min"], minimum=0),
            max_runners=require_int(fields["max"], minimum=1),
            startup_seconds=_read_number(fields.get("startupS", 0)),
        )
        if limits.min_runners > limits.max_runners:
            raise ValueError(
                f"got min {limits.min_runners} over max {limits.max_runners}"
            )
    except DECODE_ERRORS as error:
        _LOGGER.error(
            "invalid_scaling",
            extra={
                "service": service,
                "reason": f"{type(error).__name__}: {error}",
            },
        )
        return None
    return limits


def _read_engine(fields: dict[str, Any]) -> EngineTraits:
    """Decodes the models and the speeds of a service's model engine."""
    mean_tokens = fields.get("usual") or {}
    models = {
        model["name"]: ModelSpec(
            name=require_str(model["name"]),
            size=_read_int(model["size"], minimum=1),
            demand_share=_read_number(model["share"]),
            time_factor=_read_number(model["pace"]),
            load_seconds=_read_number(model["loadS"]),
            warm_join_seconds=_read_number(model["warmS"]),
        )
        for model in fields.get("models", ())
    }
    return EngineTraits(
        slots=_read_int(fields["slots"], minimum=1),
        models=models,
        step_seconds=_read_number(fields["step_ms"]) / 1000,
        step_seconds_per_request=_read_number(fields["per_seq_ms"]) / 1000,
        prompt_tokens_per_second=_read_rate(fields["read_per_s"]),
        steps_per_event=_read_int(fields.get("stride", 1)),
        # Mean tokens of a request, over all models of the service.
        mean_prompt_tokens=_read_number(mean_tokens.get("prompt", 1000)),
        mean_answer_tokens=_read_number(mean_tokens.get("answer", 150)),
        loads_per_second=_read_number(fields.get("loadsPerS", 1)),
        max_parallel_loads=_read_int(fields.get("loads_at_once", 1)),
        open_seconds=_read_number(fields.get("formMs", 0)) / 1000,
    )


def _read_organisations(
    fields: dict[str, Any],
) -> dict[str, Organisation] | None:
    """Returns organisations by API key, or None if keys aren't required."""
    if "tenants" not in fields:
        return None
    organisation_by_key: dict[str, Organisation] = {}
    for tenant in fields["tenants"]:
        urgency = tenant.get("priority")
        organisation = Organisation(
            require_str(tenant["name"]),
            urgency=None if urgency is None else _read_rank(urgency),
        )
        for key in tenant["apiKeys"]:
            organisation_by_key[require_str(key)] = organisation
    return organisation_by_key
