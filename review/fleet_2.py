"""Stand-ins of the platform, runners and callers for the cases 6 to 10.

They use only the standard library. All addresses are loopback addresses. The
routers are the project's own program, started with the command of the deploy
file.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
HEARTBEAT_SECONDS = 1.2
SILENT_INTERVALS = 3
HOST = "shop.example"
# Longest time that a case may take.
MAX_SECONDS = 110.0

# Bounds of the small deployments of the users' pages.
BOUNDS = """
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
"""


class CannotRunError(Exception):
    """The case can't run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to a file and keeps it."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the record was begun."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Adds a line with the time in seconds since the start."""
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class HttpRequest:
    """A request that a stand-in has read."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        """Returns the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Returns the fields of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Reads the lines of a head; None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode("latin-1").strip("\r\n").split("\r\n")


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Returns headers by their names in lower case."""
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Reads a request; None if the connection ended before it."""
    lines = await read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = parse_headers(lines[1:])
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpRequest(method, target, headers, body)


def answer_bytes(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer with a length."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def without_sequence(spec: Any) -> Any:
    """Returns a spec without the part that each heartbeat changes."""
    if not isinstance(spec, dict):
        return spec
    return {name: value for name, value in spec.items() if name != "sequence"}


class Store:
    """The platform's metadata store.

    Attributes:
        revision: Revision of the last change.
        port: Port at which it listens.
        is_down: Whether it answers 503 to every call.
        calls_by_port: Number of calls that came, by port.
    """

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._servers: dict[int, asyncio.Server] = {}
        # Open connections, by the port that they were made to.
        self._writers: dict[int, set[asyncio.StreamWriter]] = {}
        self.revision = 100
        self.port = 0
        self.is_down = False
        self.calls_by_port: dict[int, int] = {}

    async def start(self) -> None:
        """Starts to listen, at a new port each time."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**21
        )
        self.port = server.sockets[0].getsockname()[1]
        self._servers[self.port] = server

    def close(self) -> None:
        """Stops listening."""
        for port in list(self._servers):
            self.close_port(port)

    def close_port(self, port: int) -> None:
        """Stops listening at one port, and closes its connections."""
        self._servers.pop(port).close()
        for writer in self._writers.pop(port, set()):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; returns the revision at which it is written."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None:
            if known["spec"] == spec:
                return int(known["metadata"]["revision"])
            if kind == "servers" and (
                without_sequence(known["spec"]) == without_sequence(spec)
            ):
                known["spec"] = spec
                return int(known["metadata"]["revision"])
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        content = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = content
        self._notify(kind, content, removed=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object, if there is one."""
        content = self._objects.get(kind, {}).pop(name, None)
        if content is None:
            return
        self.revision += 1
        content = json.loads(json.dumps(content))
        content["metadata"]["revision"] = self.revision
        self._notify(kind, content, removed=True)

    def get(self, kind: str, name: str) -> Any:
        """Returns the spec of an object; None if there is none."""
        content = self._objects.get(kind, {}).get(name)
        return None if content is None else content["spec"]

    def _notify(
        self, kind: str, content: dict[str, Any], *, removed: bool
    ) -> None:
        frozen = json.loads(json.dumps(content))
        self._events.append((self.revision, kind, frozen, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("sockname")[1]
        self._writers.setdefault(port, set()).add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls_by_port[port] = self.calls_by_port.get(port, 0) + 1
                status, value = await self._answer(request)
                body = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    answer_bytes(
                        status, {"Content-Type": "application/json"}, body
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.get(port, set()).discard(writer)
            writer.close()

    async def _answer(self, request: HttpRequest) -> tuple[int, Any]:
        if self.is_down:
            return 503, None
        parts = [
            urllib.parse.unquote(part)
            for part in request.path.strip("/").split("/")
        ]
        kind, name = parts[1], "/".join(parts[2:])
        objects = self._objects.get(kind, {})
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET" and name:
            found = objects.get(name)
            return (404, None) if found is None else (200, found)
        if request.method == "GET":
            return 200, {
                "items": list(objects.values()),
                "hasMore": False,
                "storeRevision": self.revision,
            }
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        known = objects.get(name)
        if request.method == "POST":
            if known is not None:
                return 409, known
        elif known is None:
            return 404, None
        wanted = metadata.get("revision", request.query.get("revision"))
        is_outdated = (
            known is not None
            and wanted is not None
            and int(wanted) != known["metadata"]["revision"]
        )
        if is_outdated:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, None
        self.put(kind, name, body.get("spec"))
        return 200, self._objects[kind][name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": content, "removed": removed}
                for revision, of_kind, content, removed in self._events
                if of_kind == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        return 200, {"events": events, "storeRevision": self.revision}


class Runner:
    """A sound runner of a plain service.

    Attributes:
        runner_id: Its id.
        runs: Ids of the requests that it has begun to run, in order.
        work_seconds: Time that it takes for a request.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        runner_id: str,
        *,
        service: str,
        zone: str,
        slots: int = 6,
        work_seconds: float = 0.02,
    ) -> None:
        self.store = store
        self.record = record
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.state = "ready"
        self.runs: list[str] = []
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.is_alive = True
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen and registers the runner."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.ensure_future(self._beat()))

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born_ms,
            "sequence": self._sequence,
        }

    def report(self) -> None:
        """Writes its entry, unless the store is down."""
        self._sequence += 1
        if self.is_alive and not self.store.is_down:
            self.store.put("servers", self.runner_id, self.entry())

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def crash(self) -> None:
        """Ends it: resets its connections and says nothing more."""
        self.is_alive = False
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(
            SILENT_INTERVALS * HEARTBEAT_SECONDS,
            self.store.remove,
            "servers",
            self.runner_id,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether to read another one."""
        headers = request.headers
        wanted = headers.get("x-expect-instance", self.runner_id)
        if wanted != self.runner_id:
            writer.write(answer_bytes(421, {"X-Instance-Id": self.runner_id}))
            return True
        return await self.run(request, writer)

    async def run(
        self, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request of a caller."""
        request_id = request.headers.get("x-request-id", "")
        self.runs.append(request_id)
        self.record.write(f"{self.runner_id} runs {request_id}")
        await asyncio.sleep(self.work_seconds)
        body = json.dumps({"for": request_id}).encode()
        writer.write(
            answer_bytes(
                200,
                {"X-Request-Id": request_id, "X-Response-Seal": "s"},
                body,
            )
        )
        await writer.drain()
        return True


def free_port() -> int:
    """Returns a free port of the loopback addresses."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Ports:
    """Ports that all routers of a deployment use."""

    def __init__(self) -> None:
        self.caller = free_port()
        self.ready = free_port()
        self.control = free_port()
        self.peer = free_port()


class Router:
    """One router, a process of the project's own program."""

    def __init__(
        self,
        number: int,
        *,
        folder: pathlib.Path,
        ports: Ports,
        store_port: int,
        zone: str,
        zones: list[str],
        routers: int,
        bootstrap: bool = True,
    ) -> None:
        self.ip = f"127.0.0.{number + 20}"
        self.name = f"front-{zone}-{number}"
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.settings_path = folder / f"node-{number}.toml"
        self.log_path = folder / f"log-{number}.txt"
        seeds = [
            f"127.0.0.{seed + 20}:{ports.control}"
            for seed in range(1, min(3, routers) + 1)
        ]
        lines = [
            f'node = "{self.name}"',
            'role = "router"',
            'machineClass = "front"',
            'serves = ["front", "control"]',
            f'ip = "{self.ip}"',
            f'zone = "{zone}"',
            'region = "tx-central"',
            f"internalPorts = [{ports.peer}, {ports.peer + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {'true' if bootstrap else 'false'}",
            "lossCounts = false",
            'discovery = "platform"',
            'entry = "virtual_ip"',
            "heartbeatMs = 1200",
            "[zones]",
            *(f'{name} = "tx-central"' for name in zones),
            "[bindAddrs]",
            f'frontend = "{self.ip}:{ports.caller}"',
            f'readiness = "{self.ip}:{ports.ready}"',
            f'control = "{self.ip}:{ports.control}"',
            "[limits]",
            "cpuShare = 0.537",
            "cpuCores = 2",
            "memoryMb = 300",
            "maxFds = 4100",
            "bandwidthMbps = 1000.0",
            "diskMb = 0",
            "[faultTolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            BOUNDS,
            "[platform]",
            f'address = "127.0.0.1:{store_port}"',
            'form = "objects"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        self.settings_path.write_text("\n".join(lines), encoding="utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYPADDLE_NODE_FILE"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether its readiness check succeeds."""
        try:
            answer = await exchange(
                self.ip,
                self.ports.ready,
                b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
                seconds=1.0,
            )
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")


async def exchange(ip: str, port: int, data: bytes, *, seconds: float) -> bytes:
    """Sends bytes and returns all that comes until the connection ends."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, port), 1.0
    )
    try:
        writer.write(data)
        return await asyncio.wait_for(reader.read(), seconds)
    finally:
        writer.close()


def make_route(name: str, service: str, kind: str, **fields: Any) -> Any:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "priority": 1,
        "public": False,
        **fields,
    }


def make_config(
    version: int, routes: list[Any], services: list[Any], **fields: Any
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "museum", "apiKeys": ["key-1"]}],
        **fields,
    }


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 4000,
    headers: tuple[str, ...] = (),
    keep: bool = False,
) -> bytes:
    """Returns the bytes of a request of a caller."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Api-Key: key-1",
        f"X-Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def status_of(answer: bytes) -> int:
    """Returns the status of an answer; 0 if there is none."""
    if not answer.startswith(b"HTTP/1.1 "):
        return 0
    return int(answer[9:12])


async def wait_until(
    condition: Callable[[], Awaitable[bool]], *, seconds: float, what: str
) -> None:
    """Waits for a condition.

    Raises:
        CannotRunError: If it does not hold in time.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"timed out: {what}")


def main(
    case_folder: pathlib.Path,
    play: Callable[[Record, pathlib.Path, bool], Awaitable[bool]],
) -> int:
    """Plays a case; returns its exit status.

    Args:
        case_folder: Folder of the case, for `record.txt`.
        play: Plays the case, given the record, a temporary folder and whether
            there is a disruption; returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, _stop)
    record = Record(case_folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(
                asyncio.wait_for(
                    play(record, pathlib.Path(folder), trouble), MAX_SECONDS
                )
            )
        except Exception as error:  # noqa: BLE001 - must not look like a break
            record.write(f"can't run: {type(error).__name__}: {error}")
            return 2
    record.write("the rule held" if held else "the rule was broken")
    record.close()
    return 0 if held else 1


def _stop(*_: object) -> None:
    """Ends the script, which then ends the processes that it started."""
    sys.exit(2)
