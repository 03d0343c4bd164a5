"""Records of routing and placement decisions."""

from __future__ import annotations


class Decision:
    """One routing or placement decision, logged as one line.

    Attributes:
        kind: Type of decision, such as `route` or `refuse`; the event name
            of the log line.
        subject: Id of the request, group or duty concerned.
        outcome: The option that was chosen.
        reason: Why it was chosen, in a few words.
        at_wall_seconds: Unix time of the decision.
        fields: Additional fields of the log line.
    """

    __slots__ = (
        "at_wall_seconds",
        "fields",
        "kind",
        "outcome",
        "reason",
        "subject",
    )

    def __init__(
        self,
        kind: str,
        *,
        subject: str,
        outcome: str,
        reason: str,
        at_wall_seconds: float,
        fields: dict[str, str] | None = None,
    ) -> None:
        self.kind = kind
        self.subject = subject
        self.outcome = outcome
        self.reason = reason
        self.at_wall_seconds = at_wall_seconds
        self.fields = fields or {}
