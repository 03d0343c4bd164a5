"""Runs routers of two builds side by side and checks that they agree.

The fleet starts on the old build, which writes the store. Its routers are then
restarted on the new build one after the other under traffic, so that both
builds run at once for a while. The duties (leadership of one data centre's
groups, held by a lease) move from the old build to the new one and back. The
fleet has two data centres and more routers than one full mesh holds, so that
relays aggregate the heartbeats.
"""

from __future__ import annotations

import asyncio
import random
import re
import signal
import subprocess
import tarfile
import time
from typing import TYPE_CHECKING

from tests.support.platform_world import ROOT, Caller, Router, World

if TYPE_CHECKING:
    from pathlib import Path

DATA_CENTRES = ("south", "north")
ROUTERS = 14
REQUESTS_PER_SECOND = 25.0
KINDS = ("safe", "pay", "write", "write")

# Upper bound of a graceful stop; the settings allow it 6 s.
STOP_SECONDS = 12.0
READY_SECONDS = 20.0
BESIDE_SECONDS = 3.0
ANSWER_SECONDS = 5.0
HAND_OVER_SECONDS = 10.0

# Log events of a router that could not decode a message or stored object.
UNREADABLE_EVENTS = frozenset(
    {
        "unreadable_beat",
        "unreadable_changes",
        "unreadable_object",
        "unreadable_event",
        "unreadable_configuration",
        "unreadable_runner",
        "exchange_failed",
    }
)
_FIELD = re.compile(r'(?:^|\s)([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')


def export_build(revision: str, folder: Path) -> Path:
    """Extracts the package of a git revision into `folder`.

    Returns:
        The folder from which routers of that revision can be started.

    Raises:
        subprocess.CalledProcessError: If the revision does not exist.
    """
    source = folder / "old-build"
    archive = folder / "old-build.tar"
    subprocess.run(
        ["git", "archive", f"--output={archive}", revision, "mulberrypaddle"],
        cwd=ROOT,
        check=True,
    )
    with tarfile.open(archive) as packed:
        packed.extractall(source, filter="data")
    return source


class UpgradeRun:
    """Upgrades one fleet of routers under traffic.

    Attributes:
        outcomes: Number of the callers' requests, by outcome.
    """

    def __init__(self, seed: int, folder: Path, *, revision: str) -> None:
        self._rng = random.Random(seed)
        self._world = World(folder, seed=seed, data_centres=DATA_CENTRES)
        self._old = export_build(revision, folder)
        self._caller = Caller(self._world)
        self._tasks: set[asyncio.Task[object]] = set()
        self._number = 0
        # Log lines by source folder of the build. A router appends to the same
        # file on either build, so that its file holds lines of both.
        self._lines: dict[Path, list[str]] = {self._old: [], ROOT: []}
        self._read_to: dict[Path, int] = {}
        self.outcomes = self._caller.outcomes

    async def run(self) -> list[str]:
        """Runs the upgrade and returns the breached invariants."""
        world = self._world
        try:
            for _ in range(3):
                world.add_runner("stock")
            for number in range(10):
                world.add_runner("cards", f"d{number // 5}")
            for number in range(ROUTERS):
                world.add_router(
                    number + 1,
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    source=self._old,
                )
            await world.until_ready(READY_SECONDS)
            load = asyncio.ensure_future(self._load())
            try:
                await self._upgrade()
            finally:
                load.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self._check_logs()
            return world.breaches
        finally:
            await world.close()

    async def _upgrade(self) -> None:
        """Moves all routers to this build, with handovers in between."""
        routers = list(self._world.routers.values())
        self._rng.shuffle(routers)
        # Owners of duties are upgraded last, so that both builds run while
        # the old one owns the duties.
        owners = self._routers_that_took()
        routers.sort(key=lambda router: router not in owners)
        old_side = routers[: ROUTERS // 2]
        for router in routers[ROUTERS // 2 :]:
            await self._replace(router, ROOT)
        await asyncio.sleep(BESIDE_SECONDS)
        await self._compare_metrics(old_side[0], routers[-1])
        await self._pass_duties(old_side, to=ROOT)
        self._lose_runner()
        await asyncio.sleep(BESIDE_SECONDS)
        await self._pass_duties(routers[ROUTERS // 2 :], to=self._old)
        self._lose_runner()
        await asyncio.sleep(BESIDE_SECONDS)
        for router in routers:
            if router.source != ROOT:
                await self._replace(router, ROOT)
        await self._check_serves()

    def _routers_that_took(self) -> list[Router]:
        """Returns the routers that have ever acquired a duty."""
        return [
            router
            for router in self._world.routers.values()
            if b"event=ownership_taken" in router.log_path.read_bytes()
        ]

    def _lose_runner(self) -> None:
        """Crashes a runner of a group, so that the group needs a repair."""
        members = [
            runner
            for runner in self._world.runners.values()
            if runner.alive and runner.group is not None
        ]
        lost = self._rng.choice(members)
        lost.crash()
        self._world.add_runner(lost.service, lost.domain)

    async def _replace(self, router: Router, source: Path) -> None:
        """Stops a router gracefully and restarts it on another build."""
        await self._stop(router)
        router.source = source
        router.start()
        end = time.monotonic() + READY_SECONDS
        while not await router.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"router {router.ip} did not become ready")
            await asyncio.sleep(0.1)

    async def _stop(self, router: Router) -> None:
        """Stops a router gracefully; one that exceeds the time is killed."""
        self._read_log(router)
        router.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_SECONDS
        while router.alive:
            if time.monotonic() > end:
                self._world.breaches.append(f"router {router.ip} did not stop in time")
                router.kill()
            await asyncio.sleep(0.05)
        self._read_log(router)

    async def _pass_duties(self, routers: list[Router], *, to: Path) -> None:
        """Checks that a build acquires the duties of the other one.

        Args:
            routers: All routers of the other build; they are stopped, and
                started again at the end.
            to: Source folder of the build that must acquire the duties.
        """
        self._read_logs()
        start = len(self._lines[to])
        held = self._last_owners()
        other = {
            name for name, source in held.items() if source not in (to, None)
        }
        await asyncio.gather(*(self._stop(router) for router in routers))
        end = time.monotonic() + HAND_OVER_SECONDS
        while time.monotonic() < end:
            self._read_logs()
            taken = {
                fields.get("duty")
                for fields in map(_fields, self._lines[to][start:])
                if fields.get("event") == "ownership_taken"
            }
            if other <= taken:
                break
            await asyncio.sleep(0.1)
        else:
            self._world.breaches.append(
                f"duties {sorted(other)} of the other build were not all "
                f"acquired, only {sorted(map(str, taken))}"
            )
        print(f"  duties handed over: {sorted(other)}", flush=True)
        for router in routers:
            router.start()
        await self._world.until_ready(READY_SECONDS)

    def _last_owners(self) -> dict[str, Path | None]:
        """Returns the build that last acquired each duty, by duty."""
        latest: dict[str, tuple[str, Path]] = {}
        for source, lines in self._lines.items():
            for fields in map(_fields, lines):
                if fields.get("event") != "ownership_taken":
                    continue
                entry = (fields["at"], source)
                name = fields["duty"]
                latest[name] = max(latest.get(name, entry), entry, key=_first)
        return {name: source for name, (_, source) in latest.items()}

    def _read_logs(self) -> None:
        for router in self._world.routers.values():
            self._read_log(router)

    def _read_log(self, router: Router) -> None:
        """Reads the complete lines added to a router's log since the last call."""
        data = router.log_path.read_bytes()
        start = self._read_to.get(router.log_path, 0)
        end = data.rfind(b"\n") + 1
        self._read_to[router.log_path] = max(start, end)
        text = data[start:end].decode(errors="replace")
        self._lines[router.source].extend(text.splitlines())

    def _check_logs(self) -> None:
        """Checks the logs of both builds.

        An event of `UNREADABLE_EVENTS` or an error is a breach. Differences
        in log events and their fields are only printed, since a run need not
        log each event in both builds.
        """
        self._read_logs()
        shown: list[dict[str, set[str]]] = []
        for source, lines in self._lines.items():
            events: dict[str, set[str]] = {}
            for fields in map(_fields, lines):
                event = fields.get("event", "")
                events.setdefault(event, set()).update(fields)
                if event in UNREADABLE_EVENTS or fields.get("level") == "ERROR":
                    build = "old" if source == self._old else "new"
                    self._world.breaches.append(f"{build} build: {fields}")
            shown.append(events)
        old, new = shown
        for event in sorted(old.keys() & new.keys()):
            if old[event] != new[event]:
                print(
                    f"  log fields of {event} in one build only: "
                    f"{sorted(old[event] ^ new[event])}"
                )
        print(
            f"  log events in both builds: {len(old.keys() & new.keys())}, "
            f"in the old one only: {sorted(old.keys() - new.keys())}, "
            f"in the new one only: {sorted(new.keys() - old.keys())}",
            flush=True,
        )

    async def _compare_metrics(self, old: Router, new: Router) -> None:
        """Checks that both builds export the same metrics and labels."""
        old_labels = await self._metric_labels(old)
        new_labels = await self._metric_labels(new)
        differing = sorted(old_labels.keys() ^ new_labels.keys())
        for name in old_labels.keys() & new_labels.keys():
            # A metric without samples exports no labels.
            both = old_labels[name] and new_labels[name]
            if both and old_labels[name] != new_labels[name]:
                differing.append(name)
        if differing:
            self._world.breaches.append(f"metrics differ: {differing}")
        print(f"  metrics in both builds: {len(old_labels)}", flush=True)

    async def _metric_labels(self, router: Router) -> dict[str, set[str]]:
        """Returns the label names of a router's metrics, by their `# TYPE` line."""
        # The readiness port serves the metrics too.
        reader, writer = await asyncio.open_connection(
            router.ip, self._world.ready_port
        )
        try:
            writer.write(b"GET /metrics HTTP/1.0\r\nHost: metrics\r\n\r\n")
            data = await asyncio.wait_for(reader.read(), ANSWER_SECONDS)
        finally:
            writer.close()
        labels: dict[str, set[str]] = {}
        current: set[str] = set()
        for line in data.partition(b"\r\n\r\n")[2].decode().splitlines():
            if line.startswith("# TYPE ") and "_created " in line:
                # Exported by the library only after the first sample.
                current = set()
            elif line.startswith("# TYPE "):
                current = labels.setdefault(line, set())
            named = re.match(r"(\w+)\{([^}]*)\}", line)
            if named:
                keys = ",".join(re.findall(r"(\w+)=", named[2]))
                current.add(f"{named[1]}: {keys}")
        return labels

    async def _load(self) -> None:
        """Sends requests to random running routers until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            routers = [r for r in self._world.routers.values() if r.alive]
            if not routers:
                continue
            task: asyncio.Task[object] = asyncio.ensure_future(
                self._send(self._rng.choice(routers))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, router: Router) -> str:
        self._number += 1
        return await self._caller.send(
            router, self._rng.choice(KINDS), f"u{self._number}"
        )

    async def _check_serves(self) -> None:
        """Checks that each router serves each kind of request."""
        for router in self._world.routers.values():
            for kind in sorted(set(KINDS)):
                self._number += 1
                outcome = await self._caller.send(
                    router, kind, f"u{self._number}"
                )
                if outcome != "served":
                    self._world.breaches.append(
                        f"{router.ip} after the upgrade: {kind} {outcome}"
                    )


def _first(entry: tuple[str, Path]) -> str:
    return entry[0]


def _fields(line: str) -> dict[str, str]:
    """Parses the `name=value` fields of a log line."""
    return {name: value.strip('"') for name, value in _FIELD.findall(line)}
