"""Runs one router in a child process against stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from tornado.httpclient import HTTPClientError

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.standins.local_fleet import LocalFleet, key_digest
from mulberrypaddle.standins.local_server import LOOPBACK
from mulberrypaddle.standins.ports import free_port

if TYPE_CHECKING:
    from mulberrypaddle.standins.engine import EngineState

CALLER_KEY = "benchmark-key"
SLOTS = 1_024
READY_ATTEMPTS = 200
READY_WAIT_SECONDS = 0.05

_CONTRACT = f"""
organisation: museum
key_sha256: ['{key_digest(CALLER_KEY)}']
services:
- service: card-writer
  in_flight_requests: {SLOTS}
  in_flight_tokens: 100000000
  urgency: high
  deadline_seconds: 300
"""

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_KIB_BYTES = 1024


class Rig(LocalFleet):
    """An object API and engines in this process, one router in a child.

    Attributes:
        address: The router's address for callers, as "host:port".
        child: The router's process.
        card_writers: State of each engine of the service "card-writer".
    """

    def __init__(
        self,
        *,
        engine_count: int,
        answer_memory_bytes: int,
        unbounded: bool = False,
    ) -> None:
        super().__init__(router_count=0)
        self.put("config/contracts/museum", _CONTRACT)
        self.card_writers: list[EngineState] = []
        for number in range(1, engine_count + 1):
            self._add_card_writer(f"card-writer-{number}")
        self.address = f"{LOOPBACK}:{free_port()}"
        self._unbounded = unbounded
        self._answer_memory_bytes = answer_memory_bytes

    async def start(self) -> None:
        """Starts the router and waits until it is ready."""
        self.client = make_client()
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as settings:
            settings.write(self._settings())
            settings.flush()
            arguments = ["--unbounded"] if self._unbounded else []
            self.child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.router_child",
                    settings.name,
                    *arguments,
                ]
            )
            await self._wait_for_child()

    async def _wait_for_child(self) -> None:
        """Waits until the router answers that it is ready."""
        for _ in range(READY_ATTEMPTS):
            with contextlib.suppress(HTTPClientError):
                return await self._wait_until_ready(self.address)
            await asyncio.sleep(READY_WAIT_SECONDS)
        raise TimeoutError("the router did not become ready")

    async def stop(self) -> None:
        """Stops the router and the stand-ins."""
        self.child.terminate()
        self.child.wait(30)
        await super().stop()

    def resident_bytes(self) -> int:
        """Returns the resident memory of the router's process."""
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        assert match is not None
        return int(match.group(1)) * _KIB_BYTES

    def processor_seconds(self) -> float:
        """Returns the processor time that the router has used."""
        return processor_seconds(self.child.pid)

    async def metrics(self) -> dict[str, float]:
        """Returns the router's metrics that have no labels, by name."""
        response = await self.client.fetch(f"http://{self.address}/metrics")
        values = {}
        for line in response.body.decode().splitlines():
            if line.startswith("#") or "{" in line:
                continue
            name, value = line.split(" ")
            values[name] = float(value)
        return values

    def _add_card_writer(self, name: str) -> None:
        """Adds an engine without token delay and with all slots warm."""
        engine = self.add_engine(
            name, service="card-writer", data_centre="south", slots=SLOTS
        )
        engine.token_seconds = 0.0
        self.card_writers.append(engine)
        key = f"runners/{name}"
        document = json.loads(self.store.read(key).unwrap().value)
        document["slots"] = SLOTS
        document["cold_slots"] = SLOTS
        document["memory_tokens"] = 100_000_000
        self.put(key, json.dumps(document))

    def _settings(self) -> str:
        """Returns the router's settings file."""
        return f"""
member_id: router-1
data_centre: south
region: local
listen: {{callers: "{self.address}", peers: "{LOOPBACK}:{free_port()}"}}
object_api: {{address: "{self._object_api.address}"}}
limits: {{answer_memory_bytes: {self._answer_memory_bytes}}}
peer_plaintext: true
"""


def processor_seconds(process_id: int) -> float:
    """Returns the user and system processor time of a process."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS
