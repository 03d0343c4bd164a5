"""Interface of the platform's API for duties."""

from __future__ import annotations

import abc
import enum


class CallOutcome(enum.Enum):
    """How a call to the platform's API ended.

    Attributes:
        ACCEPTED: The platform has carried it out.
        OUTDATED: Refused, since a higher fencing token was used before.
        REJECTED: Refused for another reason; it was not carried out.
        UNKNOWN: No answer; it may have been carried out, or may be later.
    """

    ACCEPTED = "accepted"
    OUTDATED = "outdated"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class PlatformApi(abc.ABC):
    """Makes the calls of duties to the platform's API."""

    @abc.abstractmethod
    async def report_usage(
        self, window: int, counts: dict[str, int], *, holder: str, fence: int
    ) -> CallOutcome:
        """Reports how many requests began in a window.

        Args:
            window: Number of the window.
            counts: Number of requests by organisation.
            holder: Name of the VM that holds the duty.
            fence: Fencing token of its holding.
        """

    @abc.abstractmethod
    async def set_runner_count(
        self,
        service: str,
        data_centre: str,
        count: int,
        *,
        holder: str,
        fence: int,
    ) -> CallOutcome:
        """Orders the number of runners of a service in a data centre.

        Args:
            service: Name of the service.
            data_centre: Name of the data centre.
            count: Desired number of runners.
            holder: Name of the VM that holds the duty.
            fence: Fencing token of its holding.
        """
