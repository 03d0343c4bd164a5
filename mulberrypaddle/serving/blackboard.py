"""State that the parts of one router share in memory."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch import (
    ColdRateLimiter,
    CrashAttribution,
    CrashRecords,
    HedgePolicy,
    IdleConnections,
    InFlightCounts,
    RetryBudget,
    RunnerChooser,
    RunnerHealth,
    RunnerPauses,
    RunnerRequirements,
    WaitQueue,
)
from mulberrypaddle.dispatch.plain_runners import PlainRunners
from mulberrypaddle.dispatch.rank_competition import (
    QueueOutlook,
    RankCompetition,
)
from mulberrypaddle.dispatch.stalls import HeadProgress
from mulberrypaddle.dispatch.wait_queue import (
    queue_name,
    share_of_free_slots,
)
from mulberrypaddle.fleet import FleetView
from mulberrypaddle.fleet.view import REMOVAL_LAG_SECONDS, SILENT_INTERVALS
from mulberrypaddle.serving.buffer_budget import (
    ANSWER_MEMORY_SHARE,
    BYTES_PER_MEGABYTE,
    REQUEST_MEMORY_SHARE,
    BufferBudget,
)
from mulberrypaddle.serving.demand import DemandMeter
from mulberrypaddle.serving.supervision import Supervisor

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from mulberrypaddle.backends.curl import CurlClient
    from mulberrypaddle.dispatch.stop_schedule import StopSchedule
    from mulberrypaddle.fleet import NodeSettings, ServiceSpec, ServingConfig
    from mulberrypaddle.replicas.retirement import Retirement
    from mulberrypaddle.serving.header_codec import HeaderCodec


class Blackboard:
    """State of one router that several of its parts read and write.

    Attributes:
        settings: Settings of the process.
        header_codec: Parser of the headers of callers and runners.
        client: curl client for calls to runners.
        answer_buffers: Bytes that are held of answers.
        request_buffers: Bytes that are held of bodies of requests.
        loop: Event loop of the process.
        rng: Source of random choices.
        config: Active configuration; None before the first one.
        config_age_seconds: Returns the time since which a newer configuration
            may be in the store; infinite if unknown.
        view: Current entries of all runners in the store.
        loads: Number of requests in flight at each runner, from all routers.
        runner_health: Health of each runner.
        pauses: Pauses that runners asked this router for.
        plain_runners: Observed speed and failures of plain runners.
        cold_rate: Rate limit of requests to runners that have just started.
        connections: Idle connections to runners, which requests that may be
            repeated use again.
        crash_attribution: Parts of prompts that crash runners.
        crashes: Requests that crashed runners, by hash of their content.
        competition: Counts of the requests that compete with others of other
            urgency ranks.
        demand: Number of slots that the requests for each model keep busy,
            over all routers.
        queues: Requests that wait for a free slot in this router, by service
            and model.
        retries: Retry budget of each service.
        hedging: Decides when a request is sent to a second runner.
        chooser: Chooses the runner for a request.
        live_routers: Number of routers that may be alive, including this one.
        next_group_opens_in_seconds: Expected seconds until the next group of
            runners accepts requests, by model, as reported by the routers that
            form the groups. A model has no entry if no group of it is forming
            and no runner is loading its weights.
        head_progress: When the heads of groups last sent an event of any
            stream of this router, and how long they pause.
        stop: Schedule of the planned stop; None before the signal.
        in_flight_count: Number of complete requests whose response is not yet
            written in full.
        reading: Number of requests whose headers were received and whose body
            is not yet complete.
        retirements: Runners that are about to be taken away, by service;
            only for services of which this router decides the number of
            runners or maintains the groups.
        supervisor: Runs the work of the process and logs its errors.
        record_run: Called with the organisation of each request that began to
            run, and the loop time of that.
        waiting_elsewhere: Number of requests in the queues of other routers,
            by router and by name of the queue.
    """

    __slots__ = (
        "_queued_services",
        "answer_buffers",
        "chooser",
        "client",
        "cold_rate",
        "competition",
        "config",
        "config_age_seconds",
        "connections",
        "crash_attribution",
        "crashes",
        "demand",
        "header_codec",
        "head_progress",
        "hedging",
        "in_flight_count",
        "queues",
        "live_routers",
        "loads",
        "loop",
        "pauses",
        "plain_runners",
        "next_group_opens_in_seconds",
        "reading",
        "record_run",
        "request_buffers",
        "retirements",
        "retries",
        "rng",
        "settings",
        "runner_health",
        "stop",
        "supervisor",
        "view",
        "waiting_elsewhere",
    )

    def __init__(
        self,
        settings: NodeSettings,
        *,
        header_codec: HeaderCodec,
        client: CurlClient,
        rng: random.Random,
    ) -> None:
        """Creates the state of a router that knows no runners yet.

        Must be called in the event loop of the process.
        """
        self.loop = asyncio.get_running_loop()
        self.supervisor = Supervisor()
        self.settings = settings
        self.header_codec = header_codec
        self.client = client
        memory_bytes = settings.memory_megabytes * BYTES_PER_MEGABYTE
        self.answer_buffers = BufferBudget(
            int(memory_bytes * ANSWER_MEMORY_SHARE)
        )
        self.request_buffers = BufferBudget(
            int(memory_bytes * REQUEST_MEMORY_SHARE)
        )
        self.rng = rng
        self.config: ServingConfig | None = None
        self.config_age_seconds: Callable[[], float] = lambda: math.inf
        self.view = FleetView(
            silence_seconds=SILENT_INTERVALS * settings.bounds.heartbeat_seconds
            + REMOVAL_LAG_SECONDS
        )
        self.loads = InFlightCounts()
        self.runner_health = RunnerHealth()
        self.pauses = RunnerPauses()
        self.plain_runners = PlainRunners()
        self.cold_rate = ColdRateLimiter(rng)
        self.connections = IdleConnections()
        self.crash_attribution = CrashAttribution()
        self.crashes = CrashRecords()
        self.competition = RankCompetition()
        self.demand = DemandMeter()
        self.queues: dict[tuple[str, str], WaitQueue] = {}
        # Services of the queues, as their last requests were admitted to.
        self._queued_services: dict[str, ServiceSpec] = {}
        self.retries = RetryBudget(
            ratio=settings.bounds.retry_ratio,
            slack=settings.bounds.retry_slack,
            window_seconds=settings.bounds.retry_window_seconds,
            started_at_seconds=self.loop.time(),
            rng=rng,
            has_hedges=settings.hedge_ratio > 0,
        )
        self.hedging = HedgePolicy(settings.hedge_ratio)
        self.chooser = RunnerChooser(
            self.view,
            in_flight=self.loads,
            runner_health=self.runner_health,
            pauses=self.pauses,
            drain_seconds=settings.bounds.drain_seconds,
            cold_limiter=self.cold_rate,
            connections=self.connections,
            rng=rng,
            plain_runners=self.plain_runners,
        )
        self.live_routers = 1
        self.next_group_opens_in_seconds: dict[str, float] = {}
        self.head_progress = HeadProgress()
        self.stop: StopSchedule | None = None
        self.in_flight_count = 0
        self.reading = 0
        self.record_run: Callable[[str, float], None] = lambda name, at: None
        self.retirements: dict[str, Retirement] = {}
        self.waiting_elsewhere: dict[str, dict[str, int]] = {}

    @property
    def stopping(self) -> bool:
        """Returns whether the process is shutting down."""
        return self.stop is not None

    def now(self) -> float:
        """Returns the loop's monotonic time in seconds."""
        return self.loop.time()

    def queue_for(self, service: ServiceSpec, model: str) -> WaitQueue:
        """Returns the queue of a service and model, created if missing."""
        self._queued_services[service.name] = service
        key = (service.name, model)
        queue = self.queues.get(key)
        if queue is None:
            queue = WaitQueue()
            self.queues[key] = queue
        return queue

    def waiting(self) -> dict[str, int]:
        """Returns the number of requests in each non-empty local queue.

        Where urgency ranks compete, further keys report counts by rank.
        """
        waiting = {
            queue_name(*key): len(queue)
            for key, queue in self.queues.items()
            if len(queue)
        }
        for (service, model), queue in self.queues.items():
            if not self._has_competing_ranks(service, model):
                continue
            waiting |= self.competition.report_fields(
                queue_name(service, model),
                self._outlook(service, model, self._recent_reports()),
                is_anyone_waiting=bool(
                    len(queue) or self.others_waiting(service, model)
                ),
                now_seconds=self.now(),
            )
        return waiting

    def rank_outlook(self, service: str, model: str) -> QueueOutlook | None:
        """Returns the view of the competition of urgency ranks for a queue.

        None if the requests to the service have only one urgency, or if no
        other router was heard lately: what is left for this one is unknown
        then.
        """
        if not self._has_competing_ranks(service, model):
            return None
        reports = self._recent_reports()
        if not reports:
            return None
        return self._outlook(service, model, reports)

    def _has_competing_ranks(self, service: str, model: str) -> bool:
        """Returns whether requests for a model may have several urgencies."""
        return self.config is not None and self.config.has_competing_ranks(
            service, model
        )

    def _outlook(
        self, service: str, model: str, reports: list[dict[str, int]]
    ) -> QueueOutlook:
        """Returns the view of a queue with the given reports of others."""
        assert self.config is not None
        engine = self.config.services[service].engine
        assert engine is not None
        return self.competition.outlook(
            queue_name(service, model),
            self.queues.get((service, model)) or WaitQueue(),
            reports,
            routers=self.live_routers,
            busy_seconds=engine.busy_seconds(engine.models[model]),
            now_seconds=self.now(),
        )

    def _recent_reports(self) -> list[dict[str, int]]:
        """Returns the waiting counts of the routers that were heard lately."""
        return [
            counts
            for name, counts in self.waiting_elsewhere.items()
            if self.loads.has_report(name)
        ]

    def others_waiting(self, service: str, model: str) -> int:
        """Returns how many requests for a model wait in other routers."""
        name = queue_name(service, model)
        return sum(
            counts.get(name, 0) for counts in self.waiting_elsewhere.values()
        )

    def pause_left_seconds(
        self, requirements: RunnerRequirements
    ) -> float | None:
        """Returns the time until a request can be sent, if all runners pause.

        That is when the first pause ends or the next group of runners serves.
        None if a healthy runner serves, or if none asked for a pause.
        """
        left_seconds = self.chooser.pause_left_seconds(
            requirements, now_seconds=self.now()
        )
        opens_in_seconds = self.next_group_opens_in_seconds.get(
            requirements.model
        )
        if left_seconds is None or opens_in_seconds is None:
            return left_seconds
        return min(left_seconds, opens_in_seconds)

    def ready_in_seconds(
        self, requirements: RunnerRequirements
    ) -> float | None:
        """Returns the time until the next runner is expected to serve.

        For requests that no runner serves now; None if unknown.
        """
        left_seconds = self.pause_left_seconds(requirements)
        if left_seconds is not None:
            return left_seconds
        return self.next_group_opens_in_seconds.get(requirements.model)

    def dispatch_waiting(self) -> None:
        """Wakes queued requests for which runners have free slots.

        Each router uses only its share of the free slots, since the other
        routers see the same ones.
        """
        config = self.config
        if config is None:
            return
        now = self.now()
        elapsed_seconds = self.competition.take_elapsed_seconds(now)
        for (service_name, model), queue in self.queues.items():
            if not len(queue):
                continue
            # Requests that were admitted outlive their service.
            service = config.services.get(
                service_name, self._queued_services[service_name]
            )
            requirements = RunnerRequirements(service, model=model)
            pause_seconds = self.pause_left_seconds(requirements)
            if pause_seconds is not None:
                queue.end_waits_before(now + pause_seconds)
            free_capacity = self.chooser.free_capacity(
                requirements, routers=self.live_routers, now_seconds=now
            )
            outlook = self.rank_outlook(service_name, model)
            if outlook is not None:
                queue.end_expired_waits(now)
                queue.admit(
                    outlook.choose_admitted(
                        free_capacity,
                        elapsed_seconds=elapsed_seconds,
                        rng=self.rng,
                    )
                )
                continue
            share = share_of_free_slots(
                free_capacity,
                local_waiting=len(queue),
                peers_waiting=self.others_waiting(service_name, model),
                chance=self.rng.random(),
            )
            queue.admit_waiting(share, now_seconds=now)
