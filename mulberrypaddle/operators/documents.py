"""The kinds of documents that operators write, and their validation."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.settings.configuration_documents import (
    CONTRACT_PREFIX,
    DATA_CENTRE_PREFIX,
    SERVICE_PREFIX,
)
from mulberrypaddle.settings.schema import check_document

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.values import Configuration


class DocumentKind(enum.Enum):
    """A kind of document; the value is its name on the command line."""

    CONTRACT = "contract"
    SERVICE = "service"
    DATA_CENTRE = "data-centre"

    @property
    def prefix(self) -> str:
        """Returns the key prefix of its objects in the object API."""
        return _PREFIXES[self]

    @property
    def schema_name(self) -> str:
        """Returns the name of its JSON schema."""
        return self.value.replace("-", "_")

    @property
    def name_field(self) -> str:
        """Returns the field that must equal the name in the object's key."""
        return _NAME_FIELDS[self]

    def key_of(self, name: str) -> str:
        """Returns the object key of the document called `name`."""
        return self.prefix + name


_PREFIXES = {
    DocumentKind.CONTRACT: CONTRACT_PREFIX,
    DocumentKind.SERVICE: SERVICE_PREFIX,
    DocumentKind.DATA_CENTRE: DATA_CENTRE_PREFIX,
}

_NAME_FIELDS = {
    DocumentKind.CONTRACT: "organisation",
    DocumentKind.SERVICE: "service",
    DocumentKind.DATA_CENTRE: "data_centre",
}


def kind_of_key(key: str) -> DocumentKind | None:
    """Returns the kind whose prefix `key` has, or None."""
    for kind in DocumentKind:
        if key.startswith(kind.prefix):
            return kind
    return None


def validate_document(
    kind: DocumentKind,
    text: str,
    *,
    source: str,
    name: str | None = None,
    configuration: Configuration | None = None,
) -> Result[Any, Problem]:
    """Validates one document and collects all its faults.

    Args:
        kind: Which kind of document it is.
        text: The YAML document.
        source: Name used in error messages, usually the file's.
        name: Name in the object's key; None if it is not known.
        configuration: The configuration in force, to check references to
            other documents; None skips these checks.

    Returns:
        The parsed document, or INVALID_CONFIG with one line for each fault.
    """
    checked = check_document(text, schema_name=kind.schema_name, source=source)
    if not isinstance(checked, Success):
        return checked
    value = checked.unwrap()
    faults = []
    got_name = value[kind.name_field]
    if name is not None and got_name != name:
        faults.append(
            f"{source}: {kind.name_field}: got {got_name!r}, "
            f"allowed is {name!r}, the name it is kept under"
        )
    if kind is DocumentKind.CONTRACT:
        faults.extend(_contract_faults(value, source, configuration))
    if kind is DocumentKind.SERVICE:
        faults.extend(_service_faults(value, source))
    if faults:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, "\n".join(faults)))
    return Success(value)


def _contract_faults(
    value: dict[str, Any], source: str, configuration: Configuration | None
) -> list[str]:
    """Finds repeated or unknown services and keys of other organisations."""
    faults = []
    seen: set[str] = set()
    for index, terms in enumerate(value["services"]):
        service = terms["service"]
        where = f"{source}: services.{index}.service"
        if service in seen:
            faults.append(f"{where}: got {service!r} twice, allowed is once")
        seen.add(service)
        if configuration is None or service in configuration.services:
            continue
        known = ", ".join(sorted(configuration.services)) or "none"
        faults.append(f"{where}: got {service!r}, allowed are: {known}")
    if configuration is None:
        return faults
    return faults + _shared_key_faults(value, source, configuration)


def _shared_key_faults(
    value: dict[str, Any], source: str, configuration: Configuration
) -> list[str]:
    """Finds keys of other organisations: a key must identify only one."""
    faults = []
    for contract in configuration.contracts.values():
        if contract.organisation == value["organisation"]:
            continue
        shared = set(contract.key_sha256) & set(value["key_sha256"])
        if not shared:
            continue
        faults.append(
            f"{source}: key_sha256: got a key that also belongs to "
            f"{contract.organisation!r}, allowed is one organisation a key"
        )
    return faults


def _service_faults(value: dict[str, Any], source: str) -> list[str]:
    """Finds fields that only a service of engines may have."""
    if value["kind"] == "engine":
        return []
    faults = []
    for field in ("model", "replicas", "vms_per_group"):
        if field in value:
            faults.append(
                f"{source}: {field}: got a value for a plain service, "
                "allowed is an engine's only"
            )
    return faults
