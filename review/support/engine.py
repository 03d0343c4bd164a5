"""Model runners that form groups, as the users' pages describe them."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

from review.support.deployment import (
    Exchange,
    PlainRunner,
    answer_bytes,
)

if TYPE_CHECKING:
    from review.support.deployment import Deployment

MODEL = "m1"
GROUP_SIZE = 2
JOIN_AGAIN_SECONDS = 0.2
WARM_SECONDS = 1.1
LOAD_SECONDS = 2.0
FORM_SECONDS = 0.3
STALL_SECONDS = 4.0
EVENTS = 12
EVENT_SECONDS = 0.05

# The service of the model runners in the configuration.
ENGINE_SERVICE = {
    "name": "cards",
    "healthPath": "/health",
    "maxConns": 300,
    "engine": {
        "slots": 9,
        "models": [
            {
                "name": MODEL,
                "size": GROUP_SIZE,
                "share": 1.0,
                "pace": 1.0,
                "loadS": LOAD_SECONDS,
                "warmS": WARM_SECONDS,
            }
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.1,
        "read_per_s": 45_900.0,
        "stride": 5,
        "usual": {"prompt": 700, "answer": 60},
        "loadsPerS": 2.0,
        "loads_at_once": 4,
        "formMs": int(FORM_SECONDS * 1000),
    },
}


class EngineRunner(PlainRunner):
    """A model runner.

    It joins, opens, closes and leaves groups on orders, reports each change at
    once, and streams events while it is the head of an open group.

    Attributes:
        domain: Its fabric domain.
        group: Name, epoch and rank of its group; None without one.
        members: Ids of the members of its group, the head first.
        state: State in its group; empty without one.
        staged: Models on its host.
    """

    def __init__(
        self,
        deployment: Deployment,
        runner_id: str,
        *,
        domain: str,
        zone: str,
    ) -> None:
        super().__init__(
            deployment, runner_id, service="cards", zone=zone, slots=9, queue=9
        )
        self.domain = domain
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.state = ""
        self.staged: list[str] = []
        self._last_model = ""
        self._highest_epoch = 0
        self._highest_fence = 0
        self._order_count = 0
        self._stalled_since: float | None = None
        self._watching = False

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the runner writes into the store now."""
        group = None
        if self.group is not None:
            group = {**self.group, "state": self.state}
        loaded = self.state in ("ready", "open", "closing")
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        return {
            **super().entry(),
            "domain": self.domain,
            "staged": list(self.staged),
            "models": models if loaded else [],
            "group": group,
        }

    async def start(self) -> None:
        """Starts the runner and watches over its group."""
        await super().start()
        self._spawn(self._watch_group())

    async def _watch_group(self) -> None:
        """Breaks an open group that lacks a member for too long."""
        while self.alive:
            await asyncio.sleep(0.05)
            if self.state != "open" or self.is_group_complete():
                self._stalled_since = None
                continue
            now = time.monotonic()
            self._stalled_since = self._stalled_since or now
            if now - self._stalled_since > STALL_SECONDS:
                self.state = "broken"
                self.report()

    def is_group_complete(self) -> bool:
        """Returns whether all members live and are in this group."""
        for member_id in self.members:
            member = self._deployment.runners[member_id]
            if not member.alive or not isinstance(member, EngineRunner):
                return False
            if self.group is None or member.group is None:
                return False
            if member.group["epoch"] != self.group["epoch"]:
                return False
        return True

    async def _handle(
        self, request: Exchange, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request, order or question on a connection."""
        wanted = request.headers.get("x-expect-instance", self.runner_id)
        if wanted != self.runner_id:
            writer.write(answer_bytes(421, headers={"X-Not-Executed": "1"}))
        elif request.target == "/order":
            writer.write(answer_bytes(self._order(json.loads(request.body))))
        elif request.target == "/report":
            report = {"stage": "mixed", "busy": False, "sequence": 0}
            writer.write(answer_bytes(200, json.dumps(report).encode()))
        elif self.state != "open":
            status = 503 if self.group and not self.group["rank"] else 421
            headers = {
                "X-Request-Id": request.request_id,
                "X-Not-Executed": "1",
            }
            writer.write(answer_bytes(status, headers=headers))
        else:
            await self._stream(request, writer)

    def _order(self, order: dict[str, Any]) -> int:
        """Carries out an order and returns the status of the answer."""
        fence = order.get("fencingToken", 0)
        if fence < self._highest_fence:
            return 412
        self._highest_fence = fence
        status = self._carry_out(order)
        self._deployment.record.write(
            f"order to {self.runner_id} (state {self.state or 'none'}): "
            f"{order['operation']} {order.get('group', '')} -> {status}"
        )
        return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        operation = order["operation"]
        if operation == "stage":
            self._spawn(self._stage(order["model"]))
            return 202
        if operation == "join":
            return self._join(order)
        key = (order["group"], order["epoch"])
        if self.group is None or key != (
            self.group["name"],
            self.group["epoch"],
        ):
            return 200 if operation == "leave" else 409
        if operation == "leave":
            self._end_group()
        elif operation == "close":
            self.state = "ready"
        elif self.state == "open":
            return 200
        elif self.state != "ready" or self.group["rank"]:
            return 409
        else:
            self._spawn(self._open(order["epoch"]))
            return 202
        self.report()
        return 202

    def _end_group(self) -> None:
        self.group, self.members, self.state = None, [], ""

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        self.staged = [model]
        self.report()

    async def _open(self, epoch: int) -> None:
        await asyncio.sleep(FORM_SECONDS)
        if self.group is not None and self.group["epoch"] == epoch:
            self.state = "open"
            self.report()

    def _join(self, order: dict[str, Any]) -> int:
        """Takes a join, which replaces the membership in another group."""
        epoch = order["epoch"]
        if epoch < self._highest_epoch:
            return 412
        if self.group is not None and self.group["epoch"] == epoch:
            return 200 if self.members == order["members"] else 412
        if self.group is not None:
            head = self._deployment.runners[self.members[0]]
            assert isinstance(head, EngineRunner)
            same = (
                head.alive
                and head.group is not None
                and head.group["epoch"] == self.group["epoch"]
            )
            if same and head.state in ("open", "closing"):
                self._deployment.breaches.append(
                    f"TWO: {self.runner_id} takes a join of {order['group']} "
                    f"while {head.runner_id}, the head of its group "
                    f"{self.group['name']}, is {head.state}"
                )
        self._highest_epoch = epoch
        self.members = order["members"]
        self.group = {
            "name": order["group"],
            "epoch": epoch,
            "rank": order["members"].index(self.runner_id),
        }
        self.state = "joining"
        seconds = LOAD_SECONDS
        if order["model"] == self._last_model:
            seconds = JOIN_AGAIN_SECONDS
        elif order["model"] in self.staged:
            seconds = WARM_SECONDS
        self._last_model = order["model"]
        self._spawn(self._become_ready(epoch, seconds, order["model"]))
        self.report()
        return 202

    async def _become_ready(
        self, epoch: int, seconds: float, model: str
    ) -> None:
        await asyncio.sleep(seconds)
        if self.group is not None and self.group["epoch"] == epoch:
            self.staged = [model]
            self.state = "ready"
            self.report()

    async def _stream(
        self, request: Exchange, writer: asyncio.StreamWriter
    ) -> None:
        """Streams the events of one answer; stands still without a member."""
        assert self.group is not None
        epoch = self.group["epoch"]
        self.runs.append(request.request_id)
        self._deployment.record_run(self, request)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.request_id}",
            f"X-Response-Seal: {self.runner_id}.{request.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            while self.state == "open" and not self.is_group_complete():
                await asyncio.sleep(EVENT_SECONDS)
            still_here = self.group is not None and (
                self.group["epoch"] == epoch
            )
            if self.state != "open" or not still_here:
                self._deployment.record.write(
                    f"{self.runner_id} cuts the stream {request.request_id}"
                )
                writer.transport.abort()
                raise ConnectionError("cut")
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
