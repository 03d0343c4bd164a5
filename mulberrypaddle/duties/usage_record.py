"""The decided counts of a window, as the store holds them.

The records are kept in a ring of objects, which later windows overwrite.
"""

from __future__ import annotations

from typing import Any

from mulberrypaddle.core.value_checks import (
    require_int,
    require_name,
    require_number,
)
from mulberrypaddle.serving.store_era import MAX_ERA

# Objects of the ring. A window is overdue long before its object is written
# again, and so are writes that take effect late: after seconds.
RING_SIZE = 16

# Highest count, number of a window and number of organisations accepted.
MAX_COUNT = 1_000_000_000
MAX_WINDOW = 2**53
MAX_WINDOW_SECONDS = 1e9
MAX_RECORD_ORGANISATIONS = 10_000


def slot_name(window: int) -> str:
    """Returns the name of the object that holds the record of a window."""
    return f"window-{window % RING_SIZE:02d}"


class UsageRecord:
    """Counts of a window, as one router decided them.

    Attributes:
        window: Number of the window.
        counts: Number of requests by organisation.
        window_seconds: Length of the window; the number of a window of another
            length stands for another time.
        era: Era of the store in which it was to be written. A record in a
            store of another era is not proof: the write was carried out after a
            restore that it did not know of, or was undone in part by one.
        node: Name of the VM that decided.
        token: Fencing token of its lease.
        routers: Number of processes whose sums were added up.
    """

    __slots__ = (
        "counts",
        "era",
        "node",
        "routers",
        "token",
        "window",
        "window_seconds",
    )

    def __init__(
        self,
        window: int,
        *,
        window_seconds: float,
        counts: dict[str, int],
        era: int,
        node: str,
        token: int,
        routers: int,
    ) -> None:
        self.window = window
        self.window_seconds = window_seconds
        self.counts = counts
        self.era = era
        self.node = node
        self.token = token
        self.routers = routers

    def to_value(self) -> dict[str, Any]:
        """Returns the record as an object of the store."""
        return {
            "window": self.window,
            "windowS": self.window_seconds,
            "counts": self.counts,
            "era": self.era,
            "node": self.node,
            "token": self.token,
            "routers": self.routers,
        }

    @classmethod
    def from_value(cls, value: Any) -> UsageRecord:
        """Decodes a record.

        Raises:
            ValueError: If the value is no record.
        """
        if not isinstance(value, dict):
            raise ValueError("a record must be a mapping")
        return cls(
            require_int(value.get("window"), maximum=MAX_WINDOW),
            window_seconds=require_number(
                value.get("windowS"), maximum=MAX_WINDOW_SECONDS
            ),
            counts=require_counts(
                value.get("counts"), max_organisations=MAX_RECORD_ORGANISATIONS
            ),
            era=require_int(value.get("era"), maximum=MAX_ERA),
            node=require_name(value.get("node")),
            token=require_int(value.get("token")),
            routers=require_int(value.get("routers"), maximum=MAX_COUNT),
        )


def require_counts(value: Any, *, max_organisations: int) -> dict[str, int]:
    """Returns a value if it has counts by organisation.

    Args:
        value: Decoded JSON.
        max_organisations: Most organisations accepted.

    Raises:
        ValueError: If it has another form.
    """
    if not isinstance(value, dict) or len(value) > max_organisations:
        raise ValueError(f"expected counts of {max_organisations} at most")
    return {
        require_name(organisation): require_int(count, maximum=MAX_COUNT)
        for organisation, count in value.items()
    }
