"""Heads of answers that violate HTTP, and rare ones that are sound.

Each head is given by the lines that make it so. The body of the answers is
`BODY`, so that its length is `LENGTH`.
"""

from __future__ import annotations

BODY = b"broken disk"
LENGTH = b"Content-Length: 11\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"

# The length of the body is not one, or is not the only one.
UNSOUND_LENGTHS = {
    "beyond 64 bits": b"Content-Length: 99999999999999999999999\r\n",
    "just beyond 63 bits": b"Content-Length: 9223372036854775808\r\n",
    "letter": b"Content-Length: 1l\r\n",
    "word": b"Content-Length: oops\r\n",
    "empty": b"Content-Length:\r\n",
    "plus": b"Content-Length: +11\r\n",
    "minus": b"Content-Length: -11\r\n",
    "blank inside": b"Content-Length: 1 1\r\n",
    "hexadecimal": b"Content-Length: 0x0b\r\n",
    "fraction": b"Content-Length: 11.0\r\n",
    "superscript": b"Content-Length: 1\xb9\r\n",
    "control byte": b"Content-Length: 1\x001\r\n",
    "two values": b"Content-Length: 11, 12\r\n",
    "two fields": LENGTH + b"Content-Length: 12\r\n",
    "empty list element": b"Content-Length: 11,\r\n",
    "second is empty": LENGTH + b"Content-Length:\r\n",
}

# The coding of the body is not known, or is not the only framing.
UNSOUND_CODINGS = {
    "length and chunks": LENGTH + CHUNKED,
    "chunks and length": CHUNKED + LENGTH,
    "chunked twice": b"Transfer-Encoding: chunked, chunked\r\n",
    "two fields": CHUNKED + CHUNKED,
    "empty beside a length": b"Transfer-Encoding:\r\n" + LENGTH,
    "empty": b"Transfer-Encoding:\r\n",
    "misspelt": b"Transfer-Encoding: chunkee\r\n",
    "cut off": b"Transfer-Encoding: chunke\r\n",
    "parameter": b"Transfer-Encoding: chunked;q=1\r\n",
    "unknown": b"Transfer-Encoding: xchunked\r\n",
    "chunked is not the last": b"Transfer-Encoding: chunked, gzip\r\n",
}

# The name of a field holds a byte that no name has.
UNSOUND_NAMES = {
    "blank at the end": b"X-A : 1\r\n" + LENGTH,
    "tab at the end": b"X-A\t: 1\r\n" + LENGTH,
    "vertical tab at the end": b"X-A\x0b: 1\r\n" + LENGTH,
    "file separator at the end": b"X-A\x1c: 1\r\n" + LENGTH,
    "no-break space at the end": b"X-A\xa0: 1\r\n" + LENGTH,
    "next line at the end": b"X-A\x85: 1\r\n" + LENGTH,
    "vertical tab at the start": b"\x0bX-A: 1\r\n" + LENGTH,
    "blank inside": b"X A: 1\r\n" + LENGTH,
    "tab inside": b"X\tA: 1\r\n" + LENGTH,
    "control byte": b"X\x01A: 1\r\n" + LENGTH,
    "null byte": b"X\x00A: 1\r\n" + LENGTH,
    "delete": b"X\x7fA: 1\r\n" + LENGTH,
    "latin-1": b"X\xe9A: 1\r\n" + LENGTH,
    "bracket": b"X(A): 1\r\n" + LENGTH,
    "empty": b": 1\r\n" + LENGTH,
    "blank of the length": b"Content-Length : 11\r\n",
    "control byte of the length": b"Content-Length\x0b: 11\r\n",
    "control byte before the length": b"\x0bContent-Length: 11\r\n",
    "blank of the coding": b"Transfer-Encoding : chunked\r\n",
    "control byte of the coding": b"Transfer-Encoding\x1f: chunked\r\n",
}

# A line is no field.
UNSOUND_LINES = {
    "no colon": b"oops\r\n" + LENGTH,
    "no colon, last": LENGTH + b"oops\r\n",
    "second status line": b"HTTP/1.1 200 OK\r\n" + LENGTH,
    "control byte in a value": b"X-A: a\x01b\r\n" + LENGTH,
    "null byte in a value": b"X-A: a\x00b\r\n" + LENGTH,
    "delete in a value": b"X-A: a\x7fb\r\n" + LENGTH,
    "vertical tab at the end of a value": b"X-A: a\x0b\r\n" + LENGTH,
    "carriage return in a value": b"X-A: a\rb\r\n" + LENGTH,
    "two carriage returns": b"X-A: a\r\r\n" + LENGTH,
}

# A line begins with a blank. Libraries join it to the line before it.
JOINED_LINES = {
    "length on two lines": b"Content-Length:\r\n 11\r\n",
    "blank before a field": b" X-A: 1\r\n" + LENGTH,
    "tab before a field": b"\tX-A: 1\r\n" + LENGTH,
    "blank before the length": b"X-A: 1\r\n " + LENGTH,
    "tab before the length": b"X-A: 1\r\n\t" + LENGTH,
    "blank before the last field": LENGTH + b" X-A: 1\r\n",
    "line of blanks": LENGTH + b"X-A: 1\r\n  \r\n",
}

# Heads that are unsound in a way that libraries pass on.
UNSOUND_HEADS = {
    f"{kind}: {reason}": lines
    for kind, heads in (
        ("length", UNSOUND_LENGTHS),
        ("coding", UNSOUND_CODINGS),
        ("name", UNSOUND_NAMES),
        ("line", UNSOUND_LINES),
    )
    for reason, lines in heads.items()
}

# What may stand in the place of a status.
UNSOUND_STATUSES = (
    b"000",
    b"099",
    b"20",
    b"2000",
    b"2020",
    b"4090",
    b"600",
    b"999",
    b"2OO",
    b"+200",
    b"",
)

# Sound lines, most of them rare.
SOUND_HEADS = {
    "leading zeros": b"Content-Length: 0000000000000000000000011\r\n",
    "no blank behind the colon": b"Content-Length:11\r\n",
    "blanks around the value": b"Content-Length: \t 11 \t\r\n",
    "letter case": b"cONTENT-lENGTH: 11\r\n",
    "identical lengths": LENGTH + LENGTH,
    "all token characters": b"!#$%&'*+-.^_`|~09azAZ: 1\r\n" + LENGTH,
    "empty value": b"X-A:\r\n" + LENGTH,
    "latin-1 value": b"X-A: caf\xe9 \xa0\r\n" + LENGTH,
    "tab in a value": b"X-A: a\tb\r\n" + LENGTH,
    "colons in a value": b"X-A: a:b::c\r\n" + LENGTH,
    "60 fields": b"".join(b"X-A%d: 1\r\n" % i for i in range(60)) + LENGTH,
    "two fields of a name": b"X-A: 1\r\nX-A: 2\r\n" + LENGTH,
    "no length": b"",
}

SOUND_CODINGS = {
    "chunks": CHUNKED,
    "letter case of the coding": b"transfer-encoding: CHUNKED\r\n",
    "blanks around the coding": b"Transfer-Encoding:\t chunked \t\r\n",
}

# Lines of each head beside the given ones.
_FIELDS = b"X-Request-Id: q1\r\nX-Response-Seal: s\r\n"


def is_chunked(lines: bytes) -> bool:
    """Returns whether a reader might take the body for chunks."""
    return b"chunk" in lines.lower()


def with_length(lines: bytes, body: bytes) -> bytes:
    """Returns lines whose sound lengths are those of a body."""
    return lines.replace(LENGTH, b"Content-Length: %d\r\n" % len(body))


def make_answer(
    lines: bytes,
    *,
    status_line: bytes = b"HTTP/1.1 200 X",
    body: bytes = BODY,
    comes_first: bool = False,
) -> bytes:
    """Returns an answer with the given lines in its head.

    Args:
        lines: Lines with their ends. If one of them mentions chunks, the body
            is chunked.
        status_line: First line, without its end.
        body: Body of the answer; `LENGTH` stands for its length.
        comes_first: Whether the lines come before the other fields.
    """
    lines = with_length(lines, body)
    if is_chunked(lines):
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    fields = lines + _FIELDS if comes_first else _FIELDS + lines
    return status_line + b"\r\n" + fields + b"\r\n" + body
