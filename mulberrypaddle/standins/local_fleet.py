"""A complete fleet in one process: routers and stand-ins on loopback."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING, Any

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.router import Router
from mulberrypaddle.settings import RouterSettings
from mulberrypaddle.standins.engine import EngineState, serve_engine
from mulberrypaddle.standins.local_server import LOOPBACK, LocalServer
from mulberrypaddle.standins.memory_store import MemoryStore
from mulberrypaddle.standins.object_api import serve_object_api
from mulberrypaddle.standins.plain_service import (
    PlainServiceState,
    serve_plain_service,
)
from mulberrypaddle.standins.ports import free_port

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_READY_POLLS = 400
READY_POLL_SECONDS = 0.05
# Status of a response whose connection was aborted, as tornado reports it.
ABORTED_RESPONSE_STATUS = 599


def key_digest(key: str) -> str:
    """Returns the SHA-256 hex digest of a key, as listed in contracts."""
    return hashlib.sha256(key.encode()).hexdigest()


class LocalFleet:
    """Object API, engines, plain services and routers, all on loopback.

    Attributes:
        store: Store behind the object API.
        engines: Engines by runner id.
        plain_services: Plain services by runner id.
        routers: The routers, in the order of their start.
        addresses: `host:port` of each router for callers, in the same order.
        operator_key: Operator's key that all routers accept.
    """

    def __init__(
        self,
        *,
        router_count: int = 1,
        data_centres: Sequence[str] = ("south",),
        **router_settings: Any,
    ) -> None:
        """Starts the object API and writes the data centres' documents.

        Args:
            router_count: How many routers `start` starts.
            data_centres: Names of the data centres, all in service; routers
                are assigned to them in turn.
            **router_settings: Further settings of each router, as in
                `RouterSettings`.
        """
        self._router_settings = router_settings
        self.store = MemoryStore()
        self.engines: dict[str, EngineState] = {}
        self.plain_services: dict[str, PlainServiceState] = {}
        self.routers: list[Router] = []
        self.addresses: list[str] = []
        self.operator_key = "operator-key"
        self._object_api = serve_object_api(self.store)
        self._servers: list[LocalServer] = [self._object_api]
        self._router_count = router_count
        self._data_centres = tuple(data_centres)
        for name in self._data_centres:
            text = f"data_centre: {name}\nstate: in\n"
            self.put(f"config/data-centres/{name}", text)

    def put(self, key: str, text: str) -> None:
        """Writes an object unconditionally, whatever its current version."""
        version = self.store.read(key).unwrap().version
        self.store.write(key, text.encode(), expected_version=version)

    def add_engine(
        self, runner_id: str, *, service: str, data_centre: str, **state: Any
    ) -> EngineState:
        """Starts an engine and registers it as a runner in the store.

        Args:
            runner_id: Name of the runner.
            service: Service that it belongs to.
            data_centre: Data centre of the runner.
            **state: Further arguments of `EngineState`.
        """
        engine = EngineState(runner_id, **state)
        self.engines[runner_id] = engine
        self._register_runner(
            runner_id, serve_engine(engine), service, "engine", data_centre
        )
        return engine

    def add_plain_service(
        self, runner_id: str, *, service: str, data_centre: str
    ) -> PlainServiceState:
        """Starts a plain service and registers it as a runner in the store."""
        plain = PlainServiceState(runner_id)
        self.plain_services[runner_id] = plain
        self._register_runner(
            runner_id, serve_plain_service(plain), service, "plain", data_centre
        )
        return plain

    def _register_runner(
        self,
        runner_id: str,
        server: LocalServer,
        service: str,
        kind: str,
        data_centre: str,
    ) -> None:
        """Writes the service's document and the runner's object."""
        self._servers.append(server)
        self.put(f"config/services/{service}", _service_document(service, kind))
        self.put(
            f"runners/{runner_id}",
            json.dumps(
                {
                    "service": service,
                    "kind": kind,
                    "address": server.address,
                    "data_centre": data_centre,
                }
            ),
        )

    async def start(self) -> None:
        """Starts the routers and waits until all are ready."""
        self.client = make_client()
        for index in range(self._router_count):
            self.start_router(f"router-{index + 1}", index)
        for address in self.addresses:
            await self._wait_until_ready(address)

    def start_router(self, member_id: str, index: int) -> Router:
        """Starts one router and returns without waiting until it is ready.

        Args:
            member_id: Name of the router.
            index: Selects the data centre, modulo their number.
        """
        address = f"{LOOPBACK}:{free_port()}"
        settings = RouterSettings(
            member_id=member_id,
            data_centre=self._data_centres[index % len(self._data_centres)],
            region="local",
            caller_address=address,
            peer_address=f"{LOOPBACK}:{free_port()}",
            object_api_address=self._object_api.address,
            operator_key_sha256=(key_digest(self.operator_key),),
            peer_plaintext=True,
            **self._router_settings,
        )
        router = Router(settings)
        router.start()
        self.routers.append(router)
        self.addresses.append(address)
        return router

    async def stop(self) -> None:
        """Stops the routers gracefully and closes the stand-ins."""
        self.client.close()
        await asyncio.gather(*(router.stop() for router in self.routers))
        for server in self._servers:
            await server.close()

    async def __aenter__(self) -> LocalFleet:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def call(
        self,
        service: str,
        path: str,
        body: Any,
        *,
        key: str,
        router: int = 0,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Sends one POST request to a service through a router.

        Args:
            service: Name of the service.
            path: Path below the service.
            body: JSON value of the body.
            key: The caller's key.
            router: Index of the router to call.
            headers: Further headers.

        Returns:
            The response, with status 599 if the connection was aborted.
        """
        return await self.fetch(
            "POST",
            f"/services/{service}{path}",
            router=router,
            key=key,
            body=json.dumps(body),
            headers=headers,
        )

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        router: int = 0,
        key: str = "",
        body: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Sends a request to a router.

        Args:
            method: HTTP method.
            path: Path with its query.
            router: Index of the router.
            key: Bearer key of a caller or operator.
            body: Body of the request, or None.
            headers: Further headers.

        Returns:
            The response, with status 599 if the connection was aborted.
        """
        request = HTTPRequest(
            f"http://{self.addresses[router]}{path}",
            method=method,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            body=body,
            request_timeout=30.0,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except HTTPClientError:
            return HTTPResponse(request, ABORTED_RESPONSE_STATUS)

    async def set_data_centre(
        self, name: str, state: str, *, override: bool = False
    ) -> HTTPResponse:
        """Takes a data centre out of service or brings it back in.

        Args:
            name: Name of the data centre.
            state: `in` or `out`.
            override: Accept it although the other data centres lack the
                capacity for the load.

        Returns:
            The router's response to the operator's request.
        """
        path = f"/operator/documents/data-centre/{name}"
        read = await self.fetch("GET", path, key=self.operator_key)
        version = json.loads(read.body)["version"]
        return await self.fetch(
            "PUT",
            path + ("?override=true" if override else ""),
            key=self.operator_key,
            body=f"data_centre: {name}\nstate: {state}\n",
            headers={"If-Match": str(version)},
        )

    async def _wait_until_ready(self, address: str) -> None:
        """Polls `/readyz`; raises TimeoutError after MAX_READY_POLLS."""
        for _ in range(MAX_READY_POLLS):
            response = await self.client.fetch(
                f"http://{address}/readyz", raise_error=False
            )
            if response.code == 200:
                return
            await asyncio.sleep(READY_POLL_SECONDS)
        raise TimeoutError(f"the router at {address} was not ready in time")


def _service_document(service: str, kind: str) -> str:
    """Returns the YAML document of a service."""
    return f"service: {service}\nkind: {kind}\n"
