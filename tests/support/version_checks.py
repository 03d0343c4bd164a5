"""Checks which version of the configuration is in force at router processes.

Each version has a key of its own, so that a request with the key shows whether
the version is in force. A version must be in force within
`CONFIG_APPLY_SECONDS`, and never goes back at one process.
"""

from __future__ import annotations

import time

from tests.support.idle_limits import CONFIG_APPLY_SECONDS


def version_key(version: int) -> str:
    """Returns the key that only one version knows."""
    return f"key-of-version-{version}"


class _Process:
    """What is known of a process. Times are monotonic.

    Attributes:
        running_since_seconds: When it gave its first answer.
        unreachable_at_seconds: When its own path to the store was last lost.
        version: Highest version that was in force.
        version_since_seconds: When an answer showed that.
    """

    __slots__ = (
        "running_since_seconds",
        "unreachable_at_seconds",
        "version",
        "version_since_seconds",
    )

    def __init__(self) -> None:
        self.running_since_seconds = time.monotonic()
        self.unreachable_at_seconds = 0.0
        self.version = 0
        self.version_since_seconds = 0.0


class VersionChecks:
    """Records versions and checks answers to requests with their keys.

    Attributes:
        breaches: Descriptions of what was breached.
        answers_checked: Number of answers that show which version is in force.
        versions_due: Number of answers from processes at which the newest
            version had to be in force.
    """

    def __init__(self, breaches: list[str]) -> None:
        self.breaches = breaches
        self.answers_checked = 0
        self.versions_due = 0
        self._newest = 0
        self._acknowledged_at_seconds = 0.0
        self._unreachable_at_seconds = 0.0
        self._processes: dict[int, _Process] = {}

    def __str__(self) -> str:
        return (
            f"{self._newest} versions, {self.answers_checked} answers, "
            f"{self.versions_due} of them when the newest one was due"
        )

    def record_acknowledged(self, version: int) -> None:
        """Records that a version is acknowledged, also for another time."""
        self._newest = version
        self._acknowledged_at_seconds = time.monotonic()

    def record_restore(self) -> None:
        """Records that the store may have lost the newest version."""
        self._acknowledged_at_seconds = float("inf")

    def record_unreachable(self) -> None:
        """Records that routers don't reach the store now."""
        self._unreachable_at_seconds = time.monotonic()

    def record_path_lost(self, process_id: int) -> None:
        """Records that one process doesn't reach the store now."""
        process = self._processes.get(process_id)
        if process is not None:
            process.unreachable_at_seconds = time.monotonic()

    def reachable_since_seconds(self, process_id: int) -> float:
        """Returns since when a process has run and reached the store."""
        process = self._processes.get(process_id)
        if process is None:
            return float("inf")
        return max(
            process.running_since_seconds,
            process.unreachable_at_seconds,
            self._unreachable_at_seconds,
        )

    def record_answer(
        self,
        process_id: int,
        *,
        version: int,
        status: int,
        sent_at_seconds: float,
        resumed_at_seconds: float,
    ) -> None:
        """Checks an answer to a request with the key of a version.

        Args:
            process_id: Id of the process of the router.
            version: The version.
            status: Status of the answer, which comes now.
            sent_at_seconds: When the request was sent.
            resumed_at_seconds: When the process was last suspended or resumed.
        """
        process = self._processes.setdefault(process_id, _Process())
        if status == 404:
            self.breaches.append(
                f"process {process_id} finds no route by version {version}"
            )
        if status not in (200, 401):
            return
        self.answers_checked += 1
        is_in_force = status == 200
        was_known = sent_at_seconds > process.version_since_seconds
        if was_known and is_in_force and version < process.version:
            self.breaches.append(
                f"process {process_id} goes back from version "
                f"{process.version} to {version}"
            )
        if (
            was_known
            and not is_in_force
            and version == process.version == self._newest
        ):
            self.breaches.append(
                f"process {process_id} goes back behind version {version}"
            )
        due_at_seconds = CONFIG_APPLY_SECONDS + max(
            self._acknowledged_at_seconds,
            resumed_at_seconds,
            self.reachable_since_seconds(process_id),
        )
        if sent_at_seconds > due_at_seconds:
            self.versions_due += 1
            if is_in_force != (version == self._newest):
                self.breaches.append(
                    f"process {process_id} answers {status} by version "
                    f"{version}, {sent_at_seconds - due_at_seconds:.2f} s "
                    f"after version {self._newest} had to be in force"
                )
        if is_in_force and version > process.version:
            process.version = version
            process.version_since_seconds = time.monotonic()
