"""HTTP headers that callers and runners use on the platform."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from mulberrypaddle.core.value_checks import parse_unsigned
from mulberrypaddle.dispatch.pauses import (
    MAX_PAUSE_SECONDS,
    UNREADABLE_PAUSE_SECONDS,
)
from mulberrypaddle.fleet.announcement import RunnerAnnouncement
from mulberrypaddle.serving.header_codec import (
    CallerHeaders,
    HeaderCodec,
    RunnerResponseHead,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tornado.httputil import HTTPHeaders

_REQUEST_ID = "x-request-id"
_DEADLINE = "x-deadline-ms"
_API_KEY = "x-api-key"
_MODEL = "x-model"
_TOKEN_COUNTS = "x-token-counts"
_PROMPT_PARTS = "x-prompt-prefix"
_LENGTH_HINT = "x-length-hint"
_LAST_EVENT_ID = "last-event-id"
_ORGANISATION = "x-tenant"
_EXPECTED_RUNNER = "x-expect-instance"
_PRIORITY = "x-request-priority"
# Signature of the runner that produced an answer.
_SIGNATURE = "x-response-seal"
_NOT_EXECUTED = "x-not-executed"
_FAULTY_RUNNER = "at-server"
# Says in all answers of a runner that it is leaving, with the value "1".
_LEAVING = "server-leaving"
_LEAVING_VALUE = "1"
# With status 503: for how many seconds a runner wants no requests.
_PAUSE = "retry-after"
_PAUSE_STATUS = 503

# Seconds, perhaps with a fraction or an exponent. `float` accepts more, such as
# "nan" and digits outside ASCII.
_SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")

# Characters of an unreadable value that are logged.
_MAX_LOGGED_LENGTH = 40

# Prompt parts that are parsed at most, and the length of an id above which it
# is ignored: callers choose both, and parts of crashed requests are remembered.
_MAX_PROMPT_PARTS = 16
_MAX_PART_ID_LENGTH = 64

# Hop-by-hop headers and those that frame the body; never forwarded.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Headers that the router consumes or sets itself, so that a caller's values
# aren't forwarded.
_SET_BY_ROUTER = frozenset(
    {
        _DEADLINE,
        _API_KEY,
        _ORGANISATION,
        _EXPECTED_RUNNER,
        _PRIORITY,
        _LAST_EVENT_ID,
    }
)

# Most tokens of a prompt or an answer: several times what any model accepts.
# Estimates of the demand would follow higher ones.
_MAX_TOKENS = 100_000_000

# HTTP 421: the runner that answers is not the one addressed, so that it did
# not run the request.
_MISDIRECTED_STATUS = 421


class PlatformHeaderCodec(HeaderCodec):
    """Parses and builds headers in the platform's format."""

    def parse_caller_headers(self, headers: HTTPHeaders) -> CallerHeaders:
        """Parses the headers of a caller's request."""
        connection_options = _parse_connection_options(
            headers.get("Connection", "")
        )
        forwarded_headers = [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in _HOP_BY_HOP
            and name.lower() not in _SET_BY_ROUTER
            and name.lower() not in connection_options
        ]
        wait_ms = _parse_non_negative(headers.get(_DEADLINE))
        prompt_tokens, answer_tokens = _parse_token_counts(
            headers.get(_TOKEN_COUNTS, "")
        )
        return CallerHeaders(
            request_id=headers.get(_REQUEST_ID, ""),
            wait_seconds=None if wait_ms is None else wait_ms / 1000,
            key=headers.get(_API_KEY, ""),
            model=headers.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            expected_tokens=_parse_length_hint(headers.get(_LENGTH_HINT)),
            last_event_id=_parse_unsigned(headers.get(_LAST_EVENT_ID)),
            prompt_parts=_parse_prompt_parts(headers.get(_PROMPT_PARTS, "")),
            forwarded_headers=forwarded_headers,
        )

    def runner_headers(
        self,
        fields: CallerHeaders,
        *,
        organisation: str,
        runner_id: str,
        urgency: int,
        remaining_seconds: float,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers to send with a request to a runner."""
        headers = list(fields.forwarded_headers)
        headers.append(("X-Deadline-Ms", str(int(remaining_seconds * 1000))))
        headers.append(("X-Expect-Instance", encode_name(runner_id)))
        headers.append(("X-Request-Priority", str(min(9, max(0, urgency)))))
        if organisation:
            headers.append(("X-Tenant", encode_name(organisation)))
        if last_event_id is not None:
            headers.append(("Last-Event-Id", str(last_event_id)))
        return headers

    def parse_runner_head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> RunnerResponseHead:
        """Parses the status and headers of a runner's answer."""
        by_name = {name.lower(): value for name, value in headers}
        connection_options = _parse_connection_options(
            by_name.get("connection", "")
        )
        return RunnerResponseHead(
            status,
            forwarded_headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _HOP_BY_HOP
                and name.lower() != _LEAVING
                and name.lower() not in connection_options
            ],
            request_id=by_name.get(_REQUEST_ID, ""),
            sealed=_SIGNATURE in by_name,
            not_run=_NOT_EXECUTED in by_name or status == _MISDIRECTED_STATUS,
            fault_runner=by_name.get(_FAULTY_RUNNER, ""),
            size_bytes=_parse_unsigned(by_name.get("content-length")),
            encoded=by_name.get("content-encoding", "identity") != "identity",
            media_type=_parse_media_type(by_name.get("content-type", "")),
            announcement=parse_announcement(status, headers),
        )


def encode_name(name: str) -> str:
    """Returns a header value that is sent as the UTF-8 form of a name.

    Header values hold one character for each byte.
    """
    return name.encode("utf-8", "surrogatepass").decode("latin-1")


def parse_announcement(
    status: int, headers: Iterable[tuple[str, str]]
) -> RunnerAnnouncement:
    """Parses what an answer of a runner says about the runner.

    Of several pauses in one answer the longest counts.

    Args:
        status: HTTP status of the answer.
        headers: Its headers.
    """
    announcement = RunnerAnnouncement(
        other_runner=status == _MISDIRECTED_STATUS
    )
    for name, value in headers:
        if name.lower() == _LEAVING:
            announcement.leaving |= value.strip() == _LEAVING_VALUE
        if name.lower() != _PAUSE or status != _PAUSE_STATUS:
            continue
        seconds, problem = _parse_pause(value)
        if seconds > announcement.pause_seconds:
            announcement.pause_seconds = seconds
            announcement.pause_problem = problem
    return announcement


def _parse_pause(value: str) -> tuple[float, str]:
    """Parses the length of a pause.

    Returns:
        The length in seconds, and what is wrong with the value: it is too long,
        or no number of seconds, such as a date. Empty if nothing is.
    """
    text = value.strip()
    if not _SECONDS_PATTERN.fullmatch(text):
        return (
            UNREADABLE_PAUSE_SECONDS,
            f"{text[:_MAX_LOGGED_LENGTH]!r} is no number of seconds",
        )
    seconds = float(text)
    if seconds > MAX_PAUSE_SECONDS:
        return (
            MAX_PAUSE_SECONDS,
            f"{text[:_MAX_LOGGED_LENGTH]!r} is over {MAX_PAUSE_SECONDS:.0f} s",
        )
    return seconds, ""


def _parse_connection_options(value: str) -> frozenset[str]:
    """Returns the header names that a Connection header lists."""
    return frozenset(
        name.strip().lower() for name in value.split(",") if name.strip()
    )


def _parse_media_type(value: str) -> str:
    """Returns a Content-Type in lower case, without its parameters."""
    return value.partition(";")[0].strip().lower()


def _parse_non_negative(text: str | None) -> float | None:
    """Parses a number, negative ones as 0; None if it is not a finite one."""
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return max(0.0, number) if math.isfinite(number) else None


def _parse_unsigned(text: str | None) -> int | None:
    """Parses an integer of ASCII digits; None if the text is not one."""
    return None if text is None else parse_unsigned(text.strip())


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parses "PROMPT,ANSWER"; a missing or invalid count is 0."""
    prompt, _, answer = text.partition(",")
    return _parse_tokens(prompt), _parse_tokens(answer)


def _parse_tokens(text: str) -> int:
    """Parses a number of tokens; an invalid or impossible one is 0."""
    tokens = _parse_unsigned(text) or 0
    return tokens if tokens <= _MAX_TOKENS else 0


def _parse_length_hint(text: str | None) -> int:
    """Parses an estimate of tokens; an invalid or impossible one is 0."""
    tokens = _parse_non_negative(text) or 0.0
    return int(tokens) if tokens <= _MAX_TOKENS else 0


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Parses "ID:TOKENS,ID:TOKENS,..." without the last part.

    Returns:
        Distinct ids in order, `_MAX_PROMPT_PARTS` at most.
    """
    part_ids: dict[str, None] = {}
    for item in text.split(",")[:-1]:
        part_id = item.partition(":")[0].strip().lower()
        if not part_id or len(part_id) > _MAX_PART_ID_LENGTH:
            continue
        part_ids[part_id] = None
        if len(part_ids) == _MAX_PROMPT_PARTS:
            break
    return tuple(part_ids)
