"""Checks a folder of this project's documents, laid out like `examples/`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Success

from mulberrypaddle.checks.findings import Finding, error, warning
from mulberrypaddle.operators.documents import DocumentKind
from mulberrypaddle.settings.schema import check_document

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Valid documents by kind and name.
Documents = dict[DocumentKind, dict[str, Any]]

# Slots of a service, and those of a group after a start, if not given.
_DEFAULT_SLOTS = 16
_DEFAULT_COLD_SLOTS = 2


class ParsedFolder:
    """The documents of a folder.

    Attributes:
        documents: Valid documents, by kind and name.
        findings: What is wrong with the others.
    """

    __slots__ = ("documents", "findings")

    def __init__(self, documents: Documents, findings: list[Finding]) -> None:
        self.documents = documents
        self.findings = findings


def parse_documents(
    texts: Mapping[DocumentKind, list[tuple[str, str]]],
) -> ParsedFolder:
    """Parses documents and validates each against its schema.

    Args:
        texts: Name and text of the documents of each kind.
    """
    documents: Documents = {}
    findings: list[Finding] = []
    for kind, named_texts in texts.items():
        parsed = documents.setdefault(kind, {})
        for name, text in named_texts:
            place = f"{kind.value} {name}"
            checked = check_document(
                text, schema_name=kind.schema_name, source=place
            )
            if isinstance(checked, Success):
                parsed[name] = checked.unwrap()
                continue
            for line in checked.failure().detail.splitlines():
                where, _, message = line.partition(": ")
                findings.append(error(where, message))
    return ParsedFolder(documents, findings)


def check_documents(folder: ParsedFolder) -> list[Finding]:
    """Returns the errors and warnings of the documents of a folder."""
    documents = folder.documents
    findings = [*folder.findings, *_check_names(documents)]
    services = {
        document["service"]
        for document in documents.get(DocumentKind.SERVICE, {}).values()
    }
    # A service whose document is invalid is reported once, as invalid.
    knows_services = not any(
        finding.place.startswith(DocumentKind.SERVICE.value)
        for finding in folder.findings
    )
    contracts = documents.get(DocumentKind.CONTRACT, {})
    findings.extend(_check_keys(contracts))
    for name, contract in contracts.items():
        findings.extend(
            _check_terms(
                contract,
                place=f"contract {name}",
                services=services if knows_services else None,
            )
        )
    for name, service in documents.get(DocumentKind.SERVICE, {}).items():
        findings.extend(_check_service(service, place=f"service {name}"))
    findings.extend(
        _check_data_centres(documents.get(DocumentKind.DATA_CENTRE, {}))
    )
    return findings


def _check_names(documents: Documents) -> Iterator[Finding]:
    """Yields documents whose file has another name than they have."""
    for kind, by_name in documents.items():
        for name, document in by_name.items():
            given = document[kind.name_field]
            if given != name:
                yield error(
                    f"{kind.value} {name}",
                    f"{kind.name_field} is {given!r}, unlike the file's name",
                )


def _check_keys(contracts: dict[str, Any]) -> Iterator[Finding]:
    """Yields keys that are held twice, without the keys."""
    place_by_key: dict[str, str] = {}
    for name, contract in contracts.items():
        for number, key in enumerate(contract["key_sha256"]):
            place = f"contract {name}: key_sha256[{number}]"
            first = place_by_key.setdefault(key, place)
            if first is not place:
                yield warning(place, f"is the same key as {first}")


def _check_terms(
    contract: dict[str, Any], *, place: str, services: set[str] | None
) -> Iterator[Finding]:
    """Yields warnings about the terms of one contract.

    Args:
        contract: The contract.
        place: Its place.
        services: Names of all services; None if not all are known.
    """
    place_by_service: dict[str, str] = {}
    for number, terms in enumerate(contract["services"]):
        terms_place = f"{place}: services[{number}]"
        service = terms["service"]
        earlier = place_by_service.get(service)
        place_by_service[service] = terms_place
        if earlier is not None:
            yield warning(
                earlier,
                f"has no effect: {terms_place} is for the same service",
            )
        if services is not None and service not in services:
            yield warning(
                f"{terms_place}.service", f"there is no service {service!r}"
            )
        tokens = terms.get("in_flight_tokens")
        if tokens is not None and tokens < terms["in_flight_requests"]:
            yield warning(
                f"{terms_place}.in_flight_tokens",
                f"is {tokens}, below in_flight_requests, which is "
                f"{terms['in_flight_requests']}",
            )
        yield from _check_calls(
            terms.get("never_twice", []), place=f"{terms_place}.never_twice"
        )


def _check_calls(calls: list[str], *, place: str) -> Iterator[Finding]:
    """Yields calls that an earlier one of the same method covers."""
    for number, call in enumerate(calls):
        for earlier_number, earlier in enumerate(calls[:number]):
            if call.startswith(earlier):
                yield warning(
                    f"{place}[{number}]",
                    f"never matches alone: {place}[{earlier_number}] covers it",
                )
                break


def _check_service(service: dict[str, Any], *, place: str) -> Iterator[Finding]:
    """Yields warnings about limits of a service that contradict each other."""
    slots = service.get("slots", _DEFAULT_SLOTS)
    cold_slots = service.get("cold_slots", _DEFAULT_COLD_SLOTS)
    if cold_slots > slots:
        yield warning(
            f"{place}: cold_slots",
            f"is {cold_slots}, over the {slots} slots of a warm group",
        )
    memory_tokens = service.get("memory_tokens")
    if memory_tokens is not None and memory_tokens < slots:
        yield warning(
            f"{place}: memory_tokens",
            f"is {memory_tokens}, below the {slots} slots",
        )


def _check_data_centres(data_centres: dict[str, Any]) -> Iterator[Finding]:
    """Yields a warning if no data centre is in service."""
    states = {document["state"] for document in data_centres.values()}
    if states == {"out"}:
        yield warning("data centres", "none is in service")
