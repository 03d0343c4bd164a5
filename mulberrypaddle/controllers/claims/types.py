"""Values that the claims controller takes and gives."""

from __future__ import annotations

import enum
from collections.abc import Callable

from returns.result import Result

from mulberrypaddle.core.errors import Problem


class ClaimStart(enum.Enum):
    """What a claim allows."""

    RUN = "run"


class StoredAnswer:
    """An answer kept for a resend of the same request.

    Attributes:
        status: HTTP status.
        content_type: Media type.
        body: Whole body, bounded by the keeper.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


ClaimReply = Callable[[Result[ClaimStart | StoredAnswer, Problem]], None]


class Protections:
    """Which protections are on; only tests and benchmarks switch one off.

    Attributes:
        write_before_grant: A claim is durable before it is granted.
        read_back: A write whose answer was lost is read back.
        settle_wait: A new owner waits until the earlier one can't act.
        fence: A new owner makes the earlier owner's writes fail.
        retention: A key older than the retention window is refused.
        grant_expiry: An expired grant is not used.
    """

    __slots__ = (
        "fence",
        "grant_expiry",
        "read_back",
        "retention",
        "settle_wait",
        "write_before_grant",
    )

    def __init__(
        self,
        *,
        write_before_grant: bool = True,
        read_back: bool = True,
        settle_wait: bool = True,
        fence: bool = True,
        retention: bool = True,
        grant_expiry: bool = True,
    ) -> None:
        self.write_before_grant = write_before_grant
        self.read_back = read_back
        self.settle_wait = settle_wait
        self.fence = fence
        self.retention = retention
        self.grant_expiry = grant_expiry
