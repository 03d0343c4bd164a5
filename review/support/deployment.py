"""A small deployment of real routers between stand-ins.

Store, runners and consumers are stand-ins of this folder. Routers are separate
processes, started with the command of the deploy file and with settings as
`DEPLOY.md` gives them. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from pathlib import Path
from typing import Any

from review.support.store import Store

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the small sites, as their pages give them.
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8.0
STABLE_WINDOW_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2

ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "shop.example"
API_KEY = "key-museum"
TENANT = "museum"

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


def free_port() -> int:
    """Returns a port that is free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def trouble() -> bool:
    """Returns whether the script is to inject its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt`, one line for each event, with the time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Exchange:
    """One request as a runner received it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers, with names in lower case.
        body: Body.
    """

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self) -> str:
        """Returns the id of the request."""
        return self.headers.get("x-request-id", "")


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one request or one answer with a length; None at the end.

    Raises:
        ConnectionError: If the connection ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("ended within a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer_bytes(
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns a complete answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class PlainRunner:
    """A sound runner of a plain service, one process as far as routers see.

    It registers itself, answers its status check, refuses requests for another
    runner with 421 and what it has no place for with 503 and `X-Not-Executed`.

    Attributes:
        runner_id: Its id.
        service: Service that it belongs to.
        zone: Zone of its machine.
        slots: Requests that it works on at once.
        queue: Further requests that it keeps waiting.
        work_seconds: Time that it works on a request.
        arrivals: Time, id and sending connection of each request that came.
        runs: Id of each request that it began to work on.
    """

    def __init__(
        self,
        deployment: Deployment,
        runner_id: str,
        *,
        service: str = "stock",
        zone: str = ZONES[0],
        slots: int = 6,
        queue: int = 24,
        work_seconds: float = 0.02,
        cold_seconds: float = 0.0,
    ) -> None:
        self._deployment = deployment
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_seconds = work_seconds
        self._cold_until = time.monotonic() + cold_seconds
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.alive = False
        self._sequence = 0
        self._held = 0
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.port = 0
        self._born_ms = 0

    async def start(self) -> None:
        """Starts a lifetime of the runner, at the address of the last one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.alive = True
        self._sequence = 0
        self._held = 0
        self._slots = asyncio.Semaphore(self.slots)
        self._born_ms = int(time.time() * 1000)
        self._spawn(self._heartbeat())

    def crash(self) -> None:
        """Ends the process: all connections are reset, nothing is said."""
        self.alive = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _heartbeat(self) -> None:
        while self.alive:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the runner writes into the store now."""
        self._sequence += 1
        cold_seconds = max(0.0, self._cold_until - time.monotonic())
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": int(cold_seconds * 1000),
            "sequence": self._sequence,
            "born": self._born_ms,
        }

    def report(self) -> None:
        """Writes the runner's entry into the store."""
        self._deployment.store.put("servers", self.runner_id, self.entry())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while self.alive:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                request = Exchange(method, target, headers, body)
                await self._handle(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _handle(
        self, request: Exchange, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request on a connection."""
        wanted = request.headers.get("x-expect-instance", self.runner_id)
        if wanted != self.runner_id:
            writer.write(answer_bytes(421, headers={"X-Not-Executed": "1"}))
            return
        if request.target == "/health":
            writer.write(
                answer_bytes(200, headers={"X-Instance-Id": self.runner_id})
            )
            return
        self.arrivals.append((time.monotonic(), request.request_id))
        headers = {"X-Request-Id": request.request_id}
        if self._held >= self.slots + self.queue:
            writer.write(
                answer_bytes(503, headers={**headers, "X-Not-Executed": "1"})
            )
            return
        self._held += 1
        try:
            async with self._slots:
                self.runs.append(request.request_id)
                self._deployment.record_run(self, request)
                data = await self.work_on(request, headers)
                if data:
                    writer.write(data)
                    await writer.drain()
        finally:
            self._held -= 1

    async def work_on(
        self, request: Exchange, headers: dict[str, str]
    ) -> bytes:
        """Works on a request and returns the whole answer.

        Args:
            request: The request.
            headers: Headers that all answers to it have.
        """
        await asyncio.sleep(self.work_seconds)
        seal = {"X-Response-Seal": f"{self.runner_id}.{request.request_id}"}
        return answer_bytes(200, request.request_id.encode(), headers | seal)


class RouterProcess:
    """One router, a process of its own.

    Attributes:
        number: Its number, 1 first.
        ip: Its loopback address.
        process: The process; None before the first start.
    """

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self.number = number
        self.ip = f"127.0.0.{number + 10}"
        self.process: subprocess.Popen[bytes] | None = None
        self._path = deployment.folder / f"node-{number}.toml"
        self.log_path = deployment.folder / f"log-{number}.txt"
        self._path.write_text(deployment.settings_of(self), encoding="utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._deployment.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "MULBERRYPADDLE_NODE_FILE": str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kills the process if it runs, and waits for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self, port: int) -> bool:
        """Returns whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, port), 1.0
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200" in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """The store, the runners and the routers of one script.

    Attributes:
        folder: Temporary folder for settings and logs.
        store: The platform's store.
        routers: The routers.
        runners: The runners, by id.
        record: Writes the record of the script.
        run_counts: How often each request ran, by its id.
        breaches: Breaches of rules that stand-ins have seen.
    """

    def __init__(
        self, case_folder: Path, *, routers: int, services: list[dict[str, Any]]
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.record = Record(case_folder)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        words = shlex.split(roles["router"]["run"])
        # The `python3` of the run command is the one that runs this script.
        self.command = [sys.executable, *words[1:]]
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.store_address = ("127.0.0.1", free_port())
        self.store = Store(self.store_address)
        self.services = services
        self.routes: list[dict[str, Any]] = []
        self.version = 0
        self.runners: dict[str, PlainRunner] = {}
        self.run_counts: dict[str, int] = {}
        self.breaches: list[str] = []
        self.routers = [
            RouterProcess(self, number) for number in range(1, routers + 1)
        ]

    def settings_of(self, router: RouterProcess) -> str:
        """Returns the settings file of a router, as on the users' pages."""
        ip = router.ip
        zone = ZONES[(router.number - 1) % len(ZONES)]
        seeds = ", ".join(f'"127.0.0.{11 + n}:8229"' for n in range(3))
        host, port = self.store_address
        return f"""
node = "front-{zone}-{router.number}"
role = "router"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPorts = [{self.peer_port}, {self.peer_port + 15}]
seeds = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = {int(HEARTBEAT_SECONDS * 1000)}
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants", "places", "pressure", "platform", "gangs"]
[zones]
{chr(10).join(f'{name} = "region-1"' for name in ZONES)}
[bindAddrs]
frontend = "{ip}:{self.caller_port}"
readiness = "{ip}:{self.ready_port}"
control = "{ip}:8229"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4200
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
backMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 105
coldExcess = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
againS = 0
stallMs = 4000
enforceFencing = true
ceilingWindowS = 5
ceilingExcess = 1.1
[platform]
address = "{host}:{port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    def put_config(self) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self.routes,
                "services": self.services,
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [{"name": TENANT, "apiKeys": [API_KEY]}],
            },
        )

    def add_route(
        self,
        name: str,
        kind: str,
        *,
        service: str = "stock",
        timeout_seconds: float = 2.0,
        target_seconds: float = 0.3,
        attempts: int = 2,
        **fields: Any,
    ) -> None:
        """Adds a route to the configuration that is written next."""
        self.routes.append(
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "service": service,
                "kind": kind,
                "timeoutMs": int(timeout_seconds * 1000),
                "targetLatencyMs": int(target_seconds * 1000),
                "maxAttempts": attempts,
                "priority": 2,
                "public": False,
                **fields,
            }
        )

    def record_run(self, runner: PlainRunner, request: Exchange) -> None:
        """Records that a runner began to work on a request."""
        request_id = request.request_id
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        self.record.write(f"run {request_id} by {runner.runner_id}")

    async def start(self, *, limit_seconds: float = 25.0) -> None:
        """Starts the store and the routers, and waits until all are ready.

        Raises:
            TimeoutError: If they are not in time.
        """
        await self.store.start()
        for router in self.routers:
            router.start()
        end = time.monotonic() + limit_seconds
        while time.monotonic() < end:
            ready = [
                await router.is_ready(self.ready_port)
                for router in self.routers
            ]
            if all(ready):
                # Routers that have just started learn of one another.
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("the routers are not ready")

    async def close(self) -> None:
        """Ends all that was started."""
        for router in self.routers:
            router.kill()
        for runner in self.runners.values():
            runner.crash()
        self.store.close()
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for router in self.routers:
                target = Path(keep) / router.log_path.name
                target.write_bytes(router.log_path.read_bytes())
        self._temporary.cleanup()


def new_id() -> str:
    """Returns an id for a request."""
    return uuid.uuid4().hex[:16]


class Consumer:
    """A consumer that keeps one connection to a router.

    Attributes:
        router: The router.
    """

    def __init__(self, deployment: Deployment, router: RouterProcess) -> None:
        self._deployment = deployment
        self.router = router
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        target: str,
        *,
        request_id: str,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        deadline_seconds: float = 4.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request and returns status, headers and body.

        Returns:
            Status 0 if no answer came: the connection ended or time was up.
        """
        self._deployment.record.write(
            f"sent {request_id} {method} {target} to {self.router.ip}"
        )
        try:
            answer = await asyncio.wait_for(
                self._send(
                    method,
                    target,
                    request_id=request_id,
                    body=body,
                    headers=headers,
                    deadline_seconds=deadline_seconds,
                ),
                deadline_seconds,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            self._deployment.record.write(f"no answer {request_id}: {error!r}")
            return 0, {}, b""
        status, fields, content = answer
        self._deployment.record.write(
            f"answered {request_id} {status} {content[:80]!r}"
        )
        if fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _send(
        self,
        method: str,
        target: str,
        *,
        request_id: str,
        body: bytes,
        headers: tuple[str, ...],
        deadline_seconds: float,
    ) -> tuple[int, dict[str, str], bytes]:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self.router.ip, self._deployment.caller_port
            )
        assert self._reader is not None
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Api-Key: {API_KEY}",
            f"X-Deadline-Ms: {int(deadline_seconds * 1000)}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        message = await read_message(self._reader)
        if message is None:
            raise ConnectionError("the connection ended")
        line, fields, content = message
        return int(line.split(" ")[1]), fields, content

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run_case(case: Any) -> None:
    """Runs the coroutine of a case and exits as the scripts have to.

    It exits with 1 if the case returns breaches, 0 if none, 2 on an error.
    """
    try:
        breaches = asyncio.run(asyncio.wait_for(case(), 110.0))
    except Exception as error:  # noqa: BLE001 - the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    for breach in breaches[:10]:
        print(breach)
    print(f"{len(breaches)} breaches" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
