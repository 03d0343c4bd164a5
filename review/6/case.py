"""Case 6: the end of a stream is lost and its channel closed.

Runners lose the answers of some streams: they reset the channel before one of
the events, or before the end of the stream. The router resumes the stream at
another runner, which is sound and ends it.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import engine_2 as engine  # noqa: E402
import fleet_2 as fleet  # noqa: E402

# Share of the runners that lose answers, and of the answers that these lose:
# the largest dose of `answer_lost` in the site file.
RUNNER_SHARE = 0.6
LOST_SHARE = 0.4
# Length of a disruption in the site file, how often it comes, and the time
# between two of them.
DISRUPTION_SECONDS = 4.0
DISRUPTIONS = 4
PAUSE_SECONDS = 4.0
# Streams that begin in a second, and events of each: those of `scan-tagging`
# or `grid-check`, twice as often as on the sheet.
STREAMS_PER_SECOND = 20
EVENTS = (4, 5, 6)
# The rule: more than three times.
ALLOWED = 3
ZONES = ["oslo-a", "oslo-b", "oslo-c"]
# End of the id of the request that a channel bears first, which loses nothing.
FIRST = "-first"


class Disruption:
    """Decides which answers are lost.

    Attributes:
        is_on: Whether answers are lost now.
        broken_off: Ids of the streams of which a runner has lost the answer.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.broken_off: set[str] = set()
        self._rng = random.Random(6)

    def choose(self, events: int) -> int | None:
        """Returns how many more events a runner sends; None for all."""
        if not self.is_on or self._rng.random() >= LOST_SHARE:
            return None
        return self._rng.randint(0, events)


class Runner(engine.EngineRunner):
    """A model runner that may lose answers.

    Attributes:
        disruption: Decides which ones; None for a runner that never does.
    """

    disruption: Disruption | None = None

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        # Ids of the streams whose end it does not send.
        self.unended: set[str] = set()

    async def end_stream(
        self, request: fleet.HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Returns whether to write the end; waits for the reset if not."""
        if request.headers["x-request-id"] not in self.unended:
            return True
        await asyncio.sleep(1.0)
        return False

    async def stream(
        self, request: fleet.HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Streams an answer, or resets the channel on the way."""
        request_id = request.headers["x-request-id"]
        sent = None
        is_first = request_id.endswith(FIRST)
        if self.disruption is not None and not is_first:
            last = int(request.headers["x-token-counts"].split(",")[1])
            count = last // engine.TOKENS_PER_EVENT
            sent = self.disruption.choose(count + 1 - self.first_event(request))
        if sent is None:
            return await super().stream(request, writer)
        assert self.disruption is not None
        self.disruption.broken_off.add(request_id)
        self.unended.add(request_id)
        work = asyncio.ensure_future(super().stream(request, writer))
        # Between two events.
        seconds = (sent + 0.5) * engine.TOKENS_PER_EVENT * 0.0078
        await asyncio.wait({work}, timeout=seconds)
        work.cancel()
        self.record.write(
            f"{self.runner_id} resets the channel of {request_id} "
            f"behind {sent} more events"
        )
        writer.transport.abort()
        return False


async def call(
    router: fleet.Router,
    record: fleet.Record,
    request_id: str,
    events: int,
) -> tuple[str, list[int], int, str]:
    """Sends a request for a stream on a channel that is kept.

    The channel has borne another request before.
    """
    reader, writer = await asyncio.open_connection(
        router.ip, router.ports.caller
    )
    try:
        writer.write(engine.stream_request(request_id + FIRST, events=1))
        await engine.read_stream(reader, seconds=8.0)
        writer.write(engine.stream_request(request_id, events=events))
        status, ids, end = await engine.read_stream(reader, seconds=8.0)
    finally:
        writer.close()
    record.write(f"{request_id} of {events} got {status}, {ids}, {end}")
    return request_id, ids, events, end


async def play(
    record: fleet.Record, folder: pathlib.Path, trouble: bool
) -> bool:
    """Plays the case; returns whether the rule held."""
    store = fleet.Store()
    await store.start()
    route = fleet.make_route(
        "draft",
        "cards",
        "streaming",
        timeoutMs=8000,
        resumable=True,
        sticky=True,
        gapAimMs=300,
    )
    config = fleet.make_config(
        5, [route], [engine.make_engine_service("cards")]
    )
    store.put("config", "main", config)
    disruption = Disruption()
    runners: dict[str, engine.EngineRunner] = {}
    for number in range(18):
        zone = ZONES[number // 6]
        runner = Runner(
            store,
            record,
            f"i-{number:02d}",
            fleet=runners,
            service="cards",
            zone=zone,
            domain=f"domain-{zone}",
        )
        if trouble and number % 5 < 5 * RUNNER_SHARE:
            runner.disruption = disruption
        await runner.start()
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
    try:
        for router in routers:
            router.start()
        for router in routers:
            await fleet.wait_until(
                router.is_ready, seconds=20, what="a router is ready"
            )

        async def has_groups() -> bool:
            return sum(r.is_serving for r in runners.values()) >= 4

        await fleet.wait_until(has_groups, seconds=20, what="groups are open")
        # The retry budget has no slack in the first ten seconds of a process.
        await asyncio.sleep(12.0)
        calls = []
        number = 0
        for _ in range(DISRUPTIONS):
            for is_on, seconds in (
                (True, DISRUPTION_SECONDS),
                (False, PAUSE_SECONDS),
            ):
                disruption.is_on = is_on
                record.write(f"answers are lost: {is_on and trouble}")
                for _ in range(int(seconds * STREAMS_PER_SECOND)):
                    number += 1
                    calls.append(
                        asyncio.ensure_future(
                            call(
                                routers[0],
                                record,
                                f"{number:08x}",
                                EVENTS[number % len(EVENTS)],
                            )
                        )
                    )
                    await asyncio.sleep(1 / STREAMS_PER_SECOND)
        results = await asyncio.gather(*calls)
    finally:
        for router in routers:
            router.kill()
        store.close()
    return judge(record, results, disruption)


def judge(
    record: fleet.Record,
    results: list[tuple[str, list[int], int, str]],
    disruption: Disruption,
) -> bool:
    """Counts the streams that a sound runner ended and the router did not."""
    complete = sum(end == "complete" for *_, end in results)
    resumed = 0
    lost = []
    for request_id, _, _, end in results:
        ended = any(f" ended {request_id} " in line for line in record.lines)
        if request_id not in disruption.broken_off or not ended:
            continue
        resumed += 1
        if end != "complete":
            lost.append(request_id)
    record.write(
        f"{len(results)} streams, {complete} complete at the caller, "
        f"{len(disruption.broken_off)} broken off by a runner; {resumed} of "
        f"these ended by a sound runner"
    )
    record.write(
        f"of those {resumed}, the router closed the channel of {len(lost)} "
        f"without the end, allowed are {ALLOWED}: {' '.join(lost)}"
    )
    return len(lost) <= ALLOWED


if __name__ == "__main__":
    sys.exit(fleet.main(FOLDER, play))
