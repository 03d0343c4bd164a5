"""Checks of decoded values that others wrote.

The functions named `require_` raise ValueError if a value is not of the
expected form.
"""

from __future__ import annotations

import functools
import ipaddress
import re
import reprlib
from typing import Any

# Largest integer that is accepted by default: that of a signed 64-bit number.
MAX_INTEGER = 2**63 - 1

# Longest text that is accepted.
MAX_TEXT_LENGTH = 1_024

# Most levels of an object of the store that is kept. Deeper ones might be
# decoded here, and then not be encoded for another router.
MAX_OBJECT_LEVELS = 32

# Types of decoded values that contain others.
_CONTAINERS = (dict, list)

# Control characters, and surrogates, which can't be encoded.
_INVALID_CHARACTERS = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")

# Most digits of an integer in a text.
MAX_DIGITS = 18

_PORT = re.compile("[0-9]{1,5}")

MAX_PORT = 65_535

_MAX_IP_LENGTH = 64

# Addresses whose check is remembered: messages name the same ones repeatedly.
_MAX_CACHED_ADDRESSES = 4_096


def shorten(value: Any) -> str:
    """Returns a value as a short text for messages and logs."""
    try:
        return reprlib.repr(value)
    except (ValueError, RecursionError):
        # Python doesn't convert integers of thousands of digits.
        return f"<{type(value).__name__}>"


def is_nested_deeper(value: Any, levels: int) -> bool:
    """Returns whether a decoded value has more levels than the given number."""
    containers = [value] if type(value) in _CONTAINERS else []
    for _ in range(levels):
        containers = [
            child
            for container in containers
            for child in (
                container.values() if type(container) is dict else container
            )
            if type(child) in _CONTAINERS
        ]
        if not containers:
            return False
    return bool(containers)


def require_str(value: Any) -> str:
    """Returns the value if it is a text without control characters."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"got {shorten(value)}, expected a short string")
    if _INVALID_CHARACTERS.search(value) is not None:
        raise ValueError(f"got invalid characters in {shorten(value)}")
    return value


def require_name(value: Any) -> str:
    """Returns the value if it is a text as `require_str`, and not empty."""
    name = require_str(value)
    if not name:
        raise ValueError("got an empty string, expected a name")
    return name


def is_int(value: Any, *, minimum: int = 0, maximum: int = MAX_INTEGER) -> bool:
    """Returns whether a value is an integer in a range."""
    # A truth value is an instance of `int` too.
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return minimum <= value <= maximum


def require_int(
    value: Any, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Returns the value if it is an integer in a range."""
    if not is_int(value, minimum=minimum, maximum=maximum):
        raise ValueError(
            f"got {shorten(value)}, expected an integer "
            f"from {minimum} to {maximum}"
        )
    return int(value)


def parse_unsigned(text: str | bytes) -> int | None:
    """Returns the integer that a text of ASCII digits stands for.

    None if the text is not one, or has more than `MAX_DIGITS` digits.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def is_number(value: Any, *, maximum: float) -> bool:
    """Returns whether a value is a number from 0 to a maximum, not NaN."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return 0 <= value <= maximum


def require_number(value: Any, *, maximum: float) -> float:
    """Returns the value if it is a finite number from 0 to a maximum."""
    if not is_number(value, maximum=maximum):
        raise ValueError(
            f"got {shorten(value)}, expected a number from 0 to {maximum}"
        )
    return float(value)


def require_bool(value: Any) -> bool:
    """Returns the value if it is True or False."""
    if not isinstance(value, bool):
        raise ValueError(f"got {shorten(value)}, expected true or false")
    return value


@functools.lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _is_ip_text(text: str) -> bool:
    """Returns whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    # The scope of an IPv6 address may have any characters.
    return "%" not in text


def is_ip(value: Any) -> bool:
    """Returns whether a value is the text of an IPv4 or IPv6 address."""
    return (
        isinstance(value, str)
        and len(value) <= _MAX_IP_LENGTH
        and _is_ip_text(value)
    )


def require_ip(value: Any) -> str:
    """Returns the value if it is the text of an IPv4 or IPv6 address."""
    if not is_ip(value):
        raise ValueError(f"got {shorten(value)}, expected an IP address")
    return str(value)


def require_address(value: Any) -> str:
    """Returns the value if it is "HOST:PORT" with an IP address as the host.

    The host of an IPv6 address is in brackets.
    """
    address = require_str(value)
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(f"got no brackets around {shorten(host)}")
    require_ip(host)
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"got port {shorten(port)}, expected 1 to {MAX_PORT}")
    return address
