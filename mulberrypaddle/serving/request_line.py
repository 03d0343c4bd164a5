"""What a caller asked for, apart from its headers."""

from __future__ import annotations


class RequestLine:
    """Method, target and body of a request, as the caller sent them."""

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
        """Returns the target without its query."""
        return self.target.split("?", 1)[0]
