"""Finds out whether runners whose answers broke off have crashed.

A router sees only that a connection ended. It then connects to the runner: a
VM that refuses the connection still runs, but the runner's process has ended. A
VM that does not answer has lost its power or its network link, for which no
request is to blame, and a runner that accepts connections goes on serving.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulberrypaddle.serving.crash_record_store import CrashRecordStore
from mulberrypaddle.serving.decision_log import log_state_change

if TYPE_CHECKING:
    from mulberrypaddle.dispatch.crash_attribution import Interruption
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.peer_exchange import PeerExchange
    from mulberrypaddle.serving.store import ObjectStore

# Timeout of a probe. A VM refuses a connection within a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.4


class CrashMonitor:
    """Confirms crashes and logs which parts of prompts are quarantined."""

    __slots__ = ("_board", "_quarantined", "_record_store")

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore | None = None,
        peers: PeerExchange | None = None,
    ) -> None:
        """Creates a monitor that does nothing until `tick`.

        Args:
            board: Shared state of this router.
            store: Store that keeps the records of crashing requests; None to
                keep them in memory only.
            peers: The other routers; None without a store.
        """
        self._board = board
        self._quarantined: set[frozenset[str]] = set()
        self._record_store: CrashRecordStore | None = None
        if store is not None and peers is not None:
            self._record_store = CrashRecordStore(board, store, peers)

    def tick(self, *, may_try: bool) -> None:
        """Starts due probes and store calls; called at short intervals.

        Args:
            may_try: Whether this router is the one that may let refused
                requests through as a trial.
        """
        board = self._board
        attribution = board.crash_attribution
        attribution.may_try = may_try
        board.crashes.may_try = may_try
        if self._record_store is not None:
            self._record_store.tick(may_write=may_try)
        for interruption in attribution.interruptions(board.now()):
            incarnation = interruption.incarnation
            entry = board.view.get(incarnation[0])
            if entry is not None and entry.is_leaving:
                attribution.dismiss(incarnation)
                continue
            if entry is not None and entry.incarnation != incarnation:
                attribution.confirm_crash(incarnation, board.now())
                continue
            if not interruption.is_probe_due(board.now()):
                continue
            interruption.probed_at_seconds = board.now()
            board.supervisor.start("crash probe", self._probe(interruption))
        self._log_changes()

    async def _probe(self, interruption: Interruption) -> None:
        """Connects to a runner, and confirms or dismisses its crash.

        A runner that accepts the connection may have been restarted, which its
        entry shows later, so that its interruption is kept.
        """
        attribution = self._board.crash_attribution
        host, _, port = interruption.address.rpartition(":")
        result = "accepted"
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)),
                timeout=PROBE_TIMEOUT_SECONDS,
            )
            writer.close()
        except ConnectionRefusedError:
            result = "refused"
            attribution.confirm_crash(
                interruption.incarnation, self._board.now()
            )
        except (OSError, TimeoutError) as error:
            result = f"no answer: {error!r}"
            attribution.dismiss(interruption.incarnation)
        log_state_change(
            "interrupted_runner_probed",
            runner=interruption.incarnation[0],
            result=result,
            suspects=",".join(sorted(interruption.parts)),
        )

    def _log_changes(self) -> None:
        """Logs quarantines that began or ended since the last call."""
        quarantines = self._board.crash_attribution.quarantines()
        for quarantine in quarantines:
            if quarantine.parts in self._quarantined:
                continue
            log_state_change(
                "prompt_parts_quarantined",
                parts=",".join(sorted(quarantine.parts)),
                crashes=quarantine.crashes,
            )
        in_force = {quarantine.parts for quarantine in quarantines}
        for parts in self._quarantined - in_force:
            log_state_change(
                "prompt_parts_released", parts=",".join(sorted(parts))
            )
        self._quarantined = in_force
