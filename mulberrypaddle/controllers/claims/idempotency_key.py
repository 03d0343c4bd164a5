"""Idempotency keys that hold their own time: UUIDv7 (RFC 9562)."""

from __future__ import annotations

import hashlib
import re

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem

# A key older than this is refused, so its claim may be forgotten.
RETENTION_SECONDS = 1200.0
# Most that the wall clocks of two routers, or of a caller and a router,
# may differ.
CLOCK_TOLERANCE_SECONDS = 60.0
RANGES = 8
DIGEST_BYTES = 16

_UUID7 = re.compile(
    r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z"
)
_MILLIS_PER_SECOND = 1000.0


def key_millis(key: str) -> Result[int, Problem]:
    """Returns the time in a key, in milliseconds since the Unix epoch.

    Args:
        key: Value of the `Idempotency-Key` header, in any case.
    """
    lowered = key.lower()
    if _UUID7.match(lowered) is None:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"got Idempotency-Key {key[:64]!r}, allowed is a UUIDv7 "
                f"(RFC 9562) such as 01890a5d-ac96-774b-bcce-b302099a8057",
            )
        )
    return Success(int(lowered[:8] + lowered[9:13], 16))


def check_key(
    key: str,
    *,
    wall_seconds: float,
    retention_seconds: float = RETENTION_SECONDS,
) -> Result[int, Problem]:
    """Checks shape and age of a key.

    Args:
        key: Value of the `Idempotency-Key` header.
        wall_seconds: This router's wall time.
        retention_seconds: Oldest age that is accepted.

    Returns:
        The key's milliseconds since the Unix epoch, BAD_REQUEST for another
        shape or a time in the future, or KEY_EXPIRED.
    """
    parsed = key_millis(key)
    if not isinstance(parsed, Success):
        return parsed
    millis = parsed.unwrap()
    age_seconds = wall_seconds - millis / _MILLIS_PER_SECOND
    if age_seconds < -CLOCK_TOLERANCE_SECONDS:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"got an Idempotency-Key {-age_seconds:.0f} s in the future, "
                f"allowed are {CLOCK_TOLERANCE_SECONDS:.0f} s",
            )
        )
    if age_seconds > retention_seconds:
        return Failure(
            Problem(
                ErrorKind.KEY_EXPIRED,
                f"got an Idempotency-Key {age_seconds:.0f} s old, "
                f"allowed are {retention_seconds:.0f} s",
            )
        )
    return Success(millis)


def key_digest(organisation: str, key: str) -> bytes:
    """Returns the digest under which a key is claimed."""
    text = f"{organisation}\0{key.lower()}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def range_of(digest: bytes) -> int:
    """Returns the key range that a digest falls into."""
    return int.from_bytes(digest[:4], "big") % RANGES
