"""Callers that keep their connections open, and what they lose.

Each caller sends one request after the other on its connection, with pauses,
until the router closes it or its process is gone. `losses` returns the requests
that ended without a complete answer around planned work, or at any time if the
connection was idle for no longer than callers may leave it.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from tests.support.crashing_parts import FIRST_PART, SHARED_PARTS, make_prompt
from tests.support.idle_limits import CONFIG_APPLY_SECONDS
from tests.support.simulated_deployment import (
    ROUTE_KINDS,
    ROUTE_TIMEOUTS_SECONDS,
    Caller,
    Router,
    SimulatedDeployment,
    request_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tests.support.disruptions import Disruptions
    from tests.support.simulated_deployment import RunnerWork

# Pause before a new connection after one could not be made.
RECONNECT_SECONDS = 0.1
# A caller leaves this long after its time limit.
PATIENCE_SECONDS = 1.0
# `lossSlackMs` and the time after the grace period in which requests count.
LOSS_SLACK_SECONDS = 0.2
STOP_WINDOW_SECONDS = 1.0
# A request that was sent no later than this after the signal may be cut while
# its runner is at work in the last part of the grace period.
EARLY_SECONDS = 3.0
LAST_FRACTION = 1 / 6
# Tolerance between the clocks of caller and router on a time limit.
LIMIT_TOLERANCE_SECONDS = 0.05
# Share of the pauses that end shortly before callers may no longer send.
LATE_SHARE = 0.5
# The earliest end of these pauses, as a part of the longest pause.
LATE_FRACTION = 0.75


class SentRequest:
    """A request on a kept connection. Times are monotonic, in seconds.

    Attributes:
        request_id: Id of the request.
        kind: Name of its route.
        router: Router that it was sent to.
        idle_since_seconds: When its connection became idle before it.
        is_within_limit: Whether the connection was idle for no longer than
            callers may leave it.
        sent_at_seconds: When its last byte was sent.
        limit_seconds: Its time limit; the timeout of its route is no shorter.
        ended_at_seconds: When its answer or its connection ended.
        outcome: Outcome as by `Caller.send`.
        was_reset: Whether the connection was reset; the router then had not
            read all that was sent.
    """

    __slots__ = (
        "ended_at_seconds",
        "idle_since_seconds",
        "is_within_limit",
        "kind",
        "limit_seconds",
        "outcome",
        "request_id",
        "router",
        "sent_at_seconds",
        "was_reset",
    )

    def __init__(
        self, request_id: str, kind: str, router: Router, limit_seconds: float
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.router = router
        self.limit_seconds = limit_seconds
        self.sent_at_seconds = time.monotonic()
        self.idle_since_seconds = self.sent_at_seconds
        self.is_within_limit = False
        self.ended_at_seconds = 0.0
        self.outcome = ""
        self.was_reset = False


class KeptCallers:
    """Callers with one kept connection each.

    Attributes:
        requests: All requests that have ended.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        caller: Caller,
        *,
        seed: int,
        kinds: Sequence[str],
        longest_pause_seconds: float,
    ) -> None:
        """Prepares the callers.

        Args:
            deployment: Deployment with the routers.
            caller: Checks the answers.
            seed: Seed of the pauses and the choices.
            kinds: Kinds of the requests, each as likely as the others.
            longest_pause_seconds: Longest pause between two requests of a
                connection.
        """
        self._deployment = deployment
        self._caller = caller
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._longest_pause_seconds = longest_pause_seconds
        self._tasks: list[asyncio.Task[None]] = []
        self._number = 0
        self._is_open = True
        # Most streams that may be open at a time, and how many are.
        self._max_streams: float = float("inf")
        self._open_streams = 0
        self.requests: list[SentRequest] = []
        # Router and start of each connection's current pause, by caller.
        self._idle: dict[int, tuple[Router, float]] = {}

    def start(self, count: int) -> None:
        """Starts some callers."""
        for _ in range(count):
            number = len(self._tasks)
            self._tasks.append(asyncio.ensure_future(self._run(number)))

    def idle_since_seconds(self, router: Router) -> list[float]:
        """Returns since when each idle connection to a router is idle."""
        return [
            since_seconds
            for idle_router, since_seconds in self._idle.values()
            if idle_router is router
        ]

    def limit_streams(self, count: int) -> None:
        """Lets no caller begin a stream while this many are open.

        It sends a request of another kind instead.
        """
        self._max_streams = count

    async def stop(self) -> None:
        """Ends the callers once their requests are answered."""
        self._is_open = False
        for result in await asyncio.gather(
            *self._tasks, return_exceptions=True
        ):
            if isinstance(result, BaseException):
                raise result

    async def _run(self, number: int) -> None:
        """Connects again and again to routers that take connections."""
        while self._is_open:
            routers = [
                router
                for router in self._deployment.routers.values()
                if router.takes_new_connections
            ]
            if routers:
                await self._use_connection(number, self._rng.choice(routers))
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _use_connection(self, number: int, router: Router) -> None:
        """Sends requests on one connection until it ends."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    router.ip, self._deployment.caller_port
                ),
                1.0,
            )
        except (OSError, TimeoutError):
            # Nothing was sent.
            return
        try:
            while self._is_open:
                idle_since_seconds = time.monotonic()
                self._idle[number] = (router, idle_since_seconds)
                if await self._is_closed(reader, self._choose_pause_seconds()):
                    return
                del self._idle[number]
                if not await self._exchange(
                    router, reader, writer, idle_since_seconds
                ):
                    return
        finally:
            self._idle.pop(number, None)
            writer.close()

    def _choose_pause_seconds(self) -> float:
        """Returns a random pause that callers may make."""
        longest_seconds = min(
            self._longest_pause_seconds,
            self._deployment.idle_limits.longest_pause_seconds(),
        )
        if self._rng.random() < LATE_SHARE:
            return self._rng.uniform(LATE_FRACTION, 1.0) * longest_seconds
        return self._rng.uniform(0.0, longest_seconds)

    async def _is_closed(
        self, reader: asyncio.StreamReader, pause_seconds: float
    ) -> bool:
        """Returns whether an idle connection is closed within a pause."""
        try:
            data = await asyncio.wait_for(reader.read(1), pause_seconds)
        except TimeoutError:
            return False
        except OSError:
            return True
        if data:
            self._deployment.breaches.append(f"{data!r} came unasked")
        return True

    def _choose_kind(self) -> str:
        """Returns a random kind of request."""
        kind = self._rng.choice(self._kinds)
        if self._open_streams < self._max_streams:
            return kind
        while ROUTE_KINDS[kind] == "streaming":
            kind = self._rng.choice(self._kinds)
        return kind

    async def _exchange(
        self,
        router: Router,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        idle_since_seconds: float,
    ) -> bool:
        """Sends a request; returns whether the connection can be used again."""
        self._number += 1
        request_id = f"k{self._number}"
        kind = self._choose_kind()
        limit_seconds = ROUTE_TIMEOUTS_SECONDS[kind]
        self._deployment.record_caller(request_id, router)
        request = SentRequest(request_id, kind, router, limit_seconds)
        request.idle_since_seconds = idle_since_seconds
        request.is_within_limit = self._deployment.idle_limits.allows(
            request.sent_at_seconds - idle_since_seconds
        )
        answer = bytearray()
        is_complete = False
        is_stream = ROUTE_KINDS[kind] == "streaming"
        self._open_streams += is_stream
        try:
            writer.write(
                request_bytes(
                    kind,
                    request_id,
                    prompt=make_prompt(
                        (FIRST_PART, SHARED_PARTS[0]), request_id
                    ),
                    deadline_seconds=limit_seconds,
                )
            )
            async with asyncio.timeout(limit_seconds + PATIENCE_SECONDS):
                is_complete = await read_answer(reader, answer)
        except TimeoutError:
            request.outcome = "timed out"
        except OSError:
            request.was_reset = True
        finally:
            self._open_streams -= is_stream
        request.ended_at_seconds = time.monotonic()
        if not request.outcome:
            request.outcome = self._caller.check_answer(
                kind, request_id, bytes(answer)
            )
        self._caller.count(request.outcome)
        self.requests.append(request)
        head = bytes(answer).partition(b"\r\n\r\n")[0].lower()
        return is_complete and b"connection: close" not in head


async def read_answer(reader: asyncio.StreamReader, answer: bytearray) -> bool:
    """Reads an answer into `answer`; returns whether it is complete."""
    try:
        answer += await reader.readuntil(b"\r\n\r\n")
        head = bytes(answer).lower()
        if b"transfer-encoding: chunked" in head:
            while not answer.endswith(b"\r\n0\r\n\r\n"):
                answer += await reader.readuntil(b"\r\n")
            return True
        length = int(head.partition(b"content-length:")[2].split()[0])
        while length:
            data = await reader.read(length)
            if not data:
                return False
            answer += data
            length -= len(data)
    except asyncio.IncompleteReadError as error:
        answer += error.partial
        return False
    return True


class Loss:
    """A request without a complete answer that its caller could expect.

    Attributes:
        request: The request.
        cause: What happened to its router or its connection before.
        cause_at_seconds: Monotonic time of that.
        excuse: Why it does not count; empty if it does.
    """

    __slots__ = ("cause", "cause_at_seconds", "excuse", "request")

    def __init__(
        self,
        request: SentRequest,
        cause: str,
        cause_at_seconds: float,
        excuse: str,
    ) -> None:
        self.request = request
        self.cause = cause
        self.cause_at_seconds = cause_at_seconds
        self.excuse = excuse

    @property
    def sent_after_seconds(self) -> float:
        """Returns when the request was sent, relative to the cause."""
        return self.request.sent_at_seconds - self.cause_at_seconds

    @property
    def ended_after_seconds(self) -> float:
        """Returns when the connection ended, relative to the cause."""
        return self.request.ended_at_seconds - self.cause_at_seconds

    def __str__(self) -> str:
        request = self.request
        return (
            f"{request.request_id} ({request.kind}) at {request.router.ip} has "
            f"{request.outcome!r}, sent {self.sent_after_seconds:+.2f} s and "
            f"ended {self.ended_after_seconds:+.2f} s after {self.cause}"
        )


def losses(
    deployment: SimulatedDeployment,
    requests: Sequence[SentRequest],
    disruptions: Disruptions,
) -> Iterator[Loss]:
    """Yields the requests that were lost.

    A request is lost if its connection ends without a complete answer. Around
    a signal it counts after it has reached a runner, or later than
    `LOSS_SLACK_SECONDS` after it was read. At other times it counts if its
    connection was kept within the idle limit, whether it was read or not. A
    request whose connection does not end in time is lost, too.
    Losses that do not count are yielded with an excuse.
    """
    for request in requests:
        if request.outcome == "timed out":
            is_excused = disruptions.stops_process(request)
            yield Loss(
                request,
                "its connection became idle",
                request.idle_since_seconds,
                "disruption" if is_excused else "",
            )
            continue
        if request.outcome not in ("cut", "no answer"):
            continue
        work = deployment.work.get(request.request_id, [])
        is_stream = ROUTE_KINDS[request.kind] == "streaming"
        signalled_at = _planned_work(deployment, request)
        if signalled_at is not None and (work or _was_read(request)):
            excuse = _excuse(deployment, request, signalled_at, work)
            if not excuse and disruptions.excuse(request, is_stream=is_stream):
                excuse = "disruption"
            yield Loss(request, "a signal", signalled_at, excuse)
            continue
        if not request.is_within_limit or _meets_stop(deployment, request):
            continue
        # A request that lies in the socket depends on its process alone; that
        # the process is late is no excuse.
        is_excused = disruptions.ends_process(request) or (
            bool(work) and disruptions.excuse(request, is_stream=is_stream)
        )
        excuse = _kept_excuse(request, work)
        if not excuse and is_excused:
            excuse = "disruption"
        yield Loss(
            request,
            "its connection became idle",
            request.idle_since_seconds,
            excuse,
        )


def _was_read(request: SentRequest) -> bool:
    """Returns whether the router must have read a request without an answer."""
    duration_seconds = request.ended_at_seconds - request.sent_at_seconds
    return not request.was_reset and duration_seconds > LOSS_SLACK_SECONDS


def _planned_work(
    deployment: SimulatedDeployment, request: SentRequest
) -> float | None:
    """Returns when the signal came around which a request ended, if any."""
    ended_at = request.ended_at_seconds
    window_seconds = deployment.grace_seconds + STOP_WINDOW_SECONDS
    for stopped_at in request.router.stopped_at_seconds:
        if stopped_at <= ended_at <= stopped_at + window_seconds:
            return stopped_at
    for reloaded_at in request.router.reloaded_at_seconds:
        is_sent_before = request.sent_at_seconds <= (
            reloaded_at + CONFIG_APPLY_SECONDS
        )
        if is_sent_before and ended_at >= reloaded_at:
            return reloaded_at
    return None


def _meets_stop(deployment: SimulatedDeployment, request: SentRequest) -> bool:
    """Returns whether a request ended in a stop of its router.

    A stopping router closes connections that are idle, which a request may
    cross.
    """
    window_seconds = deployment.grace_seconds + STOP_WINDOW_SECONDS
    return any(
        stopped_at <= request.ended_at_seconds <= stopped_at + window_seconds
        for stopped_at in request.router.stopped_at_seconds
    )


def _kept_excuse(request: SentRequest, work: Sequence[RunnerWork]) -> str:
    """Returns why the loss of a kept connection does not count, if any."""
    limit_at = request.sent_at_seconds + request.limit_seconds
    if request.ended_at_seconds >= limit_at - LIMIT_TOLERANCE_SECONDS:
        return "time limit"
    if work and work[-1].broke_off:
        return "runner broke off"
    return ""


def _excuse(
    deployment: SimulatedDeployment,
    request: SentRequest,
    signalled_at_seconds: float,
    work: Sequence[RunnerWork],
) -> str:
    """Returns why the loss of a request does not count, or an empty string."""
    limit_at = request.sent_at_seconds + request.limit_seconds
    if request.ended_at_seconds >= limit_at - LIMIT_TOLERANCE_SECONDS:
        return "time limit"
    if not work:
        return ""
    last = work[-1]
    if last.broke_off:
        return "runner broke off"
    if request.sent_at_seconds > signalled_at_seconds + EARLY_SECONDS:
        return ""
    at_work_until = min(
        request.ended_at_seconds,
        last.ended_at_seconds or request.ended_at_seconds,
    )
    last_part_at = signalled_at_seconds + deployment.grace_seconds * (
        1 - LAST_FRACTION
    )
    if at_work_until >= last_part_at:
        return "runner at work at the end"
    return ""
