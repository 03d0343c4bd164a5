"""One router process: creates its parts, runs them and shuts them down."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import signal
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.dispatch.stop_schedule import StopSchedule
from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS
from mulberrypaddle.serving.announcements import record_announcement
from mulberrypaddle.serving.blackboard import Blackboard
from mulberrypaddle.serving.caller_server import (
    STOP_POLL_SECONDS,
    CallerServer,
)
from mulberrypaddle.serving.check_schedule import CheckSchedule
from mulberrypaddle.serving.copy_monitor import CopyMonitor, age_bounds_seconds
from mulberrypaddle.serving.crash_monitor import CrashMonitor
from mulberrypaddle.serving.decision_log import (
    log_state_change,
    loggable_age_seconds,
)
from mulberrypaddle.serving.duty_manager import DutyManager
from mulberrypaddle.serving.feed import Feed, FeedUpdate
from mulberrypaddle.serving.group_controller import GroupController
from mulberrypaddle.serving.metrics import bind_gauges
from mulberrypaddle.serving.peer import DutyStatus
from mulberrypaddle.serving.peer_exchange import (
    HEARTBEAT_INTERVAL_SECONDS,
    PeerExchange,
)
from mulberrypaddle.serving.platform_duties import PlatformDuties
from mulberrypaddle.serving.readiness import METRICS_PORT, ReadinessServer
from mulberrypaddle.serving.relays import MAX_MESH_ROUTERS
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.store_era import is_restored_between
from mulberrypaddle.serving.suspension import SuspensionMark
from mulberrypaddle.serving.tick_monitor import TickMonitor

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.duties import PlatformApi
    from mulberrypaddle.fleet import NodeSettings, RunnerEntry, ServingConfig
    from mulberrypaddle.serving.decoder import Decoder
    from mulberrypaddle.serving.header_codec import HeaderCodec
    from mulberrypaddle.serving.runner_control import RunnerControl
    from mulberrypaddle.serving.store import ObjectStore, StoredItem

# Pause between two watches of the runners: changes arrive in batches, and each
# watch is a call to the store, which has a cost. Leaders, that is, routers that
# hold a duty or act as a relay, watch more often.
RUNNERS_WATCH_PAUSE_SECONDS = 0.4
LEADER_RUNNERS_WATCH_PAUSE_SECONDS = 0.12

# Longest wait of one watch, of leaders and of the others. The store may stop
# reporting on a watch. Leaders must notice that soon; the others learn from
# them that their copies are out of date.
LEADER_WATCH_TIMEOUT_SECONDS = 1.5
WATCH_TIMEOUT_SECONDS = 8.0

# Time after the start in which this router waits for other routers to send
# their copies of the store's collections instead of reading the store: until a
# heartbeat of a router that has them is received, once one was, and when the
# whole system starts for the first time, as no caller waits yet then.
PEER_DISCOVERY_SECONDS = 0.15
HANDOVER_SECONDS = 0.6
FLEET_START_SECONDS = 2.5

# Pause between two watches of collections whose changes must take effect at
# once.
URGENT_WATCH_PAUSE_SECONDS = 0.05

# Time by which a round of the periodic work may be late before what other
# routers say of the age of their copies is ignored: their messages may have
# waited as long.
MAX_REPORT_DELAY_SECONDS = 0.3

# Time after the signal to stop in which callers may still be sent to this
# router: two readiness checks, a second apart, and one in flight.
READINESS_LAG_SECONDS = 2.5

# Runners that one log record names at most.
MAX_LOGGED_RUNNERS = 20

# Time after the listener was closed in which the first request of a connection
# is awaited.
STOP_QUIET_SECONDS = 0.3


class ServingRouter:
    """One router process.

    Attributes:
        board: State that the parts of the process share.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        store: ObjectStore,
        decoder: Decoder,
        header_codec: HeaderCodec,
        control: RunnerControl,
        platform_api: PlatformApi | None = None,
    ) -> None:
        """Creates the parts of a router, which do nothing until `run`.

        Args:
            settings: Settings of this VM.
            store: The platform's store of objects.
            decoder: Decodes the configuration and the runners' entries.
            header_codec: Parses and builds the platform's HTTP headers.
            control: Sends orders to runners and fetches their reports.
            platform_api: The platform's API for duties; None if it asks for
                none.
        """
        self._settings = settings
        self._store = store
        self._decoder = decoder
        self._stop_requested = asyncio.Event()
        self.board = Blackboard(
            settings,
            header_codec=header_codec,
            client=make_client(),
            rng=random.Random(),
        )
        self._config_feed = self._make_feed(
            Collection.CONFIGURATION,
            self._apply_config,
            _urgent_pause_seconds,
            version_of=decoder.config_version,
        )
        self._evacuation_feed = self._make_feed(
            Collection.EVACUATIONS,
            self._apply_evacuations,
            _urgent_pause_seconds,
        )
        self._runner_feed = self._make_feed(
            Collection.RUNNERS, self._apply_runners, self._runners_pause_seconds
        )
        feeds = [self._config_feed, self._evacuation_feed, self._runner_feed]
        self._feeds = feeds
        for feed in feeds:
            feed.on_history_gone = self._relist_all
        # Evacuated data centres that the store lacks since it was restored,
        # with the loop time until which they stay evacuated.
        self._kept_evacuations: dict[str, float] = {}
        self.board.config_age_seconds = self._config_feed.age_seconds
        self._copy_monitor = CopyMonitor(feeds, settings.bounds)
        self._peers = PeerExchange(self.board, feeds)
        self._duty_manager = DutyManager(self.board, store, self._peers)
        control.on_announcement = functools.partial(
            record_announcement, self.board
        )
        self._group_controller = GroupController(
            self.board, control=control, duty_manager=self._duty_manager
        )
        self._platform_duties = PlatformDuties(
            self.board,
            platform_api,
            store=store,
            duty_manager=self._duty_manager,
            peers=self._peers,
        )
        # On a watch that was started before, the store may have stopped
        # reporting. That would hide changes from all routers that rely on this
        # one, so the collections are listed again.
        self._duty_manager.on_acquired = self._relist_unless_passive
        # A watch of the era before may wait on a connection that is dead.
        store.on_restored = self._relist_unless_passive
        self._crash_monitor = CrashMonitor(self.board, store, self._peers)
        self._tick_monitor = TickMonitor()
        self._peers.duty_status = self._make_duty_status
        self._peers.is_fit = lambda: self._tick_monitor.is_fit(self.board.now())
        self._peers.on_heartbeat = self._duty_manager.handle_heartbeat
        self._caller_server = CallerServer(self.board)
        self._readiness = ReadinessServer(self.is_ready)
        bind_gauges(self.board, feeds)
        self._started_at_seconds = self.board.now()

    def _make_feed(
        self,
        collection: Collection,
        on_update: Callable[[FeedUpdate], None],
        watch_pause_seconds: Callable[[], float],
        version_of: Callable[[StoredItem], int | None] = lambda item: None,
    ) -> Feed:
        """Creates the feed of one collection."""
        return Feed(
            self._store,
            collection,
            on_update=on_update,
            watch_pause_seconds=watch_pause_seconds,
            watch_timeout_seconds=self._watch_timeout_seconds,
            peer_watches=self._peer_watches,
            retry_pause_factor=self._fleet_size_factor,
            check_schedule=CheckSchedule(
                age_bounds_seconds(self._settings.bounds)[collection],
                is_watcher=self._watches_for_others,
                routers=lambda: self.board.live_routers,
                rng=self.board.rng,
            ),
            may_await_handover=self._may_await_handover,
            version_of=version_of,
        )

    def is_ready(self) -> bool:
        """Returns whether callers should be sent to this router."""
        return self.board.config is not None and not self.board.stopping

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully."""
        settings = self._settings
        log_state_change(
            "start",
            node=settings.node,
            incarnation=self._peers.incarnation,
            first_start=settings.first_start,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self.board.loop.add_signal_handler(number, self._begin_stop)
        self.board.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._readiness.listen(settings.readiness_address)
        try:
            self._readiness.listen((settings.ip, METRICS_PORT))
        except OSError as error:
            # Serving has priority over metrics.
            log_state_change("metrics_not_served", reason=str(error))
        self._caller_server.listen()
        await self._peers.start()
        tasks = self._start_work()
        await self._stop_requested.wait()
        await self._stop()
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._caller_server.log_interrupted()
        self._log_stop("stop")

    def _start_work(self) -> list[asyncio.Future[None]]:
        """Starts the work that goes on until the process stops."""
        supervisor = self.board.supervisor
        tasks = []
        for feed in self._feeds:
            # The update that failed may be missing from what follows the feed.
            tasks.append(
                supervisor.keep_running(
                    f"feed of {feed.collection.value}",
                    feed.run,
                    on_failure=feed.request_list,
                )
            )
        for name, work in (
            ("registration", self._register),
            ("duties", self._duty_manager.run),
            ("groups", self._group_controller.run),
            ("periodic work", self._run_periodic_work),
            ("connection limits", self._caller_server.check_limits),
            *self._platform_duties.tasks(),
        ):
            tasks.append(supervisor.keep_running(name, work))
        return [asyncio.ensure_future(task) for task in tasks]

    def _reload(self) -> None:
        """Handles SIGHUP: only logs it.

        Addresses and bounds are fixed for the lifetime of a process; settings
        that can change while it runs come from the store.
        """
        log_state_change("reload", node=self._settings.node)

    def _begin_stop(self) -> None:
        """Begins a planned stop at the first signal; ignores further ones.

        From here on requests are admitted only if they end in time. The grace
        period runs from the signal, also while this process does not run.
        """
        board = self.board
        if board.stop is not None:
            return
        board.stop = StopSchedule(
            signalled_at_seconds=self._tick_monitor.signal_sent_seconds(
                board.now(), pause_seconds=HEARTBEAT_INTERVAL_SECONDS
            ),
            grace_seconds=self._settings.bounds.stop_grace_seconds,
        )
        self._log_stop("stopping")
        self._stop_requested.set()

    async def _stop(self) -> None:
        """Releases the duties, drains requests and closes the listener.

        The listener stays open until callers have had time to notice that this
        router is not ready, and then until nothing is in flight, or until the
        grace period is about to end.
        """
        board = self.board
        self._begin_stop()
        assert board.stop is not None
        # The store may be slow, which must not delay what follows.
        released = asyncio.ensure_future(self._release_duties())
        end_seconds = board.stop.ends_at_seconds
        await asyncio.sleep(
            min(READINESS_LAG_SECONDS, end_seconds - board.now())
        )
        while board.now() < end_seconds and self._is_busy():
            await asyncio.sleep(STOP_POLL_SECONDS)
        await self._caller_server.stop(
            quiet_seconds=STOP_QUIET_SECONDS,
            until_seconds=end_seconds,
            exit_seconds=board.stop.exits_at_seconds,
        )
        self._log_stop("drained")
        left_seconds = board.stop.exits_at_seconds - board.now()
        await asyncio.wait({released}, timeout=max(0.0, left_seconds))
        if released.done():
            await released
            return
        log_state_change("duties_not_released", node=self._settings.node)
        released.cancel()

    def _log_stop(self, event: str) -> None:
        """Logs a step of the shutdown and what callers still wait for."""
        board = self.board
        assert board.stop is not None
        log_state_change(
            event,
            node=self._settings.node,
            grace_seconds=self._settings.bounds.stop_grace_seconds,
            since_signal=round(
                board.now() - board.stop.signalled_at_seconds, 3
            ),
            in_hand=board.in_flight_count,
            reading=board.reading,
            connections=self._caller_server.connection_count,
        )

    async def _release_duties(self) -> None:
        """Releases the duties, unless the store can't be reached.

        An error is logged, since the process has to stop in any case.
        """
        try:
            if not self._duty_manager.renewal_overdue:
                await self._duty_manager.release_all()
        except Exception as error:  # noqa: BLE001 - the process must stop
            self.board.supervisor.log_failure("release of duties", error)

    def _is_busy(self) -> bool:
        """Returns whether requests are in flight or being read.

        Callers that still come are of no account: most of their requests are
        refused, and they are served by the next process sooner if this one
        ends.
        """
        return bool(self.board.in_flight_count or self.board.reading)

    async def _run_periodic_work(self) -> None:
        """Runs the periodic work of the process until it is cancelled.

        Each round, at the interval of heartbeats, sends heartbeats, handles
        overdue lease renewals, probes runners that may have crashed, sends
        queued requests to runners with free slots, removes expired runners,
        ends evacuations that a restored store has lost, and detects that the VM
        was suspended or this process is slow.
        """
        board = self.board
        mark = SuspensionMark()
        while True:
            if not mark.is_valid():
                # The VM was suspended: changes may have been missed, and the
                # connection of a watch may be dead.
                log_state_change(
                    "resumed", seconds=round(mark.suspended_for_seconds(), 2)
                )
                mark = SuspensionMark()
                self._distrust_reports()
                self._relist_unless_passive()
            for name, step in (
                ("slowness check", self._check_promptness),
                ("overdue renewals", self._duty_manager.tick),
                ("ages of copies", self._check_copies),
                ("crash probes", self._probe_crashes),
                ("heartbeats", self._peers.tick),
                ("dispatch", board.dispatch_waiting),
                ("expired runners", self._remove_expired_runners),
                ("expired pauses", self._forget_expired_pauses),
                ("kept evacuations", self._end_kept_evacuations),
            ):
                board.supervisor.run_step(name, step)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _check_promptness(self) -> None:
        """Records the start of a round; handles the slowness of the process."""
        now = self.board.now()
        delay_seconds = self._tick_monitor.delay_seconds(
            now, pause_seconds=HEARTBEAT_INTERVAL_SECONDS
        )
        if delay_seconds > MAX_REPORT_DELAY_SECONDS:
            self._distrust_reports()
        if self._tick_monitor.record_tick(
            now, pause_seconds=HEARTBEAT_INTERVAL_SECONDS
        ):
            self._handle_slowness()

    def _distrust_reports(self) -> None:
        """Ignores reports of other routers that may have waited unread."""
        for feed in self._feeds:
            feed.distrust_reports()

    def _check_copies(self) -> None:
        """Asks the store about old copies of collections, and logs them.

        While a check fails, the later collections wait for its end.
        """
        for feed in self._feeds:
            if feed.is_check_due():
                self.board.supervisor.start(
                    f"check of {feed.collection.value}", feed.check()
                )
            if feed.check_schedule.is_failing(feed.age_seconds()):
                break
        self._copy_monitor.tick(
            lambda: self._peers.active_watchers(self.board.now())
        )

    def _probe_crashes(self) -> None:
        """Starts due probes of runners that may have crashed."""
        self._crash_monitor.tick(may_try=self._duty_manager.holds_first_duty())

    def _remove_expired_runners(self) -> None:
        """Removes runners that did not write their entries again in time.

        Also admits those that a restore of the store has brought back and that
        the store has kept, and takes over entries that were held back and that
        no newer one has followed.
        """
        board = self.board
        taken = board.view.take_outdated(board.now())
        if taken:
            log_state_change(
                "older_runners_taken", runners=taken[:MAX_LOGGED_RUNNERS]
            )
            board.dispatch_waiting()
        admitted = board.view.admit_proven(board.now())
        if admitted:
            log_state_change("returned_runners_admitted", count=len(admitted))
            board.dispatch_waiting()
        if board.view.remove_expired(board.now()):
            board.runner_health.retain_only(
                entry.runner_id for entry in board.view
            )

    def _forget_expired_pauses(self) -> None:
        """Forgets pauses of runners that ended some time ago."""
        self.board.pauses.forget_expired(self.board.now())

    def _handle_slowness(self) -> None:
        """Releases the duties after this process was found to be slow.

        They are kept if no other router could hold them.
        """
        held = sorted(self._duty_manager.fences())
        log_state_change("unfit", node=self._settings.node, duties=held)
        if held and self._peers.should_yield_duties():
            self.board.supervisor.start(
                "release of duties", self._duty_manager.release_all()
            )

    async def _register(self) -> None:
        """Writes this router's address to the store and reads the others'.

        It retries until both succeed, or until this router is a relay or
        receives the digests of one, since addresses then spread by heartbeats.
        """
        settings = self._settings
        value = {
            "ip": settings.ip,
            "incarnation": self._peers.incarnation,
            "data_centre": settings.data_centre,
        }
        pause_seconds = HEARTBEAT_INTERVAL_SECONDS
        while self._may_await_handover():
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
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
                        self._peers.record_address(
                            str(content["ip"]),
                            str(
                                content.get("data_centre", settings.data_centre)
                            ),
                        )
                if isinstance(written, Success):
                    return
            await asyncio.sleep(pause_seconds)
            pause_seconds = min(2.0, pause_seconds * 2)

    def _has_relay(self) -> bool:
        """Returns whether this router is a relay or has a live one."""
        relays = self._peers.relays
        return relays.is_relay or bool(relays.relay_ip(self.board.now()))

    def _may_await_handover(self) -> bool:
        """Returns whether to wait for other routers to hand over their copies.

        These are copies of the store's collections, such as the configuration
        and the runners' entries. For a short time after the start this router
        waits for them, instead of reading the store and registering there.
        """
        elapsed_seconds = self.board.now() - self._started_at_seconds
        if self._settings.first_start:
            return (
                elapsed_seconds < FLEET_START_SECONDS and not self._is_leader()
            )
        if self._peers.collections_available:
            return elapsed_seconds < HANDOVER_SECONDS
        return elapsed_seconds < PEER_DISCOVERY_SECONDS

    def _is_leader(self) -> bool:
        """Returns whether this router holds a duty or acts as a relay.

        Other routers then rely on its copies of the store's collections.
        """
        return (
            self._duty_manager.holds_any_lease() or self._peers.relays.is_relay
        )

    def _runners_pause_seconds(self) -> float:
        """Returns the pause between two watches of the runners."""
        if self._is_leader():
            return LEADER_RUNNERS_WATCH_PAUSE_SECONDS
        return RUNNERS_WATCH_PAUSE_SECONDS * self._fleet_size_factor()

    def _fleet_size_factor(self) -> float:
        """Returns the factor for this router's pauses between store calls.

        It grows with the fleet, so that the rate of calls of all routers
        together does not. For leaders and in small fleets it is 1.
        """
        if self._is_leader():
            return 1.0
        return max(1.0, self.board.live_routers / MAX_MESH_ROUTERS)

    def _watch_timeout_seconds(self) -> float:
        """Returns the longest wait of one watch."""
        if self._is_leader():
            return LEADER_WATCH_TIMEOUT_SECONDS
        return WATCH_TIMEOUT_SECONDS

    def _peer_watches(self) -> bool:
        """Returns whether another router watches the store for this one.

        Of several leaders only the first by name watches the store: a leader
        relies only on routers whose names come before its own.
        """
        return self._peers.has_active_watcher(
            self.board.now(),
            before=self._settings.node if self._is_leader() else "",
        )

    def _watches_for_others(self) -> bool:
        """Returns whether other routers rely on this one to watch the store."""
        return self._is_leader() and not self._peer_watches()

    def _relist_unless_passive(self) -> None:
        """Lists all collections again unless another router watches them."""
        if not self._peer_watches():
            self._relist_all()

    def _relist_all(self) -> None:
        """Lists all collections again, even while their watches wait."""
        for feed in self._feeds:
            feed.request_list()

    def _make_duty_status(self) -> DutyStatus:
        """Returns the duties and store reachability to send in heartbeats.

        In a small fleet it also records in the board when the next group of
        each model can serve, since no digest reports it there.
        """
        duty_manager = self._duty_manager
        duty_status = DutyStatus(
            claims=duty_manager.claims(),
            resigned=duty_manager.resigned(),
            store_sight=duty_manager.store_reachability(),
            store_sight_age_ms=int(
                duty_manager.store_call_age_seconds() * 1000
            ),
        )
        duty_status.watches_store = self._is_leader() and all(
            feed.is_current and not feed.is_passive for feed in self._feeds
        )
        if not duty_status.claims:
            return duty_status
        duty_status.asks_for_store = duty_manager.renewal_overdue
        duty_status.opening = self._group_controller.opening_in_ms()
        if not self._peers.uses_relays:
            self.board.next_group_opens_in_seconds = {
                model: left_ms / 1000
                for model, left_ms in duty_status.opening.items()
            }
        return duty_status

    # Updates from the feeds.

    def _apply_config(self, update: FeedUpdate) -> None:
        """Decodes the configuration and replaces the current one if newer.

        The operator only raises the version, whereas a store that was restored
        may hold an older version at a higher revision. The same version counts
        as newer if it was written again without a restore in between.
        """
        config = self._decoder.decode_config(
            list(self._config_feed.items.values())
        )
        known = self.board.config
        if config is None:
            return
        if known is not None and not _is_later(config, known):
            if config.version < known.version:
                log_state_change(
                    "older_config_held_back",
                    version=config.version,
                    revision=config.revision,
                    in_force=known.version,
                )
            return
        self.board.config = config
        self._caller_server.update_limits(config.limits)
        log_state_change(
            "config",
            version=config.version,
            revision=config.revision,
            before=known.version if known else 0,
            source=update.source.value,
            age=loggable_age_seconds(update.age_seconds),
            idle_seconds=config.limits.idle_seconds,
            header_seconds=config.limits.header_seconds,
        )

    def _apply_evacuations(self, update: FeedUpdate) -> None:
        """Replaces the set of evacuated data centres.

        After a restore of the store, evacuations that it lacks stay in force
        for `RETURN_GRACE_SECONDS`, in which the operator writes them again, and
        those that it holds are in force at once, although they may have been
        ended: work that is sent to a data centre that is evacuated breaks a
        promise, and work that is kept from one that is not only has to go
        elsewhere.
        """
        board = self.board
        if update.restored:
            missing = board.view.evacuated.difference(
                self._evacuation_feed.items
            )
            until_seconds = board.now() + RETURN_GRACE_SECONDS
            self._kept_evacuations = dict.fromkeys(missing, until_seconds)
            if missing:
                log_state_change(
                    "evacuations_kept",
                    out=sorted(missing),
                    revision=update.revision,
                )
        for data_centre in self._evacuation_feed.items:
            self._kept_evacuations.pop(data_centre, None)
        board.view.evacuated_revision = update.revision
        self._update_evacuated()

    def _update_evacuated(self) -> None:
        """Sets the data centres that are evacuated by the store or kept so."""
        view = self.board.view
        view.evacuated = frozenset(self._evacuation_feed.items).union(
            self._kept_evacuations
        )
        log_state_change(
            "evacuations",
            out=sorted(view.evacuated),
            revision=view.evacuated_revision,
        )

    def _end_kept_evacuations(self) -> None:
        """Ends evacuations that were not written again after a restore."""
        now = self.board.now()
        expired = [
            data_centre
            for data_centre, until in self._kept_evacuations.items()
            if now >= until
        ]
        for data_centre in expired:
            del self._kept_evacuations[data_centre]
        if expired:
            self._update_evacuated()

    def _apply_runners(self, update: FeedUpdate) -> None:
        """Applies changes of runners to the fleet view.

        Entries that can't be decoded are treated as removed.
        """
        board = self.board
        now = board.now()
        if update.after_outage:
            board.view.start_grace_period(now)
        entries = []
        unreadable = []
        for item in update.changed:
            entry = self._decoder.decode_runner(item, now_seconds=now)
            if entry is None:
                unreadable.append(item.name)
            else:
                entries.append(entry)
        if update.complete:
            board.view.replace_all(
                entries,
                revision=update.revision,
                now_seconds=now,
                restored=update.restored,
            )
            unproven = board.view.unproven
            if update.restored and unproven:
                log_state_change(
                    "returned_runners_held_back",
                    revision=update.revision,
                    count=len(unproven),
                    runners=unproven[:MAX_LOGGED_RUNNERS],
                )
        else:
            board.view.apply(
                entries,
                removed=[*update.removed, *unreadable],
                revision=update.revision,
                now_seconds=now,
            )
        self._log_held_back(update)
        board.crashes.confirm_crashes(
            {entry.incarnation for entry in board.view}, now
        )
        board.runner_health.retain_only(entry.runner_id for entry in board.view)
        board.head_progress.retain_only(entry.runner_id for entry in board.view)
        self.board.dispatch_waiting()

    def _log_held_back(self, update: FeedUpdate) -> None:
        """Logs the entries that the last update of the runners held back."""
        view = self.board.view
        if not view.held_back:
            return
        log_state_change(
            "older_runners_held_back",
            revision=update.revision,
            source=update.source.value,
            count=len(view.held_back),
            writes=[
                f"{runner_id} {_write_label(view.outdated.get(runner_id))}"
                f" before {_write_label(view.get(runner_id))}"
                for runner_id in view.held_back[:MAX_LOGGED_RUNNERS]
            ],
        )


def _write_label(entry: RunnerEntry | None) -> str:
    """Returns, for logs, which write of its runner an entry is."""
    return "?" if entry is None else entry.write_label


def _urgent_pause_seconds() -> float:
    """Returns the pause between two watches of urgent collections."""
    return URGENT_WATCH_PAUSE_SECONDS


def _is_later(config: ServingConfig, known: ServingConfig) -> bool:
    """Returns whether a configuration was written after the known one.

    If a restore of the store lies between two writes of the same version, that
    can't be told.
    """
    if config.version != known.version:
        return config.version > known.version
    return config.revision > known.revision and not is_restored_between(
        known.revision, config.revision
    )
