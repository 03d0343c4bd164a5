"""A stand-in of a model runner, which forms groups and streams answers."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from fleet_2 import HttpRequest, Record, Runner, Store, answer_bytes

TOKENS_PER_EVENT = 5
JOIN_SECONDS = 0.2
FORM_SECONDS = 0.3
STALL_SECONDS = 4.0


def make_engine_service(name: str, *, size: int = 2) -> dict[str, Any]:
    """Returns a service with one model, served by groups of some runners."""
    return {
        "name": name,
        "healthPath": "/health",
        "engine": {
            "slots": 9,
            "models": [
                {
                    "name": "m1",
                    "size": size,
                    "share": 1.0,
                    "pace": 1.0,
                    "loadS": 2.0,
                    "warmS": 1.1,
                }
            ],
            "step_ms": 7.8,
            "per_seq_ms": 0.1,
            "context_per_k": 0.01,
            "read_per_s": 45900.0,
            "stride": 5,
            "chunk": 2048,
            "usual": {"prompt": 100, "answer": 60},
            "loadsPerS": 5.0,
            "loads_at_once": 7,
            "formMs": 300.0,
        },
    }


class EngineRunner(Runner):
    """A runner of a model engine, as the users' pages describe it.

    Attributes:
        domain: Its fabric domain.
        group: Its group: name, epoch, rank and state; None without one.
        members: Ids of the members of its group, the head first.
        was_ready: Names and epochs of the groups in which it was ready.
        orders: Orders that it has accepted.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        runner_id: str,
        *,
        fleet: dict[str, EngineRunner],
        service: str,
        zone: str,
        domain: str,
    ) -> None:
        super().__init__(
            store, record, runner_id, service=service, zone=zone, slots=9
        )
        self.fleet = fleet
        fleet[runner_id] = self
        self.domain = domain
        self.staged: list[str] = []
        self.model = ""
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.was_ready: set[tuple[str, int]] = set()
        self.highest_epoch = 0
        self.highest_token = 0
        self.orders = 0
        self.lacks_member_since: float | None = None

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        joined = self.group is not None and self.group["state"] != "joining"
        models = [{"name": self.model, "version": 1, "adapters": []}]
        return {
            **super().entry(),
            "domain": self.domain,
            "staged": self.staged,
            "group": self.group,
            "models": models if joined else [],
        }

    async def answer(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers an order, a question for its report or a request."""
        wanted = request.headers.get("x-expect-instance", self.runner_id)
        if wanted != self.runner_id:
            writer.write(answer_bytes(421, {"X-Instance-Id": self.runner_id}))
            return True
        if request.path == "/order":
            order = json.loads(request.body)
            status = self.take_order(order)
            self.record.write(f"{self.runner_id} {status} for {order}")
            self.report()
            writer.write(answer_bytes(status))
            return True
        if request.path == "/report":
            body = json.dumps({"stage": "mixed", "sequence": self.orders})
            writer.write(answer_bytes(200, body=body.encode()))
            return True
        if self.group is None or self.group["rank"]:
            writer.write(answer_bytes(421, {"At-Server": self.runner_id}))
            return True
        if self.group["state"] != "open":
            writer.write(answer_bytes(503, {"X-Not-Executed": "1"}))
            return True
        return await self.stream(request, writer)

    def take_order(self, order: dict[str, Any]) -> int:
        """Carries out an order; returns the status of its answer."""
        token = order.get("fencingToken", 0)
        if token < self.highest_token:
            return 412
        self.highest_token = token
        operation = order["operation"]
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            asyncio.get_running_loop().call_later(
                2.0, self._end_staging, order["model"]
            )
            return self._accept()
        if operation == "join":
            return self._join(order)
        if self.group is None or (order["group"], order["epoch"]) != (
            self.group["name"],
            self.group["epoch"],
        ):
            return 409
        if operation == "leave":
            self.group, self.members = None, []
            return self._accept()
        if operation == "close":
            if self.group["state"] != "open":
                return 409
            self.group = {**self.group, "state": "ready"}
            return self._accept()
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready" or self.group["rank"]:
            return 409
        asyncio.get_running_loop().call_later(
            FORM_SECONDS, self._open, self.group["epoch"]
        )
        return self._accept()

    def _accept(self) -> int:
        self.orders += 1
        return 202

    def _end_staging(self, model: str) -> None:
        self.staged = [model]
        self.report()

    def _join(self, order: dict[str, Any]) -> int:
        if order["epoch"] < self.highest_epoch:
            return 412
        key = (order["group"], order["epoch"])
        if self.group is not None and key == (
            self.group["name"],
            self.group["epoch"],
        ):
            return 200 if order["members"] == self.members else 412
        self.highest_epoch = order["epoch"]
        self.members = list(order["members"])
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": self.members.index(self.runner_id),
            "state": "joining",
        }
        seconds = JOIN_SECONDS if self.model == order["model"] else 1.1
        if order["model"] not in self.staged:
            seconds = 2.0
        self.model = order["model"]
        asyncio.get_running_loop().call_later(
            seconds, self._end_join, order["epoch"]
        )
        return self._accept()

    def _end_join(self, epoch: int) -> None:
        if self.group is None or self.group["epoch"] != epoch:
            return
        self.staged = [self.model]
        self.group = {**self.group, "state": "ready"}
        self.was_ready.add((self.group["name"], epoch))
        self.report()

    def _open(self, epoch: int) -> None:
        if self.group is None or self.group["epoch"] != epoch:
            return
        if self.group["state"] == "ready":
            self.group = {**self.group, "state": "open"}
            self.record.write(f"{self.runner_id} opens {self.group['name']}")
            self.report()

    @property
    def is_serving(self) -> bool:
        """Returns whether it is the head of an open group."""
        return self.group is not None and self.group["state"] == "open"

    def first_event(self, request: HttpRequest) -> int:
        """Returns the id of the first event that it sends."""
        return int(request.headers.get("last-event-id", "0")) + 1

    async def stream(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Streams the events of an answer; returns whether it was complete."""
        request_id = request.headers.get("x-request-id", "")
        first = self.first_event(request)
        tokens = int(request.headers["x-token-counts"].split(",")[1])
        last = tokens // TOKENS_PER_EVENT
        self.runs.append(request_id)
        self.record.write(f"{self.runner_id} runs {request_id} from {first}")
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            "X-Response-Seal: s",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        writer.write("\r\n".join(head).encode())
        for number in range(first, last + 1):
            await asyncio.sleep(TOKENS_PER_EVENT * 0.0078)
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not await self.end_stream(request, writer):
            return False
        self.record.write(f"{self.runner_id} ended {request_id} at {last}")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def end_stream(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Returns whether to write the end of the stream."""
        return True


def stream_request(request_id: str, *, events: int, keep: bool = True) -> bytes:
    """Returns a request for a stream of some events."""
    lines = [
        "POST /draft/1 HTTP/1.1",
        "Host: shop.example",
        f"X-Request-Id: {request_id}",
        "X-Api-Key: key-1",
        "X-Deadline-Ms: 8000",
        "X-Model: m1",
        f"X-Token-Counts: 100,{events * TOKENS_PER_EVENT}",
        f"X-Prompt-Prefix: 5c1e07a2:40,{request_id}:60",
        f"Content-Length: {len(request_id)}",
    ]
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", request_id]).encode()


async def read_stream(
    reader: asyncio.StreamReader, *, seconds: float
) -> tuple[int, list[int], str]:
    """Reads the answer to a request for a stream.

    Returns:
        Its status, the ids of its events, and how it ended: "complete" or what
        ended it.
    """
    until = time.monotonic() + seconds
    data = b""
    end = ""
    while not end:
        try:
            more = await asyncio.wait_for(
                reader.read(65536), max(0.01, until - time.monotonic())
            )
        except TimeoutError:
            end = "no end"
            break
        except ConnectionError as error:
            end = type(error).__name__
            break
        if not more:
            end = "closed"
            break
        data += more
        head, _, body = data.partition(b"\r\n\r\n")
        lower = head.lower()
        if b"transfer-encoding: chunked" in lower:
            if body.endswith(b"0\r\n\r\n"):
                end = "complete"
        elif b"content-length: " in lower:
            length = lower.split(b"content-length: ")[1].split(b"\r\n")[0]
            if len(body) >= int(length):
                end = "complete"
    status = int(data[9:12]) if data.startswith(b"HTTP/1.1 ") else 0
    ids = [
        int(line[4:])
        for line in data.split(b"\n")
        if line.startswith(b"id: ") and line[4:].isdigit()
    ]
    return status, ids, end
