"""Heads of HTTP answers: which of them are sound, and what they say.

The HTTP library tolerates heads that violate HTTP, each of its versions others,
and reads the length of the body by rules of its own. An answer is therefore
used only if its head is sound by the rules here, which leave one way to read
it: those of RFC 9112, without what it allows a lenient reader.
"""

from __future__ import annotations

import re

from mulberrypaddle.core.value_checks import MAX_INTEGER, shorten

# Statuses of HTTP are 100 to 599.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.(?P<minor>[01]) (?P<status>[1-5][0-9]{2})"
    rb"(?: [\t\x20-\x7e\x80-\xff]*)?"
)

# A token, a colon, and a value without control bytes.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)"
)

_DIGITS = re.compile("[0-9]+")

_BLANKS = " \t"

# Memory that a header takes beside its bytes.
HEADER_OVERHEAD_BYTES = 200

# Statuses whose answers have no body, whatever length they give.
_BODILESS_STATUSES = frozenset({204, 304})

# No request asks for another protocol.
_SWITCHING_PROTOCOLS = 101


class InvalidHeadError(ValueError):
    """A head violates HTTP, so that nothing of its answer can be used."""


class ResponseHead:
    """A sound head of an answer.

    Attributes:
        status: HTTP status, from 200 to 599.
        fields: Names and values of the headers, in order.
        length_bytes: Length of the body; None if the head has none.
        is_chunked: Whether the body comes in chunks.
    """

    __slots__ = ("fields", "is_chunked", "length_bytes", "status")

    def __init__(
        self,
        status: int,
        fields: list[tuple[str, str]],
        *,
        length_bytes: int | None,
        is_chunked: bool,
    ) -> None:
        self.status = status
        self.fields = fields
        self.length_bytes = length_bytes
        self.is_chunked = is_chunked

    @property
    def has_marked_end(self) -> bool:
        """Returns whether the answer has a length or comes in chunks.

        The body of any other answer ends with its connection, so that its end
        looks like that of a connection on which the runner crashed.
        """
        return self.is_chunked or self.length_bytes is not None

    @property
    def body_bytes(self) -> int | None:
        """Returns the length of the body; None if only its end shows it.

        The answer to a HEAD request has none, which its head doesn't tell.
        """
        if self.status in _BODILESS_STATUSES:
            return 0
        return self.length_bytes


class HeadParser:
    """Parses the heads of one answer, line by line.

    These are any interim heads (status below 200), the head, and trailers.

    Attributes:
        held_bytes: Memory that the fields of the present head take.
    """

    __slots__ = (
        "_fields",
        "_has_heads_behind",
        "_head",
        "_minor",
        "_status",
        "held_bytes",
    )

    def __init__(self, *, has_heads_behind: bool = False) -> None:
        """Prepares the parser of an answer.

        Args:
            has_heads_behind: Whether the head of another answer may come
                behind a head, as when the client follows redirects.
        """
        self._has_heads_behind = has_heads_behind
        self._head: ResponseHead | None = None
        # Zero before a status line.
        self._status = 0
        self._minor = b""
        self._fields: list[tuple[str, str]] = []
        self.held_bytes = 0

    @property
    def head(self) -> ResponseHead | None:
        """Returns the head; None before its last line."""
        return self._head

    def feed(self, line: bytes) -> ResponseHead | None:
        """Parses the next line.

        Args:
            line: The line with its end. It has none if the connection closed
                before.

        Returns:
            The head if this line completes it; None for all other lines.

        Raises:
            InvalidHeadError: If the line is none of a sound head.
        """
        if not line.endswith(b"\n"):
            raise InvalidHeadError("the answer was cut off within its head")
        text = line[:-1].removesuffix(b"\r")
        if (
            self._head is not None
            and self._has_heads_behind
            and text.startswith(b"HTTP/")
        ):
            self._head = None
            self._status = 0
        if self._head is not None:
            # A trailer; what it says is not used.
            if text:
                _parse_field(text)
            return None
        if not self._status:
            self._parse_status_line(text)
            return None
        if text:
            self._fields.append(_parse_field(text))
            self.held_bytes += len(line) + HEADER_OVERHEAD_BYTES
            return None
        return self._end_head()

    def _parse_status_line(self, text: bytes) -> None:
        """Parses the first line of a head."""
        found = _STATUS_LINE.fullmatch(text)
        if found is None:
            raise InvalidHeadError(
                f"got {_show(text)}, expected a status line of HTTP/1.1 with "
                "a status from 100 to 599"
            )
        self._status = int(found["status"])
        self._minor = found["minor"]
        self._fields = []
        self.held_bytes = 0
        if self._status == _SWITCHING_PROTOCOLS:
            raise InvalidHeadError(f"got the status {_SWITCHING_PROTOCOLS}")

    def _end_head(self) -> ResponseHead | None:
        """Returns the head that the empty line ends; None for interim ones."""
        status = self._status
        if status < 200:
            self._status = 0
            return None
        length_bytes = _parse_length(_values(self._fields, "content-length"))
        codings = _values(self._fields, "transfer-encoding")
        if codings:
            self._check_codings(codings, length_bytes)
        self._head = ResponseHead(
            status,
            self._fields,
            length_bytes=length_bytes,
            is_chunked=bool(codings),
        )
        return self._head

    def _check_codings(
        self, codings: list[str], length_bytes: int | None
    ) -> None:
        """Checks that the only coding is that of chunks.

        HTTP lets a reader prefer the chunks to a length, or ignore it. Of a
        runner in trouble either may be wrong.
        """
        if len(codings) > 1 or codings[0].lower() != "chunked":
            raise InvalidHeadError(
                f"got Transfer-Encoding {shorten(', '.join(codings))}, "
                "expected 'chunked'"
            )
        if length_bytes is not None:
            raise InvalidHeadError("got a length, and a body in chunks")
        if self._minor == b"0":
            raise InvalidHeadError("got a body in chunks in HTTP/1.0")


def _parse_field(text: bytes) -> tuple[str, str]:
    """Returns the name and the value of a line, without its end.

    Raises:
        InvalidHeadError: If the line is no field.
    """
    found = _FIELD_LINE.fullmatch(text)
    if found is None:
        raise InvalidHeadError(f"got {_show(text)}, expected a field")
    name, value = found.groups()
    # The value may hold any bytes above 0x7f. `strip` alone would also remove
    # some of these.
    return name.decode("ascii"), value.decode("latin-1").strip(_BLANKS)


def _parse_length(values: list[str]) -> int | None:
    """Returns the length of a body; None if it has none.

    HTTP allows several lengths if they are equal.

    Args:
        values: Values of all fields with the length.

    Raises:
        InvalidHeadError: If the values aren't one length.
    """
    lengths: set[int] = set()
    for value in ",".join(values).split(",") if values else ():
        text = value.strip(_BLANKS)
        digits = text.lstrip("0") or "0"
        if _DIGITS.fullmatch(text) is None or len(digits) > len(
            str(MAX_INTEGER)
        ):
            raise InvalidHeadError(
                f"got Content-Length {shorten(value)}, expected digits"
            )
        lengths.add(int(digits))
    if len(lengths) > 1 or any(length > MAX_INTEGER for length in lengths):
        raise InvalidHeadError(
            f"got Content-Length {shorten(', '.join(values))}, expected one "
            f"length of at most {MAX_INTEGER} bytes"
        )
    return lengths.pop() if lengths else None


def _values(fields: list[tuple[str, str]], wanted: str) -> list[str]:
    """Returns the values of all fields with a name, given in lower case."""
    return [value for name, value in fields if name.lower() == wanted]


def _show(text: bytes) -> str:
    """Returns a line as a short text for messages."""
    return shorten(text.decode("latin-1"))
