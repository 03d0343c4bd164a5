"""One router process: its parts, its start and its stop."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.serving.board import ServingBoard
from mulberrypaddle.serving.door import Door
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.feed import Feed, Update
from mulberrypaddle.serving.fitness import Fitness
from mulberrypaddle.serving.group_control import GroupControl
from mulberrypaddle.serving.metrics import watch_board
from mulberrypaddle.serving.owner_loop import OwnerLoop
from mulberrypaddle.serving.peer import Claim
from mulberrypaddle.serving.peers import BEAT_SECONDS, Peers
from mulberrypaddle.serving.readiness import METRICS_PORT, ReadinessServer
from mulberrypaddle.serving.relays import MOST_IN_MESH
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import NodeSettings
    from mulberrypaddle.serving.dialect import Dialect
    from mulberrypaddle.serving.documents import Decoder
    from mulberrypaddle.serving.runner_control import RunnerControl
    from mulberrypaddle.serving.store import ObjectStore

# Pause between two watches of the runners: changes come together, and each
# watch is a call that is paid for. The owner of the groups looks more often.
RUNNERS_PAUSE_SECONDS = 0.4
OWNER_RUNNERS_PAUSE_SECONDS = 0.12

# Longest wait of one watch. The owner finds out soon that the store has gone
# silent on it; the others learn from the owner that they are behind.
OWNER_WAIT_SECONDS = 1.5
WAIT_SECONDS = 8.0

# Time after a start in which collections may come from another router: until a
# first answer, and once one was heard that has them. When the whole system
# starts, no caller waits yet.
FIRST_ANSWER_SECONDS = 0.15
HANDED_OVER_SECONDS = 0.6
FIRST_START_SECONDS = 2.5

# Pause between two watches of what must be in force at once.
URGENT_PAUSE_SECONDS = 0.05

# Time after the signal to stop in which callers are still led here: two
# questions for readiness, a second apart, and one on its way. Of what comes
# later, only requests are taken that end in time for certain.
LAST_CALLERS_SECONDS = 2.8

# Left of the grace at the end for handing over and closing.
STOP_MARGIN_SECONDS = 0.7

# Time without a new request after which a process that stops counts as left by
# its callers: connections that it has not read yet may hold some.
STOP_QUIET_SECONDS = 0.3

# Pause between two looks at what is still in hand while stopping.
STOP_LOOK_SECONDS = 0.05


class ServingRouter:
    """The parts of one router process."""

    def __init__(
        self,
        settings: NodeSettings,
        *,
        store: ObjectStore,
        decoder: Decoder,
        dialect: Dialect,
        control: RunnerControl,
    ) -> None:
        self._settings = settings
        self._store = store
        self._decoder = decoder
        self._stop_asked = asyncio.Event()
        self.board = ServingBoard(
            settings,
            dialect=dialect,
            client=make_client(),
            rng=random.Random(),
        )
        self._config_feed = self._make_feed(
            Collection.CONFIGURATION, self._take_config, _urgent_pause
        )
        self._evacuation_feed = self._make_feed(
            Collection.EVACUATIONS, self._take_evacuations, _urgent_pause
        )
        self._runner_feed = self._make_feed(
            Collection.RUNNERS, self._take_runners, self._runners_pause
        )
        feeds = [self._config_feed, self._evacuation_feed, self._runner_feed]
        self._feeds = feeds
        for feed in feeds:
            feed.on_history_gone = self._list_all
        self._peers = Peers(self.board, feeds)
        self._owner = OwnerLoop(self.board, store, self._peers)
        self._groups = GroupControl(
            self.board, control=control, owner=self._owner
        )
        # A watch from before, on which the store may have fallen silent, would
        # hide changes from all routers that rely on the owner.
        self._owner.on_taken = self._list_if_reader
        self._fitness = Fitness()
        self._peers.claim = self._claim
        self._peers.fit = lambda: self._fitness.fit(self.board.now())
        self._peers.on_beat = self._owner.take_beat
        self._door = Door(self.board)
        self._readiness = ReadinessServer(self.is_ready)
        watch_board(self.board)
        self._started_at = self.board.now()
        self._giving_up: asyncio.Future[None] | None = None

    def _make_feed(
        self,
        collection: Collection,
        on_update: Callable[[Update], None],
        pause_seconds: Callable[[], float],
    ) -> Feed:
        return Feed(
            self._store,
            collection,
            on_update=on_update,
            pause_seconds=pause_seconds,
            wait_seconds=self._wait_seconds,
            may_rest=self._may_rest,
            pause_factor=self._pause_factor,
            may_wait=self._may_wait,
        )

    def is_ready(self) -> bool:
        """Returns whether callers should be led here."""
        return self.board.config is not None and not self.board.stopping

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        settings = self._settings
        log_belief(
            "start",
            node=settings.node,
            incarnation=self._peers.incarnation,
            first_start=settings.first_start,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self.board.loop.add_signal_handler(number, self._stop_asked.set)
        self.board.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._readiness.listen(settings.readiness_address)
        try:
            self._readiness.listen((settings.ip, METRICS_PORT))
        except OSError as error:
            # Serving goes before being measured.
            log_belief("metrics_not_served", reason=str(error))
        self._door.listen()
        await self._peers.start()
        tasks = [asyncio.ensure_future(feed.run()) for feed in self._feeds]
        tasks.append(asyncio.ensure_future(self._register()))
        tasks.append(asyncio.ensure_future(self._owner.run()))
        tasks.append(asyncio.ensure_future(self._groups.run()))
        tasks.append(asyncio.ensure_future(self._beat()))
        await self._stop_asked.wait()
        await self._stop()
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        log_belief("stop", node=settings.node, in_hand=self.board.in_hand)

    def _reload(self) -> None:
        # Addresses and bounds hold for the life of a process; what changes
        # while it runs comes from the store.
        log_belief("reload", node=self._settings.node)

    async def _stop(self) -> None:
        """Serves what is in hand and what still comes, then ends."""
        board = self.board
        board.stopping = True
        began = board.now()
        log_belief("stopping", node=self._settings.node, in_hand=board.in_hand)
        if not self._owner.renewal_fails:
            await self._owner.give_up()
        end = began + (
            self._settings.bounds.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        await asyncio.sleep(LAST_CALLERS_SECONDS)
        board.ends_at_seconds = end
        while board.now() < end and self._is_busy():
            await asyncio.sleep(STOP_LOOK_SECONDS)
        self._door.stop_listening()

    def _is_busy(self) -> bool:
        """Returns whether requests are in hand, on their way or still come."""
        board = self.board
        if board.in_hand or board.reading:
            return True
        return board.now() - board.last_request_at < STOP_QUIET_SECONDS

    async def _beat(self) -> None:
        """Tells the others, and lets waiting requests go on."""
        board = self.board
        mark = SuspensionMark()
        while True:
            now = board.now()
            if not mark.holds():
                # What changed meanwhile is not known, and a watch may be dead.
                log_belief("resumed", seconds=round(mark.passed_seconds(), 2))
                mark = SuspensionMark()
                self._list_if_reader()
            if self._fitness.ticked(now, pause_seconds=BEAT_SECONDS):
                self._step_back()
            self._owner.tick()
            self._peers.tick()
            board.on_room()
            if board.view.sweep(now):
                board.soundness.keep_only(
                    entry.runner_id for entry in board.view
                )
            await asyncio.sleep(BEAT_SECONDS)

    def _step_back(self) -> None:
        """Gives the duties away while this process is slow."""
        held = sorted(self._owner.fences())
        log_belief("unfit", node=self._settings.node, duties=held)
        if held and self._peers.should_stand_back():
            self._giving_up = asyncio.ensure_future(self._owner.give_up())

    async def _register(self) -> None:
        """Writes where this router is, and learns where the others are.

        A router that hears its relay needs neither.
        """
        settings = self._settings
        value = {
            "ip": settings.ip,
            "incarnation": self._peers.incarnation,
            "data_centre": settings.data_centre,
        }
        pause = BEAT_SECONDS
        while self._may_wait():
            await asyncio.sleep(BEAT_SECONDS)
        while not self._has_relay():
            written = await self._store.create(
                Collection.ROUTERS, settings.node, value
            )
            if not isinstance(written, Success):
                written = await self._store.replace(
                    Collection.ROUTERS, settings.node, value, revision=None
                )
            listed = await self._store.list(
                Collection.ROUTERS, may_be_stale=True
            )
            if isinstance(listed, Success):
                for item in listed.unwrap().items:
                    content = self._store.value_of(item)
                    if isinstance(content, dict) and content.get("ip"):
                        self._peers.learn_address(
                            str(content["ip"]),
                            str(
                                content.get("data_centre", settings.data_centre)
                            ),
                        )
                if isinstance(written, Success):
                    return
            await asyncio.sleep(pause)
            pause = min(2.0, pause * 2)

    def _has_relay(self) -> bool:
        relays = self._peers.relays
        return relays.acts or bool(relays.relay_ip(self.board.now()))

    def _may_wait(self) -> bool:
        """Returns whether another router may yet hand its collections over."""
        passed = self.board.now() - self._started_at
        if self._settings.first_start:
            return passed < FIRST_START_SECONDS and not self._leads()
        if self._peers.collections_heard:
            return passed < HANDED_OVER_SECONDS
        return passed < FIRST_ANSWER_SECONDS

    def _leads(self) -> bool:
        """Returns whether other routers may rely on this one."""
        return self._owner.holds() or self._peers.relays.acts

    def _runners_pause(self) -> float:
        if self._leads():
            return OWNER_RUNNERS_PAUSE_SECONDS
        return RUNNERS_PAUSE_SECONDS * self._pause_factor()

    def _pause_factor(self) -> float:
        """Returns how much longer than in a small fleet this router pauses.

        The calls of all routers together then don't grow with their number.
        """
        if self._leads():
            return 1.0
        return max(1.0, self.board.live_routers / MOST_IN_MESH)

    def _wait_seconds(self) -> float:
        if self._leads():
            return OWNER_WAIT_SECONDS
        return WAIT_SECONDS

    def _may_rest(self) -> bool:
        """Returns whether another router watches the store for this one.

        Of those that watch for others, the first by name does it for all.
        """
        return self._peers.watcher_heard(
            self.board.now(),
            before=self._settings.node if self._leads() else "",
        )

    def _list_if_reader(self) -> None:
        """Lists all collections unless another router watches them."""
        if not self._may_rest():
            self._list_all()

    def _list_all(self) -> None:
        """Lists all collections, whatever their watches may still say."""
        for feed in self._feeds:
            feed.list_again()

    def _claim(self) -> Claim:
        owner = self._owner
        claim = Claim(
            claims=owner.claims(),
            resigned=owner.resigned(),
            store_sight=owner.store_sight(),
            store_sight_age_ms=int(owner.sight_age_seconds() * 1000),
        )
        claim.reads = self._leads() and all(
            feed.current and not feed.rests for feed in self._feeds
        )
        if not claim.claims:
            return claim
        claim.asks_for_store = owner.renewal_fails
        claim.opening = self._groups.opening()
        if not self._peers.is_large:
            self.board.opening_in = {
                model: left_ms / 1000
                for model, left_ms in claim.opening.items()
            }
        return claim

    # What the feeds bring.

    def _take_config(self, update: Update) -> None:
        config = self._decoder.config(list(self._config_feed.items.values()))
        known = self.board.config
        if config is None:
            return
        if known is not None and config.revision <= known.revision:
            return
        self.board.config = config
        log_belief(
            "config",
            version=config.version,
            revision=config.revision,
            before=known.version if known else 0,
        )

    def _take_evacuations(self, update: Update) -> None:
        board = self.board
        board.view.evacuated = frozenset(self._evacuation_feed.items)
        board.view.evacuated_revision = update.revision
        log_belief(
            "evacuations",
            out=sorted(board.view.evacuated),
            revision=update.revision,
        )

    def _take_runners(self, update: Update) -> None:
        board = self.board
        now = board.now()
        if update.after_outage:
            board.view.store_returned(now)
        entries = []
        unreadable = []
        for item in update.changed:
            entry = self._decoder.runner(item, now_seconds=now)
            if entry is None:
                unreadable.append(item.name)
            else:
                entries.append(entry)
        if update.whole:
            board.view.replace_all(
                entries, revision=update.revision, now_seconds=now
            )
        else:
            board.view.apply(
                entries,
                removed=[*update.removed, *unreadable],
                revision=update.revision,
                now_seconds=now,
            )
        board.crashes.settle({entry.life for entry in board.view}, now)
        board.soundness.keep_only(entry.runner_id for entry in board.view)
        self.board.on_room()


def _urgent_pause() -> float:
    return URGENT_PAUSE_SECONDS
