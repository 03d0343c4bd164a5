"""Decodes JSON documents of which some values can't be read."""

from __future__ import annotations

import json
import re
from typing import Any

_DECODER = json.JSONDecoder()

_WHITESPACE = re.compile(r"[ \t\n\r]*+")

# The quantifiers are possessive: a part that has matched is not tried again.
_STRING = re.compile(r'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_SCALAR = re.compile(r"[^\s,\[\]{}]++")

# Brackets that follow each other, behind any strings and other characters. It
# matches everywhere, without brackets at the end of a text, so that a search
# takes linear time.
_BRACKETS = re.compile(
    rf"""(?:[^\[\]{{}}"]++|{_STRING.pattern})*+([\[{{]++|[\]}}]++)?""",
    re.DOTALL,
)

# Code points that stand for bytes that are no UTF-8.
_UNDECODED = re.compile("[\udc80-\udcff]")


def decode(body: bytes, *, levels: int) -> Any:
    """Decodes a document; values that can't be read are None.

    A value can't be read if it is nested too deeply, has a number of too many
    digits, or is no valid JSON in UTF-8.

    Args:
        body: The document.
        levels: Number of levels of objects and arrays of which the values are
            read one by one if the document can't be decoded as a whole. A value
            below them is None if any part of it can't be read.

    Raises:
        ValueError: If a value can't be told from those that follow it.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        text = body.decode(errors="surrogateescape")
    value, end = _read(text, _skip_whitespace(text, 0), levels)
    if _skip_whitespace(text, end) != len(text):
        raise ValueError(f"got text after the document, at {end}")
    return value


def _read(text: str, start: int, levels: int) -> tuple[Any, int]:
    """Reads the value at an offset.

    Returns:
        The value, and the offset after it.

    Raises:
        ValueError: If the end of the value can't be found.
    """
    # The levels above the last one were found unreadable as a whole.
    if levels <= 1:
        try:
            value, end = _DECODER.raw_decode(text, start)
        except (ValueError, RecursionError):
            pass
        else:
            if _UNDECODED.search(text, start, end) is None:
                return value, end
    if levels > 0:
        try:
            if text.startswith("{", start):
                return _read_object(text, start, levels - 1)
            if text.startswith("[", start):
                return _read_array(text, start, levels - 1)
            if levels > 1:
                return _read(text, start, 0)
        except ValueError:
            pass
    return None, _skip_value(text, start)


def _read_object(
    text: str, start: int, levels: int
) -> tuple[dict[str, Any], int]:
    """Reads the object that starts at an offset, value by value."""
    members: dict[str, Any] = {}
    at = _skip_whitespace(text, start + 1)
    if text.startswith("}", at):
        return members, at + 1
    while True:
        if not text.startswith('"', at):
            raise ValueError(f"expected a key at {at}")
        key, at = _DECODER.raw_decode(text, at)
        at = _expect(text, at, ":")
        members[key], at = _read(text, _skip_whitespace(text, at), levels)
        at = _skip_whitespace(text, at)
        if text.startswith("}", at):
            return members, at + 1
        at = _skip_whitespace(text, _expect(text, at, ","))


def _read_array(text: str, start: int, levels: int) -> tuple[list[Any], int]:
    """Reads the array that starts at an offset, value by value."""
    values: list[Any] = []
    at = _skip_whitespace(text, start + 1)
    if text.startswith("]", at):
        return values, at + 1
    while True:
        value, at = _read(text, at, levels)
        values.append(value)
        at = _skip_whitespace(text, at)
        if text.startswith("]", at):
            return values, at + 1
        at = _skip_whitespace(text, _expect(text, at, ","))


def _expect(text: str, at: int, character: str) -> int:
    """Returns the offset after a character that may follow white space.

    Raises:
        ValueError: If another character follows.
    """
    at = _skip_whitespace(text, at)
    if not text.startswith(character, at):
        raise ValueError(f"expected {character!r} at {at}")
    return at + 1


def _skip_whitespace(text: str, at: int) -> int:
    """Returns the offset of the first character that is no white space."""
    match = _WHITESPACE.match(text, at)
    assert match is not None
    return match.end()


def _skip_value(text: str, start: int) -> int:
    """Returns the offset after a value that can't be decoded.

    Raises:
        ValueError: If no value starts here, or if it does not end.
    """
    for pattern in (_STRING, _SCALAR):
        match = pattern.match(text, start)
        if match is not None:
            return match.end()
    if text[start : start + 1] not in ("[", "{"):
        raise ValueError(f"no value starts at {start}")
    depth = 0
    for match in _BRACKETS.finditer(text, start):
        if match.group(1) is None:
            break
        count = match.end() - match.start(1)
        if match.group(1)[0] in "[{":
            depth += count
        elif count < depth:
            depth -= count
        else:
            return match.start(1) + depth
    raise ValueError(f"the value at {start} does not end")
