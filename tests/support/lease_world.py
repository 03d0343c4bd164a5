"""Processes that acquire, renew and lose one duty, on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving.blackboard import Blackboard
from mulberrypaddle.serving.duty_manager import DutyManager
from mulberrypaddle.serving.relays import Relays
from tests.serving.test_digest import make_heartbeat
from tests.support.front_end_harness import make_settings
from tests.support.lease_store import LeaseObjects, LeaseStore
from tests.support.virtual_time import run_virtual, virtual_lease_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.serving.heartbeat import Heartbeat

DUTY = "south"
TICK_SECONDS = 0.1


class _Peers:
    """What a process knows of the other routers.

    Attributes:
        incarnation: Id of the process.
        ended: Processes that are known to have ended.
        relays: Relays as the process knows them.
    """

    uses_relays = False

    def __init__(self, incarnation: str, ip: str) -> None:
        self.incarnation = incarnation
        self.ended: set[str] = set()
        self.relays = Relays(DUTY, ip=ip, started_at_seconds=0.0)

    def is_superseded(self, incarnation: str) -> bool:
        return incarnation in self.ended

    def count_direct_routers(self) -> int:
        return len(LeaseWorld.VMS)

    def should_yield_duties(self) -> bool:
        return False

    def may_acquire_duty(self) -> bool:
        return True

    def has_remote_relay(self, data_centre: str) -> bool:
        return False


class LeaseProcess:
    """One process of a router.

    Attributes:
        vm: Number of its VM.
        incarnation: Id of the process.
        store: The store as the process reaches it.
        manager: Its duty manager.
        deaf: Whether it receives no heartbeats.
    """

    def __init__(self, world: LeaseWorld, vm: int, incarnation: str) -> None:
        settings = make_settings(ip=f"127.0.0.{vm}")
        settings.node = f"router-{vm}"
        rng = random.Random(f"{world.seed} {incarnation}")
        board = Blackboard(
            settings,
            header_codec=PlatformHeaderCodec(),
            client=None,  # type: ignore[arg-type]
            rng=rng,
        )
        self.vm = vm
        self.incarnation = incarnation
        self.deaf = False
        self.store = LeaseStore(world.objects, rng)
        self._peers = _Peers(incarnation, settings.ip)
        self.manager = DutyManager(
            board,
            self.store,
            self._peers,  # type: ignore[arg-type]
        )
        self.manager.on_acquired = lambda: world.record_acquired(self)
        self._tasks = [
            asyncio.ensure_future(self.manager.run()),
            asyncio.ensure_future(self._run_ticks(world)),
        ]

    async def _run_ticks(self, world: LeaseWorld) -> None:
        """Sends heartbeats and issues an epoch while it owns the duty."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.manager.tick()
            world.send_heartbeat(self)
            if self.manager.holds_any_lease():
                world.record_epoch(self)

    def make_heartbeat(self) -> Heartbeat:
        """Returns a heartbeat with its lease, if it has one."""
        manager = self.manager
        age_ms = min(60_000, int(manager.store_call_age_seconds() * 1000))
        return make_heartbeat(
            f"router-{self.vm}",
            incarnation=self.incarnation,
            claims=manager.claims(),
            resigned={self.incarnation: manager.resigned()},
            store_sight=int(manager.store_reachability()),
            store_sight_age_ms=age_ms,
            asks_for_store=manager.renewal_overdue,
        )

    def receive(self, heartbeat: Heartbeat, former: str) -> None:
        """Handles a heartbeat of a process that replaced a former one."""
        if heartbeat.incarnation not in self._peers.ended and not self.deaf:
            self._peers.ended.add(former)
            self.manager.handle_heartbeat(heartbeat)

    async def release(self) -> None:
        """Releases the duty."""
        await self.manager.release_all()

    def kill(self) -> None:
        """Ends the process; its writes may still take effect."""
        for task in self._tasks:
            task.cancel()


class LeaseWorld:
    """A store and the processes of some VMs, one after the other on each.

    Attributes:
        seed: Seed of the random choices.
        objects: Objects of the store.
        processes: The running process of each VM.
        acquired: Fencing tokens in the order in which they were acquired.
        issued: Fencing tokens and epochs in the order of their issue.
        max_owners: Largest number of processes with a valid lease at once.
    """

    VMS = (1, 2, 3)

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.objects = LeaseObjects()
        self.processes: dict[int, LeaseProcess] = {}
        self.acquired: list[int] = []
        self.issued: list[tuple[int, int]] = []
        self.max_owners = 0
        self._starts = 0
        self._former: dict[int, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, vm: int) -> LeaseProcess:
        """Starts a process on a VM in place of the one that runs there."""
        old = self.processes.get(vm)
        if old is not None:
            old.kill()
            self._former[vm] = old.incarnation
        self._starts += 1
        self.processes[vm] = LeaseProcess(self, vm, f"process-{self._starts}")
        return self.processes[vm]

    def send_heartbeat(self, sender: LeaseProcess) -> None:
        """Delivers a heartbeat to all other processes."""
        heartbeat = sender.make_heartbeat()
        for process in self.processes.values():
            if process is not sender:
                process.receive(heartbeat, self._former.get(sender.vm, ""))

    def spawn_release(self, process: LeaseProcess) -> None:
        """Makes a process release the duty without waiting for it."""
        task = asyncio.ensure_future(process.release())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def owner(self) -> LeaseProcess | None:
        """Returns a process with a valid lease, if there is one."""
        for process in self.processes.values():
            if process.manager.holds_any_lease():
                return process
        return None

    async def wait_for_owner(self) -> LeaseProcess:
        """Waits until a process owns the duty."""
        while True:
            owner = self.owner()
            if owner is not None:
                return owner
            await asyncio.sleep(TICK_SECONDS)

    def record_acquired(self, process: LeaseProcess) -> None:
        """Records the fencing token that a process acquired."""
        self.acquired.append(process.manager.fences()[DUTY])

    def record_epoch(self, process: LeaseProcess) -> None:
        """Records an epoch that an owner issues."""
        owners = sum(
            other.manager.holds_any_lease() for other in self.processes.values()
        )
        self.max_owners = max(self.max_owners, owners)
        fence = process.manager.fences()[DUTY]
        self.issued.append((fence, process.manager.next_epoch(DUTY)))

    def close(self) -> None:
        """Ends all processes."""
        for process in self.processes.values():
            process.kill()


def run_lease_world(
    scenario: Callable[[LeaseWorld], Awaitable[None]], *, seed: int = 1
) -> LeaseWorld:
    """Runs a scenario with a process on each VM, and returns the world."""

    async def run_scenario() -> LeaseWorld:
        with virtual_lease_clock():
            world = LeaseWorld(seed)
            for vm in LeaseWorld.VMS:
                world.start(vm)
            await scenario(world)
            world.close()
            return world

    world: LeaseWorld = run_virtual(run_scenario())
    return world
