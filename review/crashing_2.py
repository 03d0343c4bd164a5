"""Stand-ins for requests that crash the runners which run them."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import fleet_2 as fleet

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

ZONES = ["oslo-a", "oslo-b", "oslo-c"]
# Time after which a crashed runner is back, under another id and address.
RESTART_SECONDS = 4.0
# `stableWindowMs`, and the retries that the rule allows.
STABLE_WINDOW_SECONDS = 3.0
ALLOWED = 3
# Body of the request that crashes runners.
CRASHING_BODY = b'{"token":"7f3a","spend":1}'


class CrashFleet:
    """The runners of a plain service, of which some requests crash some.

    Attributes:
        runners: The runners that live.
        arrivals: Ids of the crashing requests that reached a runner, with the
            seconds of the record at which they did.
    """

    def __init__(
        self,
        store: fleet.Store,
        record: fleet.Record,
        *,
        goes_dark: bool,
        trouble: bool,
    ) -> None:
        self.store = store
        self.record = record
        self.goes_dark = goes_dark
        self.trouble = trouble
        self.runners: dict[str, CrashingRunner] = {}
        self.arrivals: list[tuple[str, float]] = []
        self._count = 0

    async def add(self, zone: str) -> None:
        """Starts a runner."""
        self._count += 1
        runner = CrashingRunner(self, f"i-{self._count:03d}", zone)
        self.runners[runner.runner_id] = runner
        await runner.listen()

    def replace(self, runner: CrashingRunner) -> None:
        """Starts another runner in the place of one, some seconds later."""
        self.runners.pop(runner.runner_id, None)
        asyncio.get_running_loop().call_later(
            RESTART_SECONDS,
            lambda: asyncio.ensure_future(self.add(runner.zone)),
        )


class CrashingRunner(fleet.Runner):
    """A runner that the crashing request crashes as it begins to run it."""

    def __init__(self, crash_fleet: CrashFleet, runner_id: str, zone: str):
        super().__init__(
            crash_fleet.store,
            crash_fleet.record,
            runner_id,
            service="app",
            zone=zone,
        )
        self.crash_fleet = crash_fleet
        self._socket = socket.socket()
        self._fillers: list[socket.socket] = []

    async def listen(self) -> None:
        """Starts to listen, with a short queue of new connections."""
        self._socket.bind(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket, backlog=1, limit=2**20
        )
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def run(
        self, request: fleet.HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request, or crashes."""
        if request.body != CRASHING_BODY:
            return await super().run(request, writer)
        request_id = request.headers["x-request-id"]
        crash_fleet = self.crash_fleet
        crash_fleet.arrivals.append((request_id, self.record.now()))
        if not crash_fleet.trouble:
            return await super().run(request, writer)
        await asyncio.sleep(0.01)
        crash_fleet.replace(self)
        if not crash_fleet.goes_dark:
            self.record.write(f"{self.runner_id} crashes by {request_id}")
            self.crash()
            return False
        self.record.write(f"{self.runner_id} goes dark by {request_id}")
        self.go_dark()
        await asyncio.sleep(60.0)
        return False

    def go_dark(self) -> None:
        """Says nothing more: the machine is down, and nothing is reset.

        New connections hang, as their packets go unanswered: the queue of
        those that were not accepted is full.
        """
        self.is_alive = False
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        for task in self._tasks:
            task.cancel()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)
        loop.call_later(
            fleet.SILENT_INTERVALS * fleet.HEARTBEAT_SECONDS,
            self.store.remove,
            "servers",
            self.runner_id,
        )


async def play(
    record: fleet.Record,
    folder: pathlib.Path,
    trouble: bool,
    *,
    goes_dark: bool,
    target_of: Callable[[int], str],
    seconds: float,
    interval_seconds: float,
) -> bool:
    """Sends the crashing request again and again; returns whether it held.

    Args:
        record: What was sent, answered and run.
        folder: Folder for the settings and logs of the routers.
        trouble: Whether the request crashes runners.
        goes_dark: Whether a crashed runner falls silent; its connections are
            reset otherwise.
        target_of: Returns the path and query of each of the requests.
        seconds: How long the request comes.
        interval_seconds: Time between two of them.
    """
    store = fleet.Store()
    await store.start()
    config = fleet.make_config(
        5,
        [fleet.make_route("redeem", "app", "unsafe")],
        [{"name": "app", "healthPath": "/health"}],
    )
    store.put("config", "main", config)
    crash_fleet = CrashFleet(
        store, record, goes_dark=goes_dark, trouble=trouble
    )
    for zone in ZONES * 2:
        await crash_fleet.add(zone)
    ports = fleet.Ports()
    routers = [
        fleet.Router(
            number,
            folder=folder,
            ports=ports,
            store_port=store.port,
            zone=ZONES[number - 1],
            zones=ZONES,
            routers=3,
        )
        for number in (1, 2, 3)
    ]
    sent_at: dict[str, float] = {}

    async def send(number: int) -> None:
        """Sends the request once, and records its answer."""
        router = routers[number % 3]
        request_id = f"{number:016x}"
        sent_at[request_id] = record.now()
        try:
            answer = await fleet.exchange(
                router.ip,
                ports.caller,
                fleet.request_bytes(
                    "POST",
                    target_of(number),
                    request_id,
                    body=CRASHING_BODY,
                    deadline_ms=2000,
                ),
                seconds=6.0,
            )
        except (OSError, TimeoutError) as error:
            record.write(f"{request_id} got {type(error).__name__}")
            return
        record.write(f"{request_id} got {fleet.status_of(answer)}")

    try:
        for router in routers:
            router.start()
        for router in routers:
            await fleet.wait_until(
                router.is_ready, seconds=20, what="a router is ready"
            )
        await asyncio.sleep(5.0)
        calls = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            calls.append(asyncio.ensure_future(send(len(calls))))
            await asyncio.sleep(interval_seconds)
        await asyncio.gather(*calls)
    finally:
        for router in routers:
            router.kill()
        store.close()
    return judge(crash_fleet, sent_at)


def judge(crash_fleet: CrashFleet, sent_at: dict[str, float]) -> bool:
    """Counts the retries that reached runners after the third crash."""
    record = crash_fleet.record
    arrivals = crash_fleet.arrivals
    record.write(f"{len(sent_at)} sent, {len(arrivals)} reached a runner")
    if not crash_fleet.trouble or len(arrivals) < ALLOWED:
        return True
    counted_from = arrivals[2][1] + STABLE_WINDOW_SECONDS
    late = [
        request_id
        for request_id, _ in arrivals
        if sent_at[request_id] > counted_from
    ]
    record.write(
        f"the third crash was at {arrivals[2][1]:.1f} s; {len(late)} retries "
        f"that were sent later than {counted_from:.1f} s reached runners, "
        f"allowed are {ALLOWED}"
    )
    return len(late) <= ALLOWED
