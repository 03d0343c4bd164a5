"""Keeps the work of a process going after unexpected errors.

An error that nobody handles ends its task, and with it work that all requests
depend on, such as following the list of runners, while the process lives on.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_LOGGER = logging.getLogger("mulberrypaddle.supervision")

# Pause before work that failed is started again, which doubles with each
# failure in a row, and its upper limit.
RESTART_PAUSE_SECONDS = 0.1
MAX_RESTART_PAUSE_SECONDS = 5.0

# Time without a failure after which the pause is the shortest again.
RECOVERY_SECONDS = 30.0

# Least time between two log entries on the failures of one kind of work.
LOG_INTERVAL_SECONDS = 1.0


class Supervisor:
    """Runs the work of one process, and logs its unexpected errors.

    Attributes:
        tasks: Tasks of `start` that have not ended.
    """

    __slots__ = ("_logged_at_seconds", "_loop", "_omitted", "tasks")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        # Loop time of the last log entry, and failures that were not logged
        # since, by name of the work.
        self._logged_at_seconds: dict[str, float] = {}
        self._omitted: dict[str, int] = {}

    async def keep_running(
        self,
        name: str,
        work: Callable[[], Coroutine[None, None, None]],
        *,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        """Runs work until it returns; starts it again after errors.

        Args:
            name: Name of the work, for the log.
            work: Called for each start.
            on_failure: Called after each error.
        """
        failures = 0
        while True:
            started_at_seconds = self._loop.time()
            try:
                await work()
                return
            except Exception as error:  # noqa: BLE001 - the work must go on
                self.log_failure(name, error)
            self.run_step(f"{name} after a failure", on_failure)
            if self._loop.time() - started_at_seconds >= RECOVERY_SECONDS:
                failures = 0
            await asyncio.sleep(
                min(
                    MAX_RESTART_PAUSE_SECONDS,
                    RESTART_PAUSE_SECONDS * 2 ** min(failures, 16),
                )
            )
            failures += 1

    def run_step(self, name: str, step: Callable[[], None]) -> None:
        """Calls a function; logs an error, so that other work goes on."""
        try:
            step()
        except Exception as error:  # noqa: BLE001 - other work must go on
            self.log_failure(name, error)

    def start(self, name: str, work: Coroutine[None, None, None]) -> None:
        """Runs work once in a task, and logs an error that ends it."""
        task = asyncio.ensure_future(self._run_once(name, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_once(
        self, name: str, work: Coroutine[None, None, None]
    ) -> None:
        """Runs work and logs an error that ends it."""
        try:
            await work
        except Exception as error:  # noqa: BLE001 - nobody awaits the task
            self.log_failure(name, error)

    def log_failure(self, name: str, error: Exception) -> None:
        """Logs an unexpected error with its traceback.

        Of errors that follow each other within `LOG_INTERVAL_SECONDS`, only the
        first is logged; the next entry has the number of the others.
        """
        now_seconds = self._loop.time()
        logged_at_seconds = self._logged_at_seconds.get(name)
        if (
            logged_at_seconds is not None
            and now_seconds - logged_at_seconds < LOG_INTERVAL_SECONDS
        ):
            self._omitted[name] = self._omitted.get(name, 0) + 1
            return
        self._logged_at_seconds[name] = now_seconds
        _LOGGER.error(
            "work_failed",
            exc_info=error,
            extra={
                "work": name,
                "reason": f"{type(error).__name__}: {error}",
                "left_out": self._omitted.pop(name, 0),
            },
        )
