"""Form in which the store holds the records of requests that crash runners.

Monotonic times mean nothing to another process, so that a record holds ages and
the wall time at which they were taken. Wall clocks of two VMs differ by seconds
and may jump. That shifts all ages of a record alike and by little, compared to
the ten minutes for which losses count: the time between two losses is exact.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from mulberrypaddle.core.value_checks import require_int, require_name, shorten

if TYPE_CHECKING:
    from collections.abc import Mapping

# Version of the form. Content of another version is ignored.
FORMAT = 1

# Most requests and losses of each that are stored: an object of about 40 kB.
MAX_STORED_REQUESTS = 100
MAX_STORED_LOSSES = 5

# Upper limit of a stored number of trials.
_MAX_TRIALS = 1_000

_MS_PER_SECOND = 1_000


class CrashRecord:
    """Losses of runners with one request, with their ages.

    Attributes:
        losses: Age in seconds of each loss, by name of the lost incarnation.
        seen_age_seconds: Time since the request last crashed a runner or was
            refused.
        trials: How often it was let through as a trial.
        tried_age_seconds: Time since the last trial; infinite without any.
    """

    __slots__ = ("losses", "seen_age_seconds", "trials", "tried_age_seconds")

    def __init__(
        self,
        losses: dict[str, float],
        *,
        seen_age_seconds: float,
        trials: int = 0,
        tried_age_seconds: float = math.inf,
    ) -> None:
        self.losses = losses
        self.seen_age_seconds = seen_age_seconds
        self.trials = trials
        self.tried_age_seconds = tried_age_seconds


class DecodedRecords:
    """Records of one object of the store.

    Attributes:
        records: Valid records by fingerprint, with present ages.
        problems: What is wrong with the records that were left out.
    """

    __slots__ = ("problems", "records")

    def __init__(self) -> None:
        self.records: dict[str, CrashRecord] = {}
        self.problems: list[str] = []


def select_records(
    records: Mapping[str, CrashRecord],
) -> dict[str, CrashRecord]:
    """Returns the records to store if there are too many.

    Those with the most losses are kept, of them the ones seen last.
    """
    ranked = sorted(
        records,
        key=lambda key: (
            -min(MAX_STORED_LOSSES, len(records[key].losses)),
            records[key].seen_age_seconds,
        ),
    )
    return {key: records[key] for key in ranked[:MAX_STORED_REQUESTS]}


def encode(
    records: Mapping[str, CrashRecord], *, wall_seconds: float
) -> dict[str, Any]:
    """Returns the value to store.

    Args:
        records: Records by fingerprint.
        wall_seconds: Present wall time, since the start of 1970.
    """
    return {
        "format": FORMAT,
        "writtenAtMs": _to_ms(wall_seconds),
        "requests": {
            key: _encode_record(record) for key, record in records.items()
        },
    }


def _encode_record(record: CrashRecord) -> dict[str, Any]:
    """Returns one record in the stored form."""
    oldest_first = sorted(record.losses.items(), key=lambda loss: -loss[1])
    encoded: dict[str, Any] = {
        "lossAgesMs": {
            name: _to_ms(age_seconds)
            for name, age_seconds in oldest_first[:MAX_STORED_LOSSES]
        },
        "seenAgeMs": _to_ms(record.seen_age_seconds),
        "trials": min(_MAX_TRIALS, record.trials),
    }
    if record.tried_age_seconds < math.inf:
        encoded["triedAgeMs"] = _to_ms(record.tried_age_seconds)
    return encoded


def decode(value: Any, *, wall_seconds: float) -> DecodedRecords:
    """Returns the records of a stored value; invalid ones are left out.

    A clock behind that of the writer counts as one that equals it.

    Args:
        value: Value that was stored.
        wall_seconds: Present wall time, since the start of 1970.

    Raises:
        ValueError: If the value as a whole has another form.
    """
    if not isinstance(value, dict) or value.get("format") != FORMAT:
        raise ValueError(f"got {shorten(value)}, expected format {FORMAT}")
    requests = value.get("requests")
    if not isinstance(requests, dict) or len(requests) > MAX_STORED_REQUESTS:
        raise ValueError(
            f"got {shorten(requests)}, expected up to {MAX_STORED_REQUESTS} "
            f"records"
        )
    written_seconds = require_int(value.get("writtenAtMs")) / _MS_PER_SECOND
    elapsed_seconds = max(0.0, wall_seconds - written_seconds)
    decoded = DecodedRecords()
    for key, fields in requests.items():
        try:
            record = _decode_record(fields, elapsed_seconds)
            decoded.records[require_name(key)] = record
        except ValueError as error:
            decoded.problems.append(f"{shorten(key)}: {error}")
    return decoded


def _decode_record(fields: Any, elapsed_seconds: float) -> CrashRecord:
    """Returns one record.

    Args:
        fields: Stored form.
        elapsed_seconds: Time since it was written.

    Raises:
        ValueError: If it has another form.
    """
    if not isinstance(fields, dict):
        raise ValueError(f"got {shorten(fields)}, expected a record")
    ages_ms = fields.get("lossAgesMs")
    if not isinstance(ages_ms, dict) or len(ages_ms) > MAX_STORED_LOSSES:
        raise ValueError(
            f"got {shorten(ages_ms)}, expected up to {MAX_STORED_LOSSES} losses"
        )
    tried_age_seconds = math.inf
    if "triedAgeMs" in fields:
        tried_age_seconds = _age_seconds(fields["triedAgeMs"], elapsed_seconds)
    return CrashRecord(
        {
            require_name(name): _age_seconds(age_ms, elapsed_seconds)
            for name, age_ms in ages_ms.items()
        },
        seen_age_seconds=_age_seconds(fields.get("seenAgeMs"), elapsed_seconds),
        trials=require_int(fields.get("trials"), maximum=_MAX_TRIALS),
        tried_age_seconds=tried_age_seconds,
    )


def _age_seconds(age_ms: Any, elapsed_seconds: float) -> float:
    """Returns the present age of what had an age when it was written."""
    return require_int(age_ms) / _MS_PER_SECOND + elapsed_seconds


def _to_ms(seconds: float) -> int:
    """Returns a time in milliseconds, not below 0."""
    return max(0, round(seconds * _MS_PER_SECOND))
