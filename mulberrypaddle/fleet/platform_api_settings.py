"""Settings of the platform's API for duties that one router performs."""

from __future__ import annotations

import enum


class PlatformDuty(enum.Enum):
    """Calls to the platform's API that one router makes for the whole fleet.

    Attributes:
        USAGE_REPORT: Reports how many requests of each organisation began.
        RUNNER_COUNT: Orders the number of runners of a service.
    """

    USAGE_REPORT = "usage_report"
    RUNNER_COUNT = "autoscale"


class PlatformApiSettings:
    """Address of the platform's API, and the duties that it asks for.

    Attributes:
        address: Address of the API, as host:port.
        duties: Duties that the platform asks for.
        duty_calls_per_second: Most calls for duties that the API accepts each
            second, from all routers together.
    """

    __slots__ = ("address", "duties", "duty_calls_per_second")

    def __init__(
        self,
        *,
        address: str,
        duties: frozenset[PlatformDuty],
        duty_calls_per_second: float,
    ) -> None:
        self.address = address
        self.duties = duties
        self.duty_calls_per_second = duty_calls_per_second
