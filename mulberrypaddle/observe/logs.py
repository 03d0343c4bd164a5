"""Logging: each event is one line of key=value pairs."""

from __future__ import annotations

import datetime
import json
import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from mulberrypaddle.core.decision import Decision

_DECISIONS = logging.getLogger("mulberrypaddle.decisions")

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-./:,+"
)


def _quote(value: Any) -> str:
    """Returns a value as text, in quotes unless all characters are safe.

    No input can end its field or its line.
    """
    if isinstance(value, datetime.datetime):
        value = value.isoformat(timespec="milliseconds")
    text = value if isinstance(value, str) else _to_json(value)
    if text and set(text) <= _UNQUOTED_CHARACTERS:
        return text
    return json.dumps(text, ensure_ascii=True)


def _to_json(value: Any) -> str:
    """Returns a value as JSON, or its type if it can't be encoded."""
    try:
        return json.dumps(value, default=str)
    except (TypeError, ValueError, RecursionError):
        # Python doesn't convert integers of thousands of digits, for example.
        return f"<{type(value).__name__}>"


class KeyValueFormatter(JsonFormatter):
    """Formats a record as one line of key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Returns one line with all fields of a record that aren't None."""
        pairs = []
        for key, value in log_data.items():
            if value is None:
                continue
            pairs.append(f"{_quote(key)}={_quote(value)}")
        return " ".join(pairs)


def configure_logging(
    *,
    stream: TextIO | None = None,
    level: int = logging.INFO,
    router: str = "",
) -> None:
    """Configures the root logger to write one line per event to a stream.

    Args:
        stream: Where to write; standard error by default.
        level: Lowest level that is written.
        router: Router name to add to each line; empty for none.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        KeyValueFormatter(
            ["levelname", "name", "message"],
            rename_fields={"levelname": "level", "message": "event"},
            timestamp="at",
            static_fields={"router": router} if router else {},
        )
    )
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


def log_decision(decision: Decision, *, member_id: str) -> None:
    """Logs one decision as one line.

    Args:
        decision: The decision.
        member_id: Id of the router that decided.
    """
    _DECISIONS.info(
        decision.kind,
        extra={
            "router": member_id,
            "subject": decision.subject,
            "outcome": decision.outcome,
            "reason": decision.reason,
            **{f"of_{key}": value for key, value in decision.fields.items()},
        },
    )
