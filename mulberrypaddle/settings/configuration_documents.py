"""Parses configuration documents into typed configuration objects."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from mulberrypaddle.blackboard.values import Configuration
from mulberrypaddle.core.contract import (
    CallPattern,
    Contract,
    ServiceTerms,
    Urgency,
)
from mulberrypaddle.core.fleet import DataCentreState, Service, ServiceKind
from mulberrypaddle.settings.schema import check_document

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.core.errors import Problem

_LOGGER = logging.getLogger("mulberrypaddle.settings")

CONTRACT_PREFIX = "config/contracts/"
SERVICE_PREFIX = "config/services/"
DATA_CENTRE_PREFIX = "config/data-centres/"

# Token limit per in-flight request if `in_flight_tokens` is not given.
_DEFAULT_TOKENS_PER_REQUEST = 8_192


def _build_terms(value: dict[str, Any]) -> ServiceTerms:
    """Builds one service's terms from an item of a contract's `services`."""
    patterns = []
    for text in value.get("never_twice", []):
        method, path_prefix = text.split(" ", 1)
        patterns.append(CallPattern(method, path_prefix))
    in_flight_requests = value["in_flight_requests"]
    return ServiceTerms(
        value["service"],
        in_flight_requests=in_flight_requests,
        in_flight_tokens=value.get(
            "in_flight_tokens", in_flight_requests * _DEFAULT_TOKENS_PER_REQUEST
        ),
        urgency=Urgency[value["urgency"].upper()],
        deadline_seconds=value["deadline_seconds"],
        at_most_once_calls=tuple(patterns),
        reader_window_bytes=value.get("reader_window_bytes", 65_536),
        reader_stall_seconds=value.get("reader_stall_seconds", 60.0),
    )


def parse_contract(
    text: str, *, source: str, version: int = 0
) -> Result[Contract, Problem]:
    """Parses a contract document.

    Args:
        text: The YAML document.
        source: Name of the document in error messages.
        version: Object version of the document in the store.

    Returns:
        The contract, or INVALID_CONFIG with every error found.
    """
    checked = check_document(text, schema_name="contract", source=source)
    return checked.map(lambda value: _build_contract(value, version))


def _build_contract(value: dict[str, Any], version: int) -> Contract:
    """Builds a contract from a document that passed the schema check."""
    terms = {}
    for item in value["services"]:
        parsed = _build_terms(item)
        terms[parsed.service] = parsed
    return Contract(
        value["organisation"],
        key_sha256=tuple(value["key_sha256"]),
        terms=terms,
        version=version,
    )


def parse_service(
    text: str, *, source: str, version: int = 0
) -> Result[Service, Problem]:
    """Parses a service document.

    Args:
        text: The YAML document.
        source: Name of the document in error messages.
        version: Object version of the document in the store.

    Returns:
        The service, or INVALID_CONFIG with every error found.
    """
    checked = check_document(text, schema_name="service", source=source)
    return checked.map(
        lambda value: Service(
            value["service"],
            kind=ServiceKind(value["kind"]),
            model=value.get("model", ""),
            replicas=value.get("replicas", 0),
            vms_per_group=value.get("vms_per_group", 1),
            value=value.get("value", 1),
            checks_fencing=value.get("checks_fencing", True),
            slots=value.get("slots", 16),
            memory_tokens=value.get("memory_tokens", 262_144),
            cold_slots=value.get("cold_slots", 2),
            version=version,
        )
    )


def parse_data_centre(
    text: str, *, source: str
) -> Result[DataCentreState, Problem]:
    """Parses a data centre document.

    Args:
        text: The YAML document.
        source: Name of the document in error messages.

    Returns:
        Whether the data centre is in or out of service, or INVALID_CONFIG
        with every error found.
    """
    checked = check_document(text, schema_name="data_centre", source=source)
    return checked.map(lambda value: DataCentreState(value["state"]))


def parse_configuration(objects: Iterable[StoredObject]) -> Configuration:
    """Builds the configuration from the objects of the store.

    An invalid object is logged and skipped. `apply` rejects invalid
    documents, so such an object was written by a newer release.

    Args:
        objects: Objects below `config/`, in any order; deleted ones have an
            empty value and are skipped.
    """
    configuration = Configuration(
        contracts={}, services={}, data_centres={}, versions={}
    )
    for stored in objects:
        if not stored.value:
            continue
        _add_to_configuration(configuration, stored)
    return configuration


def _add_to_configuration(
    configuration: Configuration, stored: StoredObject
) -> None:
    """Parses one object and adds it to the table of its kind.

    Its version is recorded even if the object is invalid. Objects under an
    unknown prefix are ignored.
    """
    text = stored.value.decode()
    name = stored.key.rsplit("/", 1)[-1]
    configuration.versions[stored.key] = stored.version
    result: Result[Any, Problem]
    if stored.key.startswith(CONTRACT_PREFIX):
        result = parse_contract(text, source=stored.key, version=stored.version)
        table: dict[str, Any] = configuration.contracts
    elif stored.key.startswith(SERVICE_PREFIX):
        result = parse_service(text, source=stored.key, version=stored.version)
        table = configuration.services
    elif stored.key.startswith(DATA_CENTRE_PREFIX):
        result = parse_data_centre(text, source=stored.key)
        table = configuration.data_centres
    else:
        return
    if not isinstance(result, Success):
        _LOGGER.error(
            "object_unreadable",
            extra={"key": stored.key, "detail": result.failure().detail},
        )
        return
    table[name] = result.unwrap()
