"""The bounded queue of one service: urgent first, fair, without starvation.

Organisations share by start-time fair queueing, weighted by the square root
of their contract: a large organisation gets more, but its backlog never
stands before a small one's next request. Waiting raises urgency, so that
nothing starves. Source: Goyal, Vin and Cheng, "Start-time Fair Queueing",
1996.
"""

from __future__ import annotations

import itertools
import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.core.ticket import Ticket

# After this time in the queue a request counts as one step more urgent.
AGE_SECONDS = 2.0
TOKENS_PER_COST = 4_096


class Waiting:
    """One request that waits for credit.

    Attributes:
        request: The request.
        reply: Called once with a ticket or a problem.
        passed_over: Runners that it must not be sent to.
        queued_at_seconds: When it came.
        start_tag: Virtual time at which its service is due.
    """

    __slots__ = (
        "passed_over",
        "queued_at_seconds",
        "reply",
        "request",
        "start_tag",
    )

    def __init__(
        self,
        request: Request,
        reply: Callable[[Result[Ticket, Problem]], None],
        *,
        passed_over: frozenset[str],
        queued_at_seconds: float,
    ) -> None:
        self.request = request
        self.reply = reply
        self.passed_over = passed_over
        self.queued_at_seconds = queued_at_seconds
        self.start_tag = 0.0

    def rank(self, now_seconds: float) -> tuple[int, float]:
        """Returns the place in the order of service; lower goes first."""
        steps = int((now_seconds - self.queued_at_seconds) / AGE_SECONDS)
        return max(int(self.request.urgency) - steps, 0), self.start_tag


class FairQueue:
    """Requests of one service that wait, by organisation and urgency.

    Attributes:
        size: How many wait.
    """

    __slots__ = ("_finish_tags", "_flows", "_virtual_time", "size")

    def __init__(self) -> None:
        self.size = 0
        self._flows: dict[tuple[str, int], deque[Waiting]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def push(self, waiting: Waiting, *, contract_requests: int) -> None:
        """Adds a request behind its own organisation's earlier ones."""
        request = waiting.request
        finish_tag = self._finish_tags.get(request.organisation, 0.0)
        waiting.start_tag = max(self._virtual_time, finish_tag)
        cost = 1.0 + request.tokens / TOKENS_PER_COST
        weight = math.sqrt(max(contract_requests, 1))
        self._finish_tags[request.organisation] = (
            waiting.start_tag + cost / weight
        )
        flow = (request.organisation, int(request.urgency))
        self._flows.setdefault(flow, deque()).append(waiting)
        self.size += 1

    def heads(self, now_seconds: float) -> list[Waiting]:
        """Returns the first of every flow, in the order of service."""
        found = [flow[0] for flow in self._flows.values()]
        found.sort(key=lambda waiting: waiting.rank(now_seconds))
        return found

    def all(self) -> list[Waiting]:
        """Returns everything that waits, the first of every flow first."""
        found: list[Waiting] = []
        for row in itertools.zip_longest(*self._flows.values()):
            found.extend(waiting for waiting in row if waiting is not None)
        return found

    def count(self, organisation: str) -> int:
        """Returns how many of an organisation's requests wait."""
        total = 0
        for flow, members in self._flows.items():
            if flow[0] == organisation:
                total += len(members)
        return total

    def organisations(self) -> int:
        """Returns how many organisations wait."""
        return len({flow[0] for flow in self._flows})

    def remove(self, waiting: Waiting, *, served: bool) -> None:
        """Takes out one request."""
        request = waiting.request
        key = (request.organisation, int(request.urgency))
        flow = self._flows[key]
        flow.remove(waiting)
        self.size -= 1
        if not flow:
            del self._flows[key]
        if served:
            self._virtual_time = max(self._virtual_time, waiting.start_tag)
        if self.size == 0:
            # Nobody waits, so nobody has been served ahead of another.
            self._finish_tags.clear()
            self._virtual_time = 0.0
