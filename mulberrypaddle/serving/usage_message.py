"""Datagrams with the sums and clocks of routers, and the holder's answers.

Each is one JSON object, compressed if it is long.
"""

from __future__ import annotations

from typing import Any

from mulberrypaddle.core.value_checks import (
    is_ip,
    parse_unsigned,
    require_bool,
    require_int,
    require_name,
    require_number,
    shorten,
)
from mulberrypaddle.duties.usage_counter import MAX_ORGANISATIONS
from mulberrypaddle.duties.usage_record import MAX_COUNT, MAX_WINDOW
from mulberrypaddle.serving.datagram import decode_datagram, encode_datagram
from mulberrypaddle.serving.store_era import MAX_ERA

# Version of the message format; messages of other versions are rejected.
FORMAT_VERSION = 1

# Most windows in a message, and its greatest length after decompression.
MAX_WINDOWS = 24
MAX_MESSAGE_BYTES = 262_144

# Greatest time accepted: that of a clock which is centuries ahead.
MAX_SECONDS = 1e11


class Echo:
    """What a message repeats of the last answer, to measure the round trip.

    Attributes:
        incarnation: Id of the process that answered.
        answered_at_seconds: Steady time of that process at its answer.
        age_seconds: Time from the arrival of the answer until the message.
    """

    __slots__ = ("age_seconds", "answered_at_seconds", "incarnation")

    def __init__(
        self,
        incarnation: str,
        *,
        answered_at_seconds: float,
        age_seconds: float,
    ) -> None:
        self.incarnation = incarnation
        self.answered_at_seconds = answered_at_seconds
        self.age_seconds = age_seconds

    def to_value(self) -> list[Any]:
        """Returns the value that stands for it in a message."""
        return [self.incarnation, self.answered_at_seconds, self.age_seconds]

    @classmethod
    def from_value(cls, value: Any) -> Echo | None:
        """Decodes it; returns None for None.

        Raises:
            ValueError: If it has another form.
        """
        if value is None:
            return None
        if not isinstance(value, list) or len(value) != 3:
            raise ValueError(f"got {shorten(value)}, expected an echo")
        return cls(
            require_name(value[0]),
            answered_at_seconds=_require_seconds(value[1]),
            age_seconds=_require_seconds(value[2]),
        )


class UsageMessage:
    """Clocks and sums of one process, sent by itself or passed on.

    Attributes:
        node: Name of its VM.
        incarnation: Id of the process.
        is_own: Whether the process itself sends it. Messages that are passed on
            carry no clocks.
        sent_at_seconds: Steady time of the sender, which the answer repeats.
        wall_seconds: Wall clock of the sender.
        agreed_seconds: The agreed time as the sender knows it; None if it
            doesn't.
        echo: What it repeats of the last answer; None before the first.
        change_number: Number of the state of the sums, which the answer
            repeats.
        started_at_seconds: Agreed time at which the process started; None if
            it has no agreed time, and then no sums either.
        first_start: Whether it started together with the whole deployment.
        windows: Sums by window and organisation.
    """

    __slots__ = (
        "agreed_seconds",
        "change_number",
        "echo",
        "first_start",
        "incarnation",
        "is_own",
        "node",
        "sent_at_seconds",
        "started_at_seconds",
        "wall_seconds",
        "windows",
    )

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        is_own: bool,
        sent_at_seconds: float,
        wall_seconds: float,
        agreed_seconds: float | None,
        echo: Echo | None,
        change_number: int,
        started_at_seconds: float | None,
        first_start: bool,
        windows: dict[int, dict[str, int]],
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.is_own = is_own
        self.sent_at_seconds = sent_at_seconds
        self.wall_seconds = wall_seconds
        self.agreed_seconds = agreed_seconds
        self.echo = echo
        self.change_number = change_number
        self.started_at_seconds = started_at_seconds
        self.first_start = first_start
        self.windows = windows

    def to_bytes(self) -> bytes:
        """Encodes the message as a datagram."""
        organisations = sorted(
            {name for counts in self.windows.values() for name in counts}
        )
        return encode_datagram(
            {
                "form": FORMAT_VERSION,
                "node": self.node,
                "incarnation": self.incarnation,
                "own": self.is_own,
                "sent": self.sent_at_seconds,
                "wall": self.wall_seconds,
                "agreed": self.agreed_seconds,
                "echo": None if self.echo is None else self.echo.to_value(),
                "change": self.change_number,
                "started": self.started_at_seconds,
                "first": self.first_start,
                # Names are sent once, not for each window.
                "organisations": organisations,
                "windows": {
                    str(window): [counts.get(name, 0) for name in organisations]
                    for window, counts in self.windows.items()
                },
            }
        )

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> UsageMessage:
        """Decodes the fields of a message.

        Raises:
            LookupError: If one is missing.
            ValueError: If one has another form.
        """
        return cls(
            node=require_name(fields["node"]),
            incarnation=require_name(fields["incarnation"]),
            is_own=require_bool(fields["own"]),
            sent_at_seconds=_require_seconds(fields["sent"]),
            wall_seconds=_require_seconds(fields["wall"]),
            agreed_seconds=_optional_seconds(fields["agreed"]),
            echo=Echo.from_value(fields["echo"]),
            change_number=require_int(fields["change"]),
            started_at_seconds=_optional_seconds(fields["started"]),
            first_start=require_bool(fields["first"]),
            windows=_require_windows(
                fields["organisations"], fields["windows"]
            ),
        )


class UsageAnswer:
    """Answer of the holder to a message.

    Attributes:
        incarnation: Id of the holder's process.
        receiver: Id of the process that is answered.
        sent_at_seconds: Steady time of the receiver, from its message.
        answered_at_seconds: Steady time of the holder.
        change_number: Number of the state of the sums in its message.
        agreed_seconds: The agreed time; None while the holder doesn't know it.
        stepped_seconds: Time since the agreed time stepped; None if it never
            has. Builds before this field leave it out.
        era: Latest known era of the store; 0 if unknown.
        backup_ip: Address of the router that keeps the sums too, in case the
            holder fails; empty if there is none.
    """

    __slots__ = (
        "agreed_seconds",
        "answered_at_seconds",
        "backup_ip",
        "change_number",
        "era",
        "incarnation",
        "receiver",
        "sent_at_seconds",
        "stepped_seconds",
    )

    def __init__(
        self,
        *,
        incarnation: str,
        receiver: str,
        sent_at_seconds: float,
        answered_at_seconds: float,
        change_number: int,
        agreed_seconds: float | None,
        stepped_seconds: float | None = None,
        era: int,
        backup_ip: str,
    ) -> None:
        self.incarnation = incarnation
        self.receiver = receiver
        self.sent_at_seconds = sent_at_seconds
        self.answered_at_seconds = answered_at_seconds
        self.change_number = change_number
        self.agreed_seconds = agreed_seconds
        self.stepped_seconds = stepped_seconds
        self.era = era
        self.backup_ip = backup_ip

    def to_bytes(self) -> bytes:
        """Encodes the answer as a datagram."""
        return encode_datagram(
            {
                "form": FORMAT_VERSION,
                "incarnation": self.incarnation,
                "receiver": self.receiver,
                "sent": self.sent_at_seconds,
                "answered": self.answered_at_seconds,
                "change": self.change_number,
                "agreed": self.agreed_seconds,
                "stepped": self.stepped_seconds,
                "era": self.era,
                "backup": self.backup_ip,
            }
        )

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> UsageAnswer:
        """Decodes the fields of an answer.

        Raises:
            LookupError: If one is missing.
            ValueError: If one has another form.
        """
        backup_ip = fields["backup"]
        return cls(
            incarnation=require_name(fields["incarnation"]),
            receiver=require_name(fields["receiver"]),
            sent_at_seconds=_require_seconds(fields["sent"]),
            answered_at_seconds=_require_seconds(fields["answered"]),
            change_number=require_int(fields["change"]),
            agreed_seconds=_optional_seconds(fields["agreed"]),
            stepped_seconds=_optional_seconds(fields.get("stepped")),
            era=require_int(fields["era"], maximum=MAX_ERA),
            backup_ip=backup_ip if is_ip(backup_ip) else "",
        )


def decode_message(data: bytes) -> UsageMessage | UsageAnswer:
    """Decodes a datagram.

    Raises:
        ValueError: If it is no valid message of this format version.
    """
    fields = decode_datagram(
        data, version=FORMAT_VERSION, max_bytes=MAX_MESSAGE_BYTES
    )
    try:
        if "receiver" in fields:
            return UsageAnswer.from_fields(fields)
        return UsageMessage.from_fields(fields)
    except LookupError as error:
        raise ValueError(f"missing field: {error}") from error


def _require_seconds(value: Any) -> float:
    """Returns the value if it is a time."""
    return require_number(value, maximum=MAX_SECONDS)


def _optional_seconds(value: Any) -> float | None:
    """Returns the value if it is a time or None."""
    return None if value is None else _require_seconds(value)


def _require_windows(
    organisations: Any, windows: Any
) -> dict[int, dict[str, int]]:
    """Returns the sums by window and organisation.

    Args:
        organisations: Names of the organisations, in the order of the counts.
        windows: Counts of each organisation by window.

    Raises:
        ValueError: If they have another form or are too many.
    """
    if (
        not isinstance(organisations, list)
        or len(organisations) > MAX_ORGANISATIONS
        or not isinstance(windows, dict)
        or len(windows) > MAX_WINDOWS
    ):
        raise ValueError("got too many sums, or sums of another form")
    names = [require_name(name) for name in organisations]
    sums = {}
    for text, counts in windows.items():
        if not isinstance(counts, list) or len(counts) != len(names):
            raise ValueError(f"got {shorten(counts)}, expected a list of sums")
        window = require_int(_parse_window(text), maximum=MAX_WINDOW)
        sums[window] = {
            name: require_int(count, maximum=MAX_COUNT)
            for name, count in zip(names, counts, strict=True)
            if count
        }
    return sums


def _parse_window(text: str) -> int:
    """Returns the number of a window, which is a key of the message.

    Raises:
        ValueError: If it is no number.
    """
    number = parse_unsigned(text)
    if number is None:
        raise ValueError(f"got window {shorten(text)}")
    return number
