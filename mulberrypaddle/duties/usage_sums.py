"""The counts of all routers by window, as the holder has received them."""

from __future__ import annotations

# Most processes whose sums are kept: several times the routers of a large
# fleet.
MAX_PROCESSES = 2_048


class ProcessSums:
    """Sums of one router process.

    Attributes:
        node: Name of its VM.
        started_at_seconds: Agreed time of its start.
        first_start: Whether it started together with the whole deployment.
        windows: Counts by window and organisation.
        heard_at_seconds: Steady time at which it was last heard itself.
    """

    __slots__ = (
        "first_start",
        "heard_at_seconds",
        "node",
        "started_at_seconds",
        "windows",
    )

    def __init__(
        self,
        node: str,
        *,
        started_at_seconds: float,
        first_start: bool,
        windows: dict[int, dict[str, int]],
        heard_at_seconds: float,
    ) -> None:
        self.node = node
        self.started_at_seconds = started_at_seconds
        self.first_start = first_start
        self.windows = windows
        self.heard_at_seconds = heard_at_seconds


class UsageSums:
    """Keeps the highest sums of each process, by window and organisation.

    The sums of a process only grow, so that repeated and overtaken messages
    change nothing.

    Attributes:
        processes: Sums by id of the process.
    """

    __slots__ = ("processes",)

    def __init__(self) -> None:
        self.processes: dict[str, ProcessSums] = {}

    def record(self, incarnation: str, sums: ProcessSums) -> None:
        """Records the sums of a process.

        Args:
            incarnation: Id of the process.
            sums: Its sums, as it or another router sent them.
        """
        known = self.processes.pop(incarnation, None)
        if known is not None:
            # The start is the same moment in each message, but for drift.
            sums.heard_at_seconds = max(
                sums.heard_at_seconds, known.heard_at_seconds
            )
            for window, counts in known.windows.items():
                merged = sums.windows.setdefault(window, {})
                for organisation, count in counts.items():
                    merged[organisation] = max(
                        count, merged.get(organisation, 0)
                    )
        self.processes[incarnation] = sums
        while len(self.processes) > MAX_PROCESSES:
            del self.processes[next(iter(self.processes))]

    def prune(self, kept: range, *, silent_since_seconds: float) -> None:
        """Forgets other windows, and silent processes without counts.

        Args:
            kept: Windows to keep.
            silent_since_seconds: Steady time; processes that were heard since
                are kept.
        """
        for incarnation, sums in list(self.processes.items()):
            for window in [key for key in sums.windows if key not in kept]:
                del sums.windows[window]
            if not sums.windows and (
                sums.heard_at_seconds < silent_since_seconds
            ):
                del self.processes[incarnation]

    def total(self, window: int) -> dict[str, int]:
        """Returns the counts of a window over all processes."""
        total: dict[str, int] = {}
        for sums in self.processes.values():
            for organisation, count in sums.windows.get(window, {}).items():
                total[organisation] = total.get(organisation, 0) + count
        return total

    def heard_nodes(self, since_seconds: float) -> set[str]:
        """Returns the VMs of which a process was heard since a steady time."""
        return {
            sums.node
            for sums in self.processes.values()
            if sums.heard_at_seconds >= since_seconds
        }

    def awaits_process(
        self, *, began_at_seconds: float, ended_at_seconds: float
    ) -> bool:
        """Returns whether a process fell silent within a window.

        It may be cut off and have counted more. One whose VM has a newer
        process has ended.

        Args:
            began_at_seconds: Steady time at which the window began.
            ended_at_seconds: Steady time at which it ended.
        """
        heard_nodes = self.heard_nodes(ended_at_seconds)
        return any(
            began_at_seconds <= sums.heard_at_seconds < ended_at_seconds
            and sums.node not in heard_nodes
            for sums in self.processes.values()
        )

    def is_complete(
        self,
        *,
        begins_at_seconds: float,
        ends_at_seconds: float,
        ended_at_seconds: float,
        is_first: bool,
    ) -> bool:
        """Returns whether some process lived through a window.

        If none did, all routers were restarted meanwhile, and what the earlier
        processes counted last is lost. Before the first start of the deployment
        there was nothing to count.

        Args:
            begins_at_seconds: Agreed time at which the window begins.
            ends_at_seconds: Agreed time at which it ends.
            ended_at_seconds: Steady time at which it ended.
            is_first: Whether no earlier window was ever decided.
        """
        for sums in self.processes.values():
            if sums.heard_at_seconds < ended_at_seconds:
                continue
            limit_seconds = (
                ends_at_seconds
                if sums.first_start and is_first
                else begins_at_seconds
            )
            if sums.started_at_seconds <= limit_seconds:
                return True
        return False
