"""Datagrams between routers: JSON objects, compressed if they are long."""

from __future__ import annotations

import json
import zlib
from typing import Any

# Longer messages are compressed; below this size one packet suffices anyway.
MAX_UNCOMPRESSED_BYTES = 1_200

# zlib level: the fastest, since heartbeats are sent all the time.
COMPRESSION_LEVEL = 1

# First byte of a message that is not compressed.
_UNCOMPRESSED_FIRST_BYTE = b"{"


def encode_datagram(fields: dict[str, Any]) -> bytes:
    """Encodes fields as a datagram."""
    uncompressed = json.dumps(fields, separators=(",", ":")).encode()
    if len(uncompressed) <= MAX_UNCOMPRESSED_BYTES:
        return uncompressed
    return zlib.compress(uncompressed, COMPRESSION_LEVEL)


def decode_datagram(
    data: bytes, *, version: int, max_bytes: int
) -> dict[str, Any]:
    """Decodes a datagram.

    Args:
        data: The datagram.
        version: Format version that its field `form` must have.
        max_bytes: Greatest length after decompression.

    Returns:
        The fields without `form`.

    Raises:
        ValueError: If it is no JSON object of this version.
    """
    try:
        fields: Any = json.loads(_decompress(data, max_bytes))
    except RecursionError as error:
        raise ValueError("the message is nested too deeply") from error
    if not isinstance(fields, dict) or fields.pop("form", None) != version:
        raise ValueError(f"datagram {data[:40]!r} is not of format {version}")
    return fields


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns the JSON text of a message, decompressed if necessary.

    Raises:
        ValueError: If it cannot be decompressed, or is too long then.
    """
    if data[:1] == _UNCOMPRESSED_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        uncompressed = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"cannot decompress {data[:40]!r}: {error}") from error
    if decompressor.unconsumed_tail:
        raise ValueError(f"message is longer than {max_bytes} bytes")
    return uncompressed
