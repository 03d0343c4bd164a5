"""Headers of callers and runners on the platform's wire."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.dialect import CallerFields, Dialect, RunnerHead

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

_REQUEST_ID = "x-request-id"
_WAIT = "x-deadline-ms"
_KEY = "x-api-key"
_MODEL = "x-model"
_TOKENS = "x-token-counts"
_LENGTH_HINT = "x-length-hint"
_LAST_EVENT_ID = "last-event-id"
_ORGANISATION = "x-tenant"
_RUNNER = "x-expect-instance"
_URGENCY = "x-request-priority"
# The runner's signature of an answer.
_SEAL = "x-response-seal"
_NOT_RUN = "x-not-executed"
_FAULT_RUNNER = "at-server"

# Headers that concern one connection only, and those of the body's framing.
_OF_CONNECTION = frozenset(
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

# Headers of a caller that the system sets itself.
_OWN = frozenset(
    {_WAIT, _KEY, _ORGANISATION, _RUNNER, _URGENCY, _LAST_EVENT_ID}
)

# Statuses by which a runner states that it did not run a request.
_MISDIRECTED = 421


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_caller(self, headers: HTTPHeaders) -> CallerFields:
        """Reads the headers of a caller's request."""
        named = _named_by_connection(headers.get("Connection", ""))
        passed = [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in _OF_CONNECTION
            and name.lower() not in _OWN
            and name.lower() not in named
        ]
        wait_ms = _number(headers.get(_WAIT))
        prompt_tokens, answer_tokens = _token_counts(headers.get(_TOKENS, ""))
        return CallerFields(
            request_id=headers.get(_REQUEST_ID, ""),
            wait_seconds=None if wait_ms is None else wait_ms / 1000,
            key=headers.get(_KEY, ""),
            model=headers.get(_MODEL, ""),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            expected_tokens=int(_number(headers.get(_LENGTH_HINT)) or 0),
            last_event_id=_whole(headers.get(_LAST_EVENT_ID)),
            passed=passed,
        )

    def runner_headers(
        self,
        fields: CallerFields,
        *,
        organisation: str,
        runner_id: str,
        urgency: int,
        remaining_seconds: float,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers of a request to a runner."""
        headers = list(fields.passed)
        headers.append(("X-Deadline-Ms", str(int(remaining_seconds * 1000))))
        headers.append(("X-Expect-Instance", runner_id))
        headers.append(("X-Request-Priority", str(min(9, max(0, urgency)))))
        if organisation:
            headers.append(("X-Tenant", organisation))
        if last_event_id is not None:
            headers.append(("Last-Event-Id", str(last_event_id)))
        return headers

    def read_runner(
        self, status: int, headers: list[tuple[str, str]]
    ) -> RunnerHead:
        """Reads the head of a runner's answer."""
        by_name = {name.lower(): value for name, value in headers}
        named = _named_by_connection(by_name.get("connection", ""))
        return RunnerHead(
            status,
            passed=[
                (name, value)
                for name, value in headers
                if name.lower() not in _OF_CONNECTION
                and name.lower() not in named
            ],
            request_id=by_name.get(_REQUEST_ID, ""),
            sealed=_SEAL in by_name,
            not_run=_NOT_RUN in by_name or status == _MISDIRECTED,
            fault_runner=by_name.get(_FAULT_RUNNER, ""),
            size_bytes=_whole(by_name.get("content-length")),
            encoded=by_name.get("content-encoding", "identity") != "identity",
        )


def _named_by_connection(value: str) -> frozenset[str]:
    return frozenset(
        name.strip().lower() for name in value.split(",") if name.strip()
    )


def _number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def _whole(text: str | None) -> int | None:
    if text is None or not text.strip().isdigit():
        return None
    return int(text)


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    return _whole(prompt) or 0, _whole(answer) or 0
