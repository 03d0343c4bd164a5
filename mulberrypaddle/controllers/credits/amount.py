"""Amounts of credit: requests and tokens together."""

from __future__ import annotations


class Amount:
    """Requests and the tokens that they reserve.

    Attributes:
        requests: Requests in hand.
        tokens: Prompt plus output tokens reserved in the worst case.
    """

    __slots__ = ("requests", "tokens")

    def __init__(self, requests: int = 0, tokens: int = 0) -> None:
        self.requests = requests
        self.tokens = tokens

    def plus(self, other: Amount) -> Amount:
        """Returns the sum."""
        return Amount(
            self.requests + other.requests, self.tokens + other.tokens
        )

    def minus(self, other: Amount) -> Amount:
        """Returns the difference, at least zero in each part."""
        return Amount(
            max(self.requests - other.requests, 0),
            max(self.tokens - other.tokens, 0),
        )

    def at_least(self, other: Amount) -> Amount:
        """Returns the larger of each part."""
        return Amount(
            max(self.requests, other.requests), max(self.tokens, other.tokens)
        )

    def at_most(self, other: Amount) -> Amount:
        """Returns the smaller of each part."""
        return Amount(
            min(self.requests, other.requests), min(self.tokens, other.tokens)
        )

    def covers(self, other: Amount) -> bool:
        """Returns whether no part of `other` is larger."""
        return self.requests >= other.requests and self.tokens >= other.tokens

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Amount):
            return NotImplemented
        return (self.requests, self.tokens) == (other.requests, other.tokens)

    def __hash__(self) -> int:
        return hash((self.requests, self.tokens))

    def __repr__(self) -> str:
        return f"Amount({self.requests}, {self.tokens})"


NOTHING = Amount()
