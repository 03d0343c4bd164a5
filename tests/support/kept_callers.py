"""Callers that keep their connections open, and what they lose in a stop.

Each caller sends one request after the other on its connection, with pauses,
until the router closes it or its process is gone. `losses` returns the requests
that ended without a complete answer around planned work.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from tests.support.crashing_parts import FIRST_PART, SHARED_PARTS, make_prompt
from tests.support.simulated_deployment import (
    ROUTE_KINDS,
    ROUTE_TIMEOUTS_SECONDS,
    STABLE_WINDOW_SECONDS,
    Caller,
    Router,
    SimulatedDeployment,
    request_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tests.support.simulated_deployment import RunnerWork

# Pause before a new connection after one could not be made.
RECONNECT_SECONDS = 0.1
# A caller leaves this long after its time limit.
PATIENCE_SECONDS = 1.0
# `lossSlackMs` and the time after the grace period in which requests count.
LOSS_SLACK_SECONDS = 0.2
STOP_WINDOW_SECONDS = 1.0
# `configApplyMs`: requests that were sent up to this long after a reload count.
CONFIG_APPLY_SECONDS = 2.0
# A request that was sent no later than this after the signal may be cut while
# its runner is at work in the last part of the grace period.
EARLY_SECONDS = 3.0
LAST_FRACTION = 1 / 6
# Tolerance between the clocks of caller and router on a time limit.
LIMIT_TOLERANCE_SECONDS = 0.05


class SentRequest:
    """A request on a kept connection. Times are monotonic, in seconds.

    Attributes:
        request_id: Id of the request.
        kind: Name of its route.
        router: Router that it was sent to.
        sent_at_seconds: When its last byte was sent.
        limit_seconds: Its time limit; the timeout of its route is no shorter.
        ended_at_seconds: When its answer or its connection ended.
        outcome: Outcome as by `Caller.send`.
        was_reset: Whether the connection was reset; the router then had not
            read all that was sent.
    """

    __slots__ = (
        "ended_at_seconds",
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
        self.requests: list[SentRequest] = []

    def start(self, count: int) -> None:
        """Starts some callers."""
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._run()))

    async def stop(self) -> None:
        """Ends the callers once their requests are answered."""
        self._is_open = False
        for result in await asyncio.gather(
            *self._tasks, return_exceptions=True
        ):
            if isinstance(result, BaseException):
                raise result

    async def _run(self) -> None:
        """Connects again and again to routers that take connections."""
        while self._is_open:
            routers = [
                router
                for router in self._deployment.routers.values()
                if router.takes_new_connections
            ]
            if routers:
                await self._use_connection(self._rng.choice(routers))
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _use_connection(self, router: Router) -> None:
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
                pause_seconds = self._rng.uniform(
                    0.0, self._longest_pause_seconds
                )
                if await self._is_closed(reader, pause_seconds):
                    return
                if not await self._exchange(router, reader, writer):
                    return
        finally:
            writer.close()

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

    async def _exchange(
        self,
        router: Router,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a request; returns whether the connection can be used again."""
        self._number += 1
        request_id = f"k{self._number}"
        kind = self._rng.choice(self._kinds)
        limit_seconds = ROUTE_TIMEOUTS_SECONDS[kind]
        self._deployment.record_caller(request_id, router)
        request = SentRequest(request_id, kind, router, limit_seconds)
        answer = bytearray()
        is_complete = False
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


class Disruptions:
    """Unplanned disruptions, by what they hit. Times are monotonic.

    What they hit is the address of a router, `store` or `runners`.
    """

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, duration_seconds: float) -> None:
        """Records a disruption that begins now."""
        now = time.monotonic()
        self._spans.setdefault(name, []).append((now, now + duration_seconds))

    def excuse(self, request: SentRequest, *, is_stream: bool) -> bool:
        """Returns whether a disruption excuses the loss of a request.

        The store, and a lost member of a group, excuse only streams.
        """
        names = [request.router.ip]
        if is_stream:
            names += ["store", "runners"]
        begin = request.sent_at_seconds - STABLE_WINDOW_SECONDS
        for name in names:
            for began, ended in self._spans.get(name, ()):
                if ended >= begin and began <= request.ended_at_seconds:
                    return True
        return False


class Loss:
    """A request without a complete answer around planned work of its router.

    Attributes:
        request: The request.
        work_at_seconds: Monotonic time of the signal to stop or to reload.
        excuse: Why it does not count; empty if it does.
    """

    __slots__ = ("excuse", "request", "work_at_seconds")

    def __init__(
        self, request: SentRequest, work_at_seconds: float, excuse: str
    ) -> None:
        self.request = request
        self.work_at_seconds = work_at_seconds
        self.excuse = excuse

    @property
    def sent_after_seconds(self) -> float:
        """Returns when the request was sent, relative to the signal."""
        return self.request.sent_at_seconds - self.work_at_seconds

    @property
    def ended_after_seconds(self) -> float:
        """Returns when the connection ended, relative to the signal."""
        return self.request.ended_at_seconds - self.work_at_seconds

    def __str__(self) -> str:
        request = self.request
        return (
            f"{request.request_id} ({request.kind}) at {request.router.ip} has "
            f"{request.outcome!r}, sent {self.sent_after_seconds:+.2f} s and "
            f"ended {self.ended_after_seconds:+.2f} s after a signal"
        )


def losses(
    deployment: SimulatedDeployment,
    requests: Sequence[SentRequest],
    disruptions: Disruptions,
) -> Iterator[Loss]:
    """Yields the requests that were lost around planned work.

    A request is lost if its connection ends without a complete answer, either
    after the request has reached a runner or later than `LOSS_SLACK_SECONDS`
    after it was read. Losses that do not count are yielded with an excuse.
    """
    for request in requests:
        if request.outcome not in ("cut", "no answer"):
            continue
        work = deployment.work.get(request.request_id, [])
        duration_seconds = request.ended_at_seconds - request.sent_at_seconds
        was_read = not request.was_reset and (
            duration_seconds > LOSS_SLACK_SECONDS
        )
        if not work and not was_read:
            continue
        signalled_at = _planned_work(deployment, request)
        if signalled_at is None:
            continue
        excuse = _excuse(deployment, request, signalled_at, work)
        if not excuse and disruptions.excuse(
            request, is_stream=ROUTE_KINDS[request.kind] == "streaming"
        ):
            excuse = "disruption"
        yield Loss(request, signalled_at, excuse)


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
