"""The message that routers send one another many times a second."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Name and version of the message; others are left out.
FORM = 3

# Messages longer than this are compressed: one packet needs no less.
PLAIN_BYTES = 1_200

# Compression of messages: a quick level, since they are sent all the time.
PACKING_LEVEL = 1

# Longest message once it is unpacked.
MOST_BEAT_BYTES = 1_048_576

# First byte of a message that is not compressed.
_PLAIN_START = b"{"

# Types of the fields; a message with others is left out whole.
_FIELD_TYPES: dict[str, type | tuple[type, ...]] = {
    "node": str,
    "incarnation": str,
    "ip": str,
    "data_centre": str,
    "capacity": int,
    "revisions": dict,
    "loads": dict,
    "failing": list,
    "silent": list,
    "stalled": dict,
    "losses": dict,
    "waiting": dict,
    "retries": dict,
    "demand": dict,
    "known": list,
    "opening": dict,
    "claims": dict,
    "resigned": dict,
    "watches": bool,
    "store_sight": int,
    "store_sight_age_ms": int,
    "asks_for_store": bool,
    "scope": str,
    "routers": int,
    "fleet": int,
    "relays": dict,
    "successor": str,
    "changes": dict,
    "stopping": bool,
}


def _is_count(value: Any) -> bool:
    return isinstance(value, int)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float)


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _are_texts(value: Any) -> bool:
    return isinstance(value, list) and all(map(_is_text, value))


def _are_two_counts(value: Any) -> bool:
    return len(value) == 2 and all(map(_is_count, value))


def _is_claim(value: Any) -> bool:
    return (
        len(value) == 3
        and _is_text(value[0])
        and _is_count(value[1])
        and _is_count(value[2])
    )


def _are_counts(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_count, value.values()))


# What the values of mappings are; keys are texts by the form of the message.
_VALUE_CHECKS: dict[str, Callable[[Any], bool]] = {
    "revisions": _is_count,
    "loads": _is_count,
    "stalled": _is_count,
    "losses": _are_texts,
    "waiting": _is_count,
    "retries": _are_two_counts,
    "demand": _is_number,
    "opening": _is_count,
    "claims": _is_claim,
    "resigned": _are_counts,
    "relays": _is_text,
}

# Lists of addresses or ids.
_TEXT_LISTS = ("failing", "silent", "known")

# Whom a message speaks for: its sender, the routers of its data centre, or all.
SCOPE_ROUTER = "router"
SCOPE_DATA_CENTRE = "data_centre"
SCOPE_FLEET = "fleet"
_SCOPES = frozenset({SCOPE_ROUTER, SCOPE_DATA_CENTRE, SCOPE_FLEET})


class Beat:
    """What one router tells others, of itself or of all it hears.

    Attributes:
        node: Router that sends it.
        incarnation: Process of that router.
        ip: Address of its VM.
        data_centre: Data centre of its VM.
        capacity: Fitness of its VM for duties; 0 if it should have none.
        revisions: Revision of each of its feeds, by collection.
        loads: Requests in hand by runner.
        failing: Runners that failed its requests.
        silent: Runners that it could not reach.
        stalled: Heads on which streams stand still, with their age in
            milliseconds.
        losses: Runners lost with one request in hand, by fingerprint.
        waiting: Requests that wait in it, by model; by service where that
            has no models.
        retries: First sendings and repeats in the window of the bound on
            repeats, by service.
        demand: Slots that its arrivals keep busy, by model.
        known: Addresses of some routers of its data centre, those fittest for
            duties first.
        opening: Time until the next group of a model opens, in
            milliseconds.
        claims: Owner, renewals and milliseconds left of the lease, by duty.
        resigned: Revision up to which a process has handed a duty over, by
            process and duty.
        watches: Whether who hears this need not watch the store itself.
        store_sight: What it lately saw of the store.
        store_sight_age_ms: How long ago.
        asks_for_store: Whether it wants to know what others see of it.
        scope: Whom the message speaks for.
        routers: Routers that it speaks for.
        fleet: Routers that its sender believes alive.
        relays: Address of the relay of each data centre.
        successor: Address of the router that relays after this one; empty
            if this one does not relay.
        changes: What lately changed in collections, for those who keep up.
        stopping: Whether it is about to end.
    """

    __slots__ = tuple(_FIELD_TYPES)

    node: str
    incarnation: str
    ip: str
    data_centre: str
    capacity: int
    revisions: dict[str, int]
    loads: dict[str, int]
    failing: list[str]
    silent: list[str]
    stalled: dict[str, int]
    losses: dict[str, list[str]]
    waiting: dict[str, int]
    retries: dict[str, tuple[int, int]]
    demand: dict[str, float]
    known: list[str]
    opening: dict[str, int]
    claims: dict[str, tuple[str, int, int]]
    resigned: dict[str, dict[str, int]]
    watches: bool
    store_sight: int
    store_sight_age_ms: int
    asks_for_store: bool
    scope: str
    routers: int
    fleet: int
    relays: dict[str, str]
    successor: str
    changes: dict[str, Any]
    stopping: bool

    def __init__(self, **fields: Any) -> None:
        """Takes the fields by name.

        Raises:
            ValueError: If one is missing, unknown or of another type.
        """
        if fields.keys() != _FIELD_TYPES.keys():
            differing = sorted(fields.keys() ^ _FIELD_TYPES.keys())
            raise ValueError(f"got missing or unknown fields {differing}")
        for name, kind in _FIELD_TYPES.items():
            value = fields[name]
            if not isinstance(value, kind):
                raise ValueError(f"got {value!r} for {name}, allowed is {kind}")
            setattr(self, name, value)
        self._check_values()

    def _check_values(self) -> None:
        """Checks what lies within the fields: other parts rely on it."""
        if self.scope not in _SCOPES:
            raise ValueError(f"got scope {self.scope!r}, allowed are {_SCOPES}")
        for name in _TEXT_LISTS:
            if not _are_texts(getattr(self, name)):
                raise ValueError(f"got no list of texts for {name}")
        for name, check in _VALUE_CHECKS.items():
            for value in getattr(self, name).values():
                try:
                    fits = check(value)
                except TypeError:
                    fits = False
                if not fits:
                    raise ValueError(f"got {value!r} within {name}")

    @property
    def is_sum(self) -> bool:
        """Returns whether it speaks for more than its sender."""
        return self.scope != SCOPE_ROUTER

    def to_bytes(self) -> bytes:
        """Returns the datagram."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields["form"] = FORM
        plain = json.dumps(fields, separators=(",", ":")).encode()
        if len(plain) <= PLAIN_BYTES:
            return plain
        return zlib.compress(plain, PACKING_LEVEL)

    @classmethod
    def from_bytes(cls, data: bytes) -> Beat:
        """Reads a datagram.

        Raises:
            ValueError: If it is no such message.
        """
        fields: Any = json.loads(_unpack(data))
        if not isinstance(fields, dict) or fields.pop("form", None) != FORM:
            raise ValueError(f"got {data[:40]!r}, allowed is form {FORM}")
        return cls(**fields)


def _unpack(data: bytes) -> bytes:
    """Returns the plain text of a message, bounded in length."""
    if data[:1] == _PLAIN_START:
        return data
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MOST_BEAT_BYTES)
    except zlib.error as error:
        raise ValueError(f"got {data[:40]!r}: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError(f"got a message of over {MOST_BEAT_BYTES} bytes")
    return plain
