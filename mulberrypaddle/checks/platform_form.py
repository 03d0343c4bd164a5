"""Checks a configuration in the platform's form, the object `config/main`.

What counts as an error is what routers refuse: the schema describes the fields
that `platform/decoder.py` reads, and a document without violations is decoded
as well.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from mulberrypaddle.checks.findings import Finding, error, warning
from mulberrypaddle.platform.decoder import CONFIG_NAME, PlatformDecoder
from mulberrypaddle.serving.store import StoredItem
from mulberrypaddle.settings.schema import schema_violations

if TYPE_CHECKING:
    from collections.abc import Iterator

_SCHEMA_NAME = "platform_config"

# Kind of routes whose requests may be repeated if they are resumable.
_STREAMING = "streaming"

# Field with keys of callers, which are never shown.
_SECRET_FIELD = "apiKeys"

# Default of the platform, which also replaces 0.
_DEFAULT_TIMEOUT_MS = 30_000


class ParsedDocument:
    """A JSON document.

    Attributes:
        value: Its content; None if it can't be parsed.
        findings: Fields that are given twice, and what prevents parsing.
    """

    __slots__ = ("findings", "value")

    def __init__(self, value: Any, findings: list[Finding]) -> None:
        self.value = value
        self.findings = findings


def parse_platform_form(text: str) -> ParsedDocument:
    """Parses a configuration, with or without the metadata of the store."""
    findings: list[Finding] = []

    def build(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for name, value in pairs:
            if name in fields:
                findings.append(
                    warning(
                        name,
                        "is given twice in one object; the first has no effect",
                    )
                )
            fields[name] = value
        return fields

    try:
        value = json.loads(
            text, object_pairs_hook=build, parse_constant=_refuse_constant
        )
    except json.JSONDecodeError as problem:
        place = f"line {problem.lineno}, column {problem.colno}"
        return ParsedDocument(None, [error(place, problem.msg)])
    except (ValueError, RecursionError) as problem:
        return ParsedDocument(None, [error("(document)", str(problem))])
    if isinstance(value, dict) and isinstance(value.get("spec"), dict):
        value = value["spec"]
    return ParsedDocument(value, findings)


def _refuse_constant(name: str) -> None:
    """Refuses NaN and infinities, which JSON doesn't have."""
    raise ValueError(f"got {name}, which is no JSON")


def check_platform_form(value: Any) -> list[Finding]:
    """Returns the errors of a configuration, or else its warnings."""
    errors = [
        error(
            _place(path),
            # Messages of the schema quote values.
            "is no list of texts" if _SECRET_FIELD in path else message,
        )
        for path, message in schema_violations(value, schema_name=_SCHEMA_NAME)
    ]
    if errors:
        return errors
    item = StoredItem(CONFIG_NAME, revision=1, content={"spec": value})
    if PlatformDecoder().decode_config([item]) is None:
        return [error("(document)", "routers can't read the configuration")]
    return [
        *_check_routes(value),
        *_check_services(value["services"]),
        *_check_limits(value.get("limits") or {}),
        *_check_tenants(value),
    ]


def _place(path: list[str | int]) -> str:
    """Returns a path as text, such as `routes[2].kind`."""
    place = ""
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        else:
            place += f".{step}" if place else step
    return place or "(document)"


def _check_routes(config: dict[str, Any]) -> Iterator[Finding]:
    """Yields warnings about all routes."""
    services = {service["name"] for service in config["services"]}
    place_by_match: dict[tuple[str, str], str] = {}
    place_by_name: dict[str, str] = {}
    for number, route in enumerate(config["routes"]):
        place = f"routes[{number}]"
        match = (route["host"].lower(), route["pathPrefix"])
        first = place_by_match.setdefault(match, place)
        if first is not place:
            yield warning(
                place,
                f"never matches: {first} has the same host and pathPrefix",
            )
        named = place_by_name.setdefault(route["name"], place)
        if named is not place:
            yield warning(f"{place}.name", f"{named} has the same name")
        if ":" in route["host"]:
            yield warning(
                f"{place}.host",
                "never matches: ports of callers' hosts are left out",
            )
        if not route["pathPrefix"].startswith("/"):
            yield warning(
                f"{place}.pathPrefix", "never matches: paths begin with /"
            )
        yield from _check_backends(route, place=place, services=services)
        yield from _check_route_limits(route, place=place)


def _check_backends(
    route: dict[str, Any], *, place: str, services: set[str]
) -> Iterator[Finding]:
    """Yields warnings about the services that a route leads to."""
    backends = route.get("backends") or []
    if not backends:
        if route["service"] not in services:
            yield _missing_service(f"{place}.service", route["service"])
        return
    if "service" in route:
        yield warning(
            f"{place}.service", "has no effect, since there are backends"
        )
    is_weighted = any(backend["weight"] for backend in backends)
    if not is_weighted and len(backends) > 1:
        yield warning(
            f"{place}.backends",
            "all weights are 0, so that the first one gets all requests",
        )
    for number, backend in enumerate(backends):
        backend_place = f"{place}.backends[{number}]"
        if backend["service"] not in services:
            yield _missing_service(
                f"{backend_place}.service", backend["service"]
            )
        if is_weighted and not backend["weight"]:
            yield warning(
                f"{backend_place}.weight", "is 0, so that it gets no request"
            )


def _missing_service(place: str, service: str) -> Finding:
    """Returns the warning that a service does not exist."""
    return warning(place, f"there is no service {service!r}")


def _check_route_limits(
    route: dict[str, Any], *, place: str
) -> Iterator[Finding]:
    """Yields warnings about limits of a route that contradict each other."""
    timeout_ms = route.get("timeoutMs")
    if timeout_ms == 0:
        yield warning(
            f"{place}.timeoutMs", f"0 counts as {_DEFAULT_TIMEOUT_MS}"
        )
    timeout_ms = timeout_ms or _DEFAULT_TIMEOUT_MS
    for field in ("targetLatencyMs", "gapAimMs"):
        if route.get(field, 0) > timeout_ms:
            yield warning(
                f"{place}.{field}",
                f"is {route[field]}, over the time limit of {timeout_ms}",
            )
    attempts = int(route.get("maxAttempts", 1))
    if attempts < 1:
        yield warning(
            f"{place}.maxAttempts", "is 0, while each request needs one attempt"
        )
    is_streaming = route["kind"] == _STREAMING
    is_resumable = bool(route.get("resumable", False))
    may_repeat = is_resumable if is_streaming else route["kind"] == "safe"
    if attempts > 1 and not may_repeat:
        yield warning(
            f"{place}.maxAttempts",
            f"is {attempts}, while requests of this route are never repeated",
        )
    if is_resumable and not is_streaming:
        yield warning(f"{place}.resumable", "has no effect without streaming")
    if route.get("gapAimMs", 0) and not is_streaming:
        yield warning(f"{place}.gapAimMs", "has no effect without streaming")


def _check_services(services: list[dict[str, Any]]) -> Iterator[Finding]:
    """Yields errors and warnings about all services."""
    place_by_name: dict[str, str] = {}
    for number, service in enumerate(services):
        place = f"services[{number}]"
        earlier = place_by_name.get(service["name"])
        place_by_name[service["name"]] = place
        if earlier is not None:
            yield warning(earlier, f"has no effect: {place} has the same name")
        scaling = service.get("scaling")
        if scaling is not None and scaling["min"] > scaling["max"]:
            yield error(
                f"{place}.scaling",
                f"min {scaling['min']} is over max {scaling['max']}, so that "
                f"the service is not scaled",
            )
        if service.get("engine") is not None:
            yield from _check_engine(
                service["engine"], scaling=scaling, place=f"{place}.engine"
            )


def _check_engine(
    engine: dict[str, Any], *, scaling: dict[str, Any] | None, place: str
) -> Iterator[Finding]:
    """Yields warnings about the models of an engine service."""
    models = engine.get("models", [])
    if not models:
        yield warning(place, "has no models, so that it serves no request")
    for field, default in (("loadsPerS", 1), ("loads_at_once", 1)):
        if int(engine.get(field, default) * 1000) == 0:
            yield warning(
                f"{place}.{field}", "is 0, so that no model can be loaded"
            )
    place_by_name: dict[str, str] = {}
    for number, model in enumerate(models):
        model_place = f"{place}.models[{number}]"
        earlier = place_by_name.get(model["name"])
        place_by_name[model["name"]] = model_place
        if earlier is not None:
            yield warning(
                earlier, f"has no effect: {model_place} has the same name"
            )
        if scaling is not None and model["size"] > scaling["max"]:
            yield warning(
                f"{model_place}.size",
                f"is {model['size']}, over the {scaling['max']} runners that "
                f"a data centre may have",
            )


def _check_limits(limits: dict[str, Any]) -> Iterator[Finding]:
    """Yields warnings about the limits on callers' requests."""
    for field in ("maxHeaderBytes", "headerTimeoutMs"):
        if field in limits and int(limits[field]) == 0:
            yield warning(f"limits.{field}", "is 0, so no request is accepted")


def _check_tenants(config: dict[str, Any]) -> Iterator[Finding]:
    """Yields warnings about organisations and their keys, without the keys."""
    if "tenants" not in config:
        return
    place_by_key: dict[str, str] = {}
    place_by_name: dict[str, str] = {}
    for number, tenant in enumerate(config["tenants"]):
        place = f"tenants[{number}]"
        named = place_by_name.setdefault(tenant["name"], place)
        if named is not place:
            yield warning(f"{place}.name", f"{named} has the same name")
        for key_number, key in enumerate(tenant["apiKeys"]):
            key_place = f"{place}.apiKeys[{key_number}]"
            earlier = place_by_key.get(key)
            place_by_key[key] = key_place
            if earlier is not None:
                yield warning(
                    earlier, f"never matches: {key_place} is the same key"
                )
    if place_by_key:
        return
    for number, route in enumerate(config["routes"]):
        if not route.get("public", False):
            yield warning(
                f"routes[{number}]",
                "accepts no request: it needs a key, and there is none",
            )
