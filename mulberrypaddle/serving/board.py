"""What the parts of one router read and write."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch import (
    Chooser,
    ColdRate,
    CrashRecords,
    Demand,
    Loads,
    RetryBudget,
    Soundness,
    WaitingLine,
)
from mulberrypaddle.dispatch.waiting import share_of_room
from mulberrypaddle.fleet import FleetView
from mulberrypaddle.serving.demand import DemandMeter

if TYPE_CHECKING:
    import random

    from mulberrypaddle.backends.curl import CurlClient
    from mulberrypaddle.fleet import NodeSettings, ServingConfig
    from mulberrypaddle.serving.dialect import Dialect


class ServingBoard:
    """State of one router that more than one part uses.

    Attributes:
        settings: Settings of the process.
        dialect: What callers and runners say in headers.
        client: curl client for calls to runners.
        config: Configuration in force; None before the first one.
        view: Runners as far as they are known.
        live_routers: Routers that may be alive, this one counted.
        opening_in: When the next group of a model opens, by model, in
            seconds, as the owner of the groups told.
        stopping: Whether the process is about to end.
        ends_at_seconds: Loop time at which the process ends, once it is so
            close that new requests could be cut off; None before.
        in_hand: Requests in hand.
        reading: Requests whose head came and whose body is on its way.
        last_request_at: Loop time at which a request was last read whole.
        waiting_elsewhere: Requests that wait in other routers, by router and
            by line.
    """

    __slots__ = (
        "chooser",
        "client",
        "cold",
        "config",
        "crashes",
        "demand",
        "ends_at_seconds",
        "dialect",
        "head_progress",
        "in_hand",
        "last_request_at",
        "lines",
        "live_routers",
        "loads",
        "loop",
        "opening_in",
        "reading",
        "retries",
        "rng",
        "settings",
        "soundness",
        "stopping",
        "view",
        "waiting_elsewhere",
    )

    def __init__(
        self,
        settings: NodeSettings,
        *,
        dialect: Dialect,
        client: CurlClient,
        rng: random.Random,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.dialect = dialect
        self.client = client
        self.rng = rng
        self.config: ServingConfig | None = None
        self.view = FleetView()
        self.loads = Loads()
        self.soundness = Soundness()
        self.cold = ColdRate(rng)
        self.crashes = CrashRecords()
        self.demand = DemandMeter()
        self.lines: dict[tuple[str, str], WaitingLine] = {}
        self.retries = RetryBudget(
            ratio=settings.bounds.retry_ratio,
            slack=settings.bounds.retry_slack,
            window_seconds=settings.bounds.retry_window_seconds,
            started_at_seconds=self.loop.time(),
            rng=rng,
        )
        self.chooser = Chooser(
            self.view,
            loads=self.loads,
            soundness=self.soundness,
            cold=self.cold,
            rng=rng,
        )
        self.live_routers = 1
        self.opening_in: dict[str, float] = {}
        # When a head last sent an event of any own stream.
        self.head_progress: dict[str, float] = {}
        self.stopping = False
        self.ends_at_seconds: float | None = None
        self.in_hand = 0
        self.reading = 0
        self.last_request_at = 0.0
        self.waiting_elsewhere: dict[str, dict[str, int]] = {}

    def now(self) -> float:
        """Returns the loop's monotonic time in seconds."""
        return self.loop.time()

    def line(self, service: str, model: str) -> WaitingLine:
        """Returns the waiting line of a service and model."""
        key = (service, model)
        line = self.lines.get(key)
        if line is None:
            line = WaitingLine()
            self.lines[key] = line
        return line

    def waiting(self) -> dict[str, int]:
        """Returns the requests that wait in this router, by line."""
        return {
            _line_name(*key): len(line)
            for key, line in self.lines.items()
            if len(line)
        }

    def others_waiting(self, service: str, model: str) -> int:
        """Returns the requests that wait in other routers for one line."""
        name = _line_name(service, model)
        return sum(
            counts.get(name, 0) for counts in self.waiting_elsewhere.values()
        )

    def on_room(self) -> None:
        """Lets waiting requests go on where there is room."""
        config = self.config
        if config is None:
            return
        now = self.now()
        for (service_name, model), line in self.lines.items():
            if not len(line):
                continue
            service = config.services.get(service_name)
            room = 0
            if service is not None:
                demand = Demand(service, model=model)
                room = share_of_room(
                    self.chooser.room(demand, now_seconds=now),
                    own_waiting=len(line),
                    others_waiting=self.others_waiting(service_name, model),
                    chance=self.rng.random(),
                )
            line.advance(room, now_seconds=now)


def _line_name(service: str, model: str) -> str:
    """Returns how routers call a line to one another."""
    return model or service
