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

from tests.support.simulated_deployment import (
    ROOT,
    Caller,
    Router,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from pathlib import Path

DATA_CENTRES = ("south", "north")
ROUTERS = 14
REQUESTS_PER_SECOND = 25.0
REQUEST_KINDS = ("safe", "pay", "write", "write")

# Upper bound of a graceful stop; the settings allow it 6 s.
STOP_TIMEOUT_SECONDS = 12.0
READY_TIMEOUT_SECONDS = 20.0
MIXED_BUILDS_SECONDS = 3.0
METRICS_TIMEOUT_SECONDS = 5.0
HANDOVER_TIMEOUT_SECONDS = 10.0

# Metrics that the old build may not export yet, as lines of the exposition
# format. All others must be the same.
ADDED_METRICS = frozenset(
    {
        "# TYPE mulberrypaddle_serving_buffer_evictions gauge",
        "# TYPE mulberrypaddle_serving_buffered_bytes gauge",
        "# TYPE mulberrypaddle_serving_config_age_seconds histogram",
        "# TYPE mulberrypaddle_serving_copy_age_seconds gauge",
        "# TYPE mulberrypaddle_serving_runners_leaving gauge",
        "# TYPE mulberrypaddle_serving_runners_paused gauge",
    }
)

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
_FIELD_PATTERN = re.compile(r'(?:^|\s)([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')


def extract_build(revision: str, folder: Path) -> Path:
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
    with tarfile.open(archive) as tar:
        tar.extractall(source, filter="data")
    return source


class UpgradeRun:
    """Upgrades one fleet of routers under traffic.

    Attributes:
        outcomes: Number of the callers' requests, by outcome.
    """

    def __init__(self, seed: int, folder: Path, *, revision: str) -> None:
        self._rng = random.Random(seed)
        self._deployment = SimulatedDeployment(
            folder, seed=seed, data_centres=DATA_CENTRES
        )
        self._old_source = extract_build(revision, folder)
        self._caller = Caller(self._deployment)
        self._request_tasks: set[asyncio.Task[object]] = set()
        self._request_number = 0
        # Log lines by source folder of the build. A router appends to the same
        # file on either build, so that its file holds lines of both.
        self._log_lines: dict[Path, list[str]] = {
            self._old_source: [],
            ROOT: [],
        }
        self._log_offsets: dict[Path, int] = {}
        self.outcomes = self._caller.outcomes

    async def run(self) -> list[str]:
        """Runs the upgrade and returns the breached invariants."""
        deployment = self._deployment
        try:
            for _ in range(3):
                deployment.add_runner("stock")
            for number in range(10):
                deployment.add_runner("cards", f"d{number // 5}")
            for number in range(ROUTERS):
                deployment.add_router(
                    number + 1,
                    data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                    source=self._old_source,
                )
            await deployment.wait_until_ready(READY_TIMEOUT_SECONDS)
            load = asyncio.ensure_future(self._generate_load())
            try:
                await self._upgrade_routers()
            finally:
                load.cancel()
            await asyncio.gather(*self._request_tasks, return_exceptions=True)
            self._check_logs()
            return deployment.breaches
        finally:
            await deployment.close()

    async def _upgrade_routers(self) -> None:
        """Moves all routers to this build, with handovers in between."""
        routers = list(self._deployment.routers.values())
        self._rng.shuffle(routers)
        # Owners of duties are upgraded last, so that both builds run while
        # the old one owns the duties.
        owners = self._past_owners()
        routers.sort(key=lambda router: router not in owners)
        old_routers = routers[: ROUTERS // 2]
        for router in routers[ROUTERS // 2 :]:
            await self._restart_on_build(router, ROOT)
        await asyncio.sleep(MIXED_BUILDS_SECONDS)
        await self._compare_metrics(old_routers[0], routers[-1])
        await self._check_handover(old_routers, to=ROOT)
        self._crash_group_member()
        await asyncio.sleep(MIXED_BUILDS_SECONDS)
        await self._check_handover(routers[ROUTERS // 2 :], to=self._old_source)
        self._crash_group_member()
        await asyncio.sleep(MIXED_BUILDS_SECONDS)
        for router in routers:
            if router.source != ROOT:
                await self._restart_on_build(router, ROOT)
        await self._check_all_served()

    def _past_owners(self) -> list[Router]:
        """Returns the routers that have ever acquired a duty."""
        return [
            router
            for router in self._deployment.routers.values()
            if b"event=ownership_taken" in router.log_path.read_bytes()
        ]

    def _crash_group_member(self) -> None:
        """Crashes a runner of a group, so that the group needs a repair."""
        members = [
            runner
            for runner in self._deployment.runners.values()
            if runner.alive and runner.group is not None
        ]
        lost = self._rng.choice(members)
        lost.crash()
        self._deployment.add_runner(lost.service, lost.domain)

    async def _restart_on_build(self, router: Router, source: Path) -> None:
        """Stops a router gracefully and restarts it on another build."""
        await self._stop_gracefully(router)
        router.source = source
        router.start()
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while not await router.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"router {router.ip} did not become ready")
            await asyncio.sleep(0.1)

    async def _stop_gracefully(self, router: Router) -> None:
        """Stops a router gracefully; one that exceeds the time is killed."""
        self._read_new_lines(router)
        router.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_SECONDS
        while router.alive:
            if time.monotonic() > end:
                self._deployment.breaches.append(
                    f"router {router.ip} did not stop in time"
                )
                router.kill()
            await asyncio.sleep(0.05)
        self._read_new_lines(router)

    async def _check_handover(self, routers: list[Router], *, to: Path) -> None:
        """Checks that a build acquires the duties of the other one.

        Args:
            routers: All routers of the other build; they are stopped, and
                started again at the end.
            to: Source folder of the build that must acquire the duties.
        """
        self._read_logs()
        start = len(self._log_lines[to])
        owner_builds = self._last_owner_builds()
        other_duties = {
            name
            for name, source in owner_builds.items()
            if source not in (to, None)
        }
        await asyncio.gather(
            *(self._stop_gracefully(router) for router in routers)
        )
        end = time.monotonic() + HANDOVER_TIMEOUT_SECONDS
        while time.monotonic() < end:
            self._read_logs()
            acquired = {
                fields.get("duty")
                for fields in map(_parse_fields, self._log_lines[to][start:])
                if fields.get("event") == "ownership_taken"
            }
            if other_duties <= acquired:
                break
            await asyncio.sleep(0.1)
        else:
            self._deployment.breaches.append(
                f"of the other build's duties {sorted(other_duties)} only "
                f"{sorted(map(str, acquired))} were acquired"
            )
        print(f"  duties handed over: {sorted(other_duties)}", flush=True)
        for router in routers:
            router.start()
        await self._deployment.wait_until_ready(READY_TIMEOUT_SECONDS)

    def _last_owner_builds(self) -> dict[str, Path | None]:
        """Returns the build that last acquired each duty, by duty."""
        latest: dict[str, tuple[str, Path]] = {}
        for source, lines in self._log_lines.items():
            for fields in map(_parse_fields, lines):
                if fields.get("event") != "ownership_taken":
                    continue
                entry = (fields["at"], source)
                name = fields["duty"]
                latest[name] = max(
                    latest.get(name, entry), entry, key=_logged_at
                )
        return {name: source for name, (_, source) in latest.items()}

    def _read_logs(self) -> None:
        """Reads the new lines of all routers' logs."""
        for router in self._deployment.routers.values():
            self._read_new_lines(router)

    def _read_new_lines(self, router: Router) -> None:
        """Reads the complete lines logged by a router since the last call."""
        data = router.log_path.read_bytes()
        start = self._log_offsets.get(router.log_path, 0)
        end = data.rfind(b"\n") + 1
        self._log_offsets[router.log_path] = max(start, end)
        text = data[start:end].decode(errors="replace")
        self._log_lines[router.source].extend(text.splitlines())

    def _check_logs(self) -> None:
        """Checks the logs of both builds.

        An event of `UNREADABLE_EVENTS` or an error is a breach. Differences
        in log events and their fields are only printed, since a run need not
        log each event in both builds.
        """
        self._read_logs()
        events_by_build: list[dict[str, set[str]]] = []
        for source, lines in self._log_lines.items():
            events: dict[str, set[str]] = {}
            for fields in map(_parse_fields, lines):
                event = fields.get("event", "")
                events.setdefault(event, set()).update(fields)
                if event in UNREADABLE_EVENTS or fields.get("level") == "ERROR":
                    build = "old" if source == self._old_source else "new"
                    self._deployment.breaches.append(f"{build} build: {fields}")
            events_by_build.append(events)
        old, new = events_by_build
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
        """Checks that both builds export the same metrics and labels.

        The new build may export `ADDED_METRICS` as well.
        """
        old_labels = await self._metric_labels(old)
        new_labels = await self._metric_labels(new)
        differing = sorted(
            line
            for line in old_labels.keys() ^ new_labels.keys()
            if line in old_labels or line not in ADDED_METRICS
        )
        for name in old_labels.keys() & new_labels.keys():
            # A metric without samples exports no labels.
            have_samples = old_labels[name] and new_labels[name]
            if have_samples and old_labels[name] != new_labels[name]:
                differing.append(name)
        if differing:
            self._deployment.breaches.append(f"metrics differ: {differing}")
        print(f"  metrics in both builds: {len(old_labels)}", flush=True)

    async def _metric_labels(self, router: Router) -> dict[str, set[str]]:
        """Returns the label names of each metric, by its `# TYPE` line."""
        # The readiness port serves the metrics too.
        reader, writer = await asyncio.open_connection(
            router.ip, self._deployment.ready_port
        )
        try:
            writer.write(b"GET /metrics HTTP/1.0\r\nHost: metrics\r\n\r\n")
            data = await asyncio.wait_for(
                reader.read(), METRICS_TIMEOUT_SECONDS
            )
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

    async def _generate_load(self) -> None:
        """Sends requests to random running routers until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            routers = [r for r in self._deployment.routers.values() if r.alive]
            if not routers:
                continue
            task: asyncio.Task[object] = asyncio.ensure_future(
                self._send(self._rng.choice(routers))
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def _send(self, router: Router) -> str:
        """Sends a request of a random kind and returns its outcome."""
        self._request_number += 1
        return await self._caller.send(
            router, self._rng.choice(REQUEST_KINDS), f"u{self._request_number}"
        )

    async def _check_all_served(self) -> None:
        """Checks that each router serves each kind of request."""
        for router in self._deployment.routers.values():
            for kind in sorted(set(REQUEST_KINDS)):
                self._request_number += 1
                outcome = await self._caller.send(
                    router, kind, f"u{self._request_number}"
                )
                if outcome != "served":
                    self._deployment.breaches.append(
                        f"{router.ip} after the upgrade: {kind} {outcome}"
                    )


def _logged_at(entry: tuple[str, Path]) -> str:
    """Returns the log time of a duty's acquisition."""
    return entry[0]


def _parse_fields(line: str) -> dict[str, str]:
    """Parses the `name=value` fields of a log line."""
    return {
        name: value.strip('"') for name, value in _FIELD_PATTERN.findall(line)
    }
