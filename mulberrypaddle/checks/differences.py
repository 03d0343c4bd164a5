"""Differences between two configurations."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from mulberrypaddle.checks.findings import (
    Finding,
    difference,
    error,
    warning,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

# Fields that name an entry of a list, so that it can be found in another
# version at another index.
_NAME_FIELDS = ("name", "service")

# Fields with secrets, of which only the number is told.
_SECRET_FIELDS = ("apiKeys", "key_sha256")

# Longest value that is shown.
_MAX_SHOWN_LENGTH = 80


def compare_versions(new: Any, in_force: Any) -> Iterator[Finding]:
    """Yields what keeps a new version from taking effect.

    Routers never go back to a lower version.

    Args:
        new: New configuration in the platform's form.
        in_force: Configuration in force.
    """
    if not isinstance(new, dict) or not isinstance(in_force, dict):
        return
    version, known = new.get("version"), in_force.get("version")
    if not isinstance(version, int) or not isinstance(known, int):
        return
    if new == in_force:
        return
    if version < known:
        yield error(
            "version",
            f"is {version}, below {known} in force, so that routers ignore the "
            f"configuration",
        )
    elif version == known:
        yield warning("version", f"is {version} as in force")


def compare(new: Any, in_force: Any, place: str = "") -> Iterator[Finding]:
    """Yields the differences of a value and its version in force.

    Args:
        new: New value.
        in_force: Value in force.
        place: Path of the value; empty for the document.
    """
    if type(new) is not type(in_force):
        yield _changed(new, in_force, place)
    elif isinstance(new, dict):
        for name in sorted({*new, *in_force}):
            inner = f"{place}.{name}" if place else str(name)
            yield from _compare_entry(new, in_force, name, inner)
    elif isinstance(new, list):
        yield from _compare_lists(new, in_force, place)
    elif new != in_force:
        yield _changed(new, in_force, place)


def _changed(new: Any, in_force: Any, place: str) -> Finding:
    """Returns that a value has changed."""
    return difference(
        place or "(document)", f"{_show(in_force)} becomes {_show(new)}"
    )


def _compare_entry(
    new: dict[Any, Any], in_force: dict[Any, Any], name: Any, place: str
) -> Iterator[Finding]:
    """Yields the differences of one field of two objects."""
    if name in _SECRET_FIELDS:
        yield from _compare_secrets(
            new.get(name, []), in_force.get(name, []), place
        )
    elif name not in in_force:
        yield difference(place, f"is new: {_show(new[name])}")
    elif name not in new:
        yield difference(place, f"is removed: {_show(in_force[name])}")
    else:
        yield from compare(new[name], in_force[name], place)


def _compare_secrets(new: Any, in_force: Any, place: str) -> Iterator[Finding]:
    """Yields how many secrets are new or removed."""
    if not isinstance(new, list) or not isinstance(in_force, list):
        yield difference(place, "differs")
        return
    added = sum(value not in in_force for value in new)
    removed = sum(value not in new for value in in_force)
    if added or removed:
        yield difference(place, f"{added} new and {removed} removed keys")


def _compare_lists(
    new: list[Any], in_force: list[Any], place: str
) -> Iterator[Finding]:
    """Yields the differences of two lists, by name if all entries have one."""
    for field in _NAME_FIELDS:
        new_by_name = _by_name(new, field)
        in_force_by_name = _by_name(in_force, field)
        if new_by_name is None or in_force_by_name is None:
            continue
        for name, entry in in_force_by_name.items():
            inner = f"{place}[{name}]"
            if name in new_by_name:
                yield from compare(new_by_name[name], entry, inner)
            else:
                yield difference(inner, f"is removed: {_show(entry)}")
        for name, entry in new_by_name.items():
            if name not in in_force_by_name:
                yield difference(f"{place}[{name}]", f"is new: {_show(entry)}")
        return
    if new != in_force:
        yield _changed(new, in_force, place)


def _by_name(entries: list[Any], field: str) -> dict[str, Any] | None:
    """Returns the entries by name; None if they don't have different names."""
    by_name: dict[str, Any] = {}
    for entry in entries:
        name = entry.get(field) if isinstance(entry, dict) else None
        if not isinstance(name, str) or name in by_name:
            return None
        by_name[name] = entry
    return by_name


def _show(value: Any) -> str:
    """Returns a value as JSON, shortened and without secrets."""
    text = json.dumps(_without_secrets(value), sort_keys=True, default=str)
    if len(text) <= _MAX_SHOWN_LENGTH:
        return text
    return text[: _MAX_SHOWN_LENGTH - 3] + "..."


def _without_secrets(value: Any) -> Any:
    """Returns a value in which lists of secrets are replaced by their sizes."""
    if isinstance(value, list):
        return [_without_secrets(entry) for entry in value]
    if not isinstance(value, dict):
        return value
    return {
        name: f"{len(entry)} keys"
        if name in _SECRET_FIELDS and isinstance(entry, list)
        else _without_secrets(entry)
        for name, entry in value.items()
    }
