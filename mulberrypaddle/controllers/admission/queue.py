"""The bounded queue of one service: fair shares, urgent first, no starvation.

Organisations share by start-time fair queueing, weighted by the logarithm of
their contract: a large organisation gets more, but its backlog never
stands before a small one's next request. An urgent request goes ahead of
its organisation's other ones, and a bounded step ahead of the others'.
Waiting raises urgency, so that nothing starves. Source: Goyal, Vin and
Cheng, "Start-time Fair Queueing", 1996.
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
# Virtual time by which one step of urgency goes ahead of other organisations.
URGENCY_STEP = 0.5


class Waiting:
    """One request that waits for credit.

    Attributes:
        request: The request.
        reply: Called once with a ticket or a problem.
        excluded_runner_ids: Runners that it must not be sent to.
        queued_at_seconds: When it came.
    """

    __slots__ = (
        "excluded_runner_ids",
        "queued_at_seconds",
        "reply",
        "request",
    )

    def __init__(
        self,
        request: Request,
        reply: Callable[[Result[Ticket, Problem]], None],
        *,
        excluded_runner_ids: frozenset[str],
        queued_at_seconds: float,
    ) -> None:
        self.request = request
        self.reply = reply
        self.excluded_runner_ids = excluded_runner_ids
        self.queued_at_seconds = queued_at_seconds

    def urgency(self, now_seconds: float) -> int:
        """Returns the urgency, raised by waiting; lower is more urgent."""
        steps = int((now_seconds - self.queued_at_seconds) / AGE_SECONDS)
        return max(int(self.request.urgency) - steps, 0)


class FairQueue:
    """Requests of one service that wait, by organisation and urgency.

    Attributes:
        size: How many wait.
    """

    __slots__ = ("_flows", "_tags", "_virtual_time", "_weights", "size")

    def __init__(self) -> None:
        self.size = 0
        self._flows: dict[tuple[str, int], deque[Waiting]] = {}
        # Virtual time at which an organisation's next request is due.
        self._tags: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._virtual_time = 0.0

    def push(self, waiting: Waiting, *, contract_requests: int) -> None:
        """Adds a request behind the earlier ones of its flow."""
        organisation = waiting.request.organisation
        if self.count(organisation) == 0:
            tag = self._tags.get(organisation, 0.0)
            self._tags[organisation] = max(tag, self._virtual_time)
        self._weights[organisation] = 1.0 + math.log2(max(contract_requests, 1))
        flow = (organisation, int(waiting.request.urgency))
        self._flows.setdefault(flow, deque()).append(waiting)
        self.size += 1

    def heads(self, now_seconds: float) -> list[Waiting]:
        """Returns the first of every flow, in the order of service."""
        found = [flow[0] for flow in self._flows.values()]
        found.sort(key=lambda waiting: self._rank(waiting, now_seconds))
        return found

    def _rank(
        self, waiting: Waiting, now_seconds: float
    ) -> tuple[float, int, float]:
        urgency = waiting.urgency(now_seconds)
        tag = self._tags[waiting.request.organisation]
        due = tag + urgency * URGENCY_STEP
        return due, urgency, waiting.queued_at_seconds

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
            tag = self._tags[request.organisation]
            self._virtual_time = max(self._virtual_time, tag)
            cost = 1.0 + request.tokens / TOKENS_PER_COST
            weight = self._weights[request.organisation]
            self._tags[request.organisation] = tag + cost / weight
        if self.size == 0:
            # Nobody waits, so nobody has been served ahead of another.
            self._tags.clear()
            self._weights.clear()
            self._virtual_time = 0.0
