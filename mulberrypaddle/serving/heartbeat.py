"""The heartbeat that routers send one another several times a second.

A heartbeat is one datagram of JSON, compressed if it is long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.core.value_checks import (
    MAX_INTEGER,
    is_int,
    is_ip,
    is_number,
    require_int,
    require_ip,
    require_name,
    shorten,
)
from mulberrypaddle.serving.datagram import decode_datagram, encode_datagram

if TYPE_CHECKING:
    from collections.abc import Callable

# Version of the message format; messages of other versions are rejected.
FORMAT_VERSION = 3

# Longest accepted message after decompression.
MAX_HEARTBEAT_BYTES = 1_048_576

# Types of the fields; a message with a missing, unknown or mistyped field is
# rejected as a whole.
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
    "crashes": dict,
    "cleared": dict,
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
    "leaving": dict,
    "versions": dict,
    "ages": dict,
}


# Most routers that a message may cover, and highest counts that it may have.
MAX_ROUTERS = 100_000
MAX_COUNT = 1_000_000_000


def _is_count(value: Any) -> bool:
    return is_int(value, maximum=MAX_COUNT)


def _is_milliseconds(value: Any) -> bool:
    """Returns whether a value is a time, which may lie in the past."""
    return is_int(value, minimum=-MAX_INTEGER)


def _is_slots(value: Any) -> bool:
    return is_number(value, maximum=MAX_COUNT)


def _is_str(value: Any) -> bool:
    return isinstance(value, str)


def _is_str_list(value: Any) -> bool:
    return isinstance(value, list) and all(map(_is_str, value))


def _has_length(value: Any, length: int) -> bool:
    """Returns whether a value is a list or a tuple of some length."""
    return isinstance(value, list | tuple) and len(value) == length


def _is_count_pair(value: Any) -> bool:
    return _has_length(value, 2) and all(map(_is_count, value))


def _is_claim(value: Any) -> bool:
    """Returns whether a value is a claim, as described at `Heartbeat`."""
    return (
        _has_length(value, 3)
        and _is_str(value[0])
        and is_int(value[1])
        and _is_milliseconds(value[2])
    )


def _is_crash(value: Any) -> bool:
    """Returns whether a value is a crash, as described at `Heartbeat`."""
    return (
        _has_length(value, 2)
        and _is_milliseconds(value[0])
        and _is_str_list(value[1])
    )


def _is_age(value: Any) -> bool:
    """Returns whether a value is an age, as described at `Heartbeat`."""
    return _has_length(value, 2) and all(map(is_int, value))


def _is_int_or_none(value: Any) -> bool:
    return value is None or is_int(value)


def _is_int_mapping(value: Any) -> bool:
    return isinstance(value, dict) and all(map(is_int, value.values()))


# Fields that a message leaves out if they are empty, so that routers of earlier
# versions, which do not know them, accept it.
_OPTIONAL_FIELDS = ("crashes", "cleared", "leaving", "versions", "ages")

# Fields that travel as a key of `changes`: earlier versions reject messages
# with unknown fields, but skip unknown collections.
_FIELDS_IN_CHANGES = ("leaving", "versions", "ages")

# Checks for the values of mapping fields; JSON makes all keys strings.
_VALUE_CHECKS: dict[str, Callable[[Any], bool]] = {
    "revisions": is_int,
    "loads": _is_count,
    "stalled": _is_milliseconds,
    "losses": _is_str_list,
    "crashes": _is_crash,
    "cleared": _is_milliseconds,
    "waiting": _is_count,
    "retries": _is_count_pair,
    "demand": _is_slots,
    "opening": _is_milliseconds,
    "claims": _is_claim,
    "resigned": _is_int_mapping,
    "relays": _is_str,
    "leaving": _is_int_or_none,
    "versions": is_int,
    "ages": _is_age,
}

# Fields that are lists of addresses or ids.
_STR_LIST_FIELDS = ("failing", "silent", "known")

# Names, and the address, that a message must have.
_NAME_FIELDS = ("node", "incarnation", "data_centre")

# Ranges of the integer fields.
_RANGES = {
    "capacity": (0, MAX_COUNT),
    "store_sight": (-1, 1),
    "store_sight_age_ms": (-MAX_INTEGER, MAX_INTEGER),
    "routers": (0, MAX_ROUTERS),
    "fleet": (0, MAX_ROUTERS),
}

# Which routers a message covers: its sender, the routers of the sender's data
# centre, or the whole fleet.
SCOPE_ROUTER = "router"
SCOPE_DATA_CENTRE = "data_centre"
SCOPE_FLEET = "fleet"
_SCOPES = frozenset({SCOPE_ROUTER, SCOPE_DATA_CENTRE, SCOPE_FLEET})


class Heartbeat:
    """A heartbeat: the state of one router, or the aggregate of several.

    The field names are the keys of the JSON message.

    Attributes:
        node: Name of the sending router.
        incarnation: Id of the sender's process.
        ip: Address of the sender's VM.
        data_centre: Data centre of the sender's VM.
        capacity: Capacity of the sender's VM for duties, as in its settings;
            0 if the router should hold none.
        revisions: Revision of the last change in each of the sender's feeds,
            by collection.
        loads: Number of in-flight requests, by runner.
        failing: Runners that answered requests with failures.
        silent: Runners that could not be reached.
        stalled: Milliseconds since stalled streams were last observed, by
            group head.
        losses: Runners that were lost while they ran a request, by fingerprint
            of the request; see `CrashRecords.loss_reports`.
        crashes: Runners that crashed when answers began: the milliseconds
            since and the parts of prompts that may be the cause, by
            incarnation of the runner.
        cleared: Milliseconds since the last answer with such a part, or to a
            request with losses, by part or fingerprint.
        waiting: Number of queued requests, by model, or by service if it has no
            models.
        retries: Numbers of first attempts and of retries within the window of
            the retry budget, by service.
        demand: Slots that arriving requests keep busy, by model.
        known: Addresses of some other routers; in a large fleet only of the
            sender's data centre. A digest lists the routers with the most
            capacity for duties first.
        opening: Milliseconds until the next group starts to serve, by model.
        claims: Lease of each duty: the owner's incarnation, the number of its
            record and the milliseconds left.
        resigned: Revision of the lease record up to which a process has
            released a duty, by incarnation and duty.
        watches: Whether the sender watches the store, so that receivers need
            not; in a digest, whether any router does.
        store_sight: Whether the sender reached the store in its last call, as a
            value of `StoreReachability`.
        store_sight_age_ms: Milliseconds since that observation.
        asks_for_store: Whether receivers should check if they can reach the
            store, since the sender's renewals fail.
        scope: Which routers the message covers.
        routers: Number of routers that the message covers.
        fleet: Number of routers that the sender believes alive.
        relays: Address of the relay of each data centre.
        successor: Address of the router that takes over as relay if the
            sender fails; empty if the sender is no relay or knows none.
        changes: Changes of collections since the last digest, by collection,
            for receivers that hold the revision before.
        stopping: Whether the sender is shutting down.
        leaving: Start time in milliseconds, or None, of the runners that
            announced in answers that they are leaving, by runner.
        versions: Highest version in the sender's copy of a collection whose
            objects have versions, by collection.
        ages: Age of the sender's copy in milliseconds and checksum of the copy,
            by collection; see `Feed.age_seconds`. Copies that were never
            confirmed are left out.
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
    crashes: dict[str, tuple[int, list[str]]]
    cleared: dict[str, int]
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
    leaving: dict[str, int | None]
    versions: dict[str, int]
    ages: dict[str, tuple[int, int]]

    def __init__(self, **fields: Any) -> None:
        """Sets all fields from keyword arguments.

        Optional fields are empty by default. Addresses of other routers that
        are no IP addresses are left out.

        Raises:
            ValueError: If a field is missing, unknown, of another type or out
                of range.
        """
        fields = {**{name: {} for name in _OPTIONAL_FIELDS}, **fields}
        if fields.keys() != _FIELD_TYPES.keys():
            differing = sorted(fields.keys() ^ _FIELD_TYPES.keys())
            raise ValueError(f"missing or unknown fields: {differing}")
        for name, expected_type in _FIELD_TYPES.items():
            value = fields[name]
            if not isinstance(value, expected_type):
                raise ValueError(
                    f"got {shorten(value)} for {name}, expected {expected_type}"
                )
            setattr(self, name, value)
        self._check_values()

    def _check_values(self) -> None:
        """Checks the values within fields, since receivers rely on them.

        Raises:
            ValueError: If a value within a field is of another type.
        """
        if self.scope not in _SCOPES:
            raise ValueError(
                f"unknown scope {shorten(self.scope)}, must be in {_SCOPES}"
            )
        for name in _NAME_FIELDS:
            require_name(getattr(self, name))
        require_ip(self.ip)
        for name, (minimum, maximum) in _RANGES.items():
            require_int(getattr(self, name), minimum=minimum, maximum=maximum)
        for name in _STR_LIST_FIELDS:
            if not _is_str_list(getattr(self, name)):
                raise ValueError(f"field must be a list of strings: {name}")
        for name, is_valid in _VALUE_CHECKS.items():
            for value in getattr(self, name).values():
                if not is_valid(value):
                    raise ValueError(
                        f"invalid value {shorten(value)} within the field "
                        f"{name}"
                    )
        self.known = [ip for ip in self.known if is_ip(ip)]
        self.relays = {
            name: ip for name, ip in self.relays.items() if is_ip(ip)
        }
        if not is_ip(self.successor):
            self.successor = ""

    def to_bytes(self) -> bytes:
        """Encodes the message as a datagram."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        for name in _OPTIONAL_FIELDS:
            if not fields[name]:
                del fields[name]
        for name in _FIELDS_IN_CHANGES:
            if name in fields:
                fields["changes"] = {
                    **fields["changes"],
                    name: fields.pop(name),
                }
        fields["form"] = FORMAT_VERSION
        return encode_datagram(fields)

    @classmethod
    def from_bytes(cls, data: bytes) -> Heartbeat:
        """Decodes a datagram.

        Raises:
            ValueError: If it is no valid heartbeat of this format version.
        """
        fields = decode_datagram(
            data, version=FORMAT_VERSION, max_bytes=MAX_HEARTBEAT_BYTES
        )
        changes = fields.get("changes")
        if isinstance(changes, dict):
            for name in _FIELDS_IN_CHANGES:
                if name in changes:
                    fields[name] = changes.pop(name)
        return cls(**fields)
