"""Entries of runners that another writer left in the store."""

from __future__ import annotations

import json
from typing import Any

# A valid entry of a plain runner; nothing listens at its address.
RUNNER_FIELDS: dict[str, Any] = {
    "service": "stock",
    "address": "127.0.0.1:9",
    "zone": "south",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 7,
}

MANY_DIGITS = "9" * 400

# More digits than Python converts.
TOO_MANY_DIGITS = "9" * 5_000

_MARKER = "the odd value"


def raw_entry(field: str, value: str | bytes) -> bytes:
    """Returns the JSON of a valid entry with one odd field.

    Args:
        field: Name of the field.
        value: JSON of its value, or bytes that are no JSON.
    """
    text = json.dumps({**RUNNER_FIELDS, field: _MARKER}).encode()
    odd = value.encode() if isinstance(value, str) else value
    return text.replace(f'"{_MARKER}"'.encode(), odd)


def _nested(opening: str, closing: str, depth: int) -> str:
    return opening * depth + "1" + closing * depth


def odd_entries() -> dict[str, bytes]:
    """Returns entries that name no runner to use, by what is odd in them."""
    odd_values = {
        "nested deeply": ("sequence", _nested("[", "]", 50_000)),
        "objects nested deeply": ("models", _nested('{"a":', "}", 50_000)),
        "nested somewhat deeply": ("models", _nested("[", "]", 800)),
        "too many digits": ("sequence", TOO_MANY_DIGITS),
        "cold time of too many digits": ("coldRemainingMs", TOO_MANY_DIGITS),
        "cold time of many digits": ("coldRemainingMs", MANY_DIGITS),
        "negative cold time": ("coldRemainingMs", "-5"),
        "cold time that is no number": ("coldRemainingMs", "NaN"),
        "infinite cold time": ("coldRemainingMs", "Infinity"),
        "infinite cold time by exponent": ("coldRemainingMs", "1e999"),
        "cold time as text": ("coldRemainingMs", '"5"'),
        "cold time as a truth value": ("coldRemainingMs", "true"),
        "huge start time": ("born", MANY_DIGITS),
        "negative start time": ("born", "-1"),
        "start time as a truth value": ("born", "true"),
        "no slots": ("slots", "0"),
        "negative slots": ("slots", "-1"),
        "fraction of slots": ("slots", "1e300"),
        "huge slots": ("slots", MANY_DIGITS),
        "slots as a truth value": ("slots", "true"),
        "port out of range": ("address", '"127.0.0.1:70000"'),
        "port zero": ("address", '"127.0.0.1:0"'),
        "port of many digits": ("address", f'"127.0.0.1:{MANY_DIGITS}"'),
        "port of too many digits": ("address", f'"1.2.3.4:{TOO_MANY_DIGITS}"'),
        "superscript port": ("address", '"127.0.0.1:\\u00b2"'),
        "port of other digits": ("address", '"127.0.0.1:\\u0668\\u0660"'),
        "port with a sign": ("address", '"127.0.0.1:+80"'),
        "line break in the host": ("address", '"127.0.0.1\\r\\nX: y:80"'),
        "space in the host": ("address", '"127.0.0.1 :80"'),
        "null character in the host": ("address", '"127.0.0.1\\u0000:80"'),
        "name as the host": ("address", '"localhost:80"'),
        "path in the host": ("address", '"1.2.3.4/x:80"'),
        "lone surrogate in the host": ("address", '"\\ud800:80"'),
        "lone surrogate in the data centre": ("zone", '"\\ud800"'),
        "lone surrogate in the service": ("service", '"stock\\udfff"'),
        "line break in the data centre": ("zone", '"a\\nb"'),
        "empty service": ("service", '""'),
        "bytes that are no text": ("version", b'"\xff\xfe\x80"'),
        "raw line break": ("version", b'"a\nb"'),
        "word": ("version", b"nil"),
        "domain as a number": ("domain", "7"),
        "staged models as text": ("staged", '"small"'),
        "lone surrogate in a staged model": ("staged", '["\\ud800"]'),
        "models as an object": ("models", '{"name": "small"}'),
        "model without a name": ("models", '[{"version": 1}]'),
        "group as a list": ("group", '["g1"]'),
        "huge epoch": (
            "group",
            f'{{"name":"g","epoch":{MANY_DIGITS},"rank":0,"state":"open"}}',
        ),
        "negative rank": (
            "group",
            '{"name":"g","epoch":1,"rank":-1,"state":"open"}',
        ),
        "epoch as a truth value": (
            "group",
            '{"name":"g","epoch":true,"rank":0,"state":"open"}',
        ),
    }
    entries = {
        reason: raw_entry(field, value)
        for reason, (field, value) in odd_values.items()
    }
    entries["null"] = b"null"
    entries["list"] = b"[1, 2]"
    entries["text"] = b'"i-1"'
    entries["number of too many digits"] = TOO_MANY_DIGITS.encode()
    entries["only nested"] = _nested("[", "]", 50_000).encode()
    return entries


def odd_objects() -> list[bytes]:
    """Returns contents of routers' own objects, with odd values."""
    record = (
        b'{"node":"r","incarnation":"a","address":"127.0.0.99:1",'
        b'"renewals":%s,"given_up":false}'
    )
    return [
        b"null",
        b"[]",
        b'"text"',
        _nested("[", "]", 50_000).encode(),
        TOO_MANY_DIGITS.encode(),
        record % b"1e999",
        record % b"NaN",
        record % MANY_DIGITS.encode(),
        record % b"[]",
        b'{"ip":"127.0.0.1\\u0000","incarnation":"a","data_centre":"south"}',
        b'{"ip":"\\ud800","incarnation":"a","data_centre":"south"}',
        b'{"ip":"nowhere","incarnation":"a","data_centre":7}',
        b'{"ip":7,"incarnation":"a","data_centre":"\xff"}',
    ]
