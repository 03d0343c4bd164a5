"""The request of a caller, apart from its headers."""

from __future__ import annotations


class CallerRequest:
    """Method, target, host and body of a request, as the caller sent them.

    Attributes:
        method: HTTP method.
        target: Path and query of the request line.
        host: Value of the Host header; empty if there is none.
        body: Complete body; empty if there is none.
    """

    __slots__ = ("body", "host", "method", "target")

    def __init__(
        self, method: str, *, target: str, host: str, body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.host = host
        self.body = body

    @property
    def path(self) -> str:
        """Returns the target without its query string."""
        return self.target.split("?", 1)[0]
