"""The sending end of a link: batches messages on one stream to one peer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import grpc

from mulberrypaddle.peers.identity import channel_credentials
from mulberrypaddle.peers.outbox import Outbox
from mulberrypaddle.peers.proto import envelope_pb2, envelope_pb2_grpc

if TYPE_CHECKING:
    import random

    from google.protobuf.any_pb2 import Any as PackedMessage

    from mulberrypaddle.peers.counters import LinkCounters
    from mulberrypaddle.settings.settings import PeerTls

FLUSH_SECONDS = 0.025
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0
_KEEPALIVE_MILLISECONDS = 5_000
_KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000


class PeerIdentity:
    """What this router writes on its envelopes.

    Attributes:
        member_id: Name of this router.
        incarnation: This process's incarnation.
    """

    __slots__ = ("incarnation", "member_id")

    def __init__(self, member_id: str, incarnation: int) -> None:
        self.member_id = member_id
        self.incarnation = incarnation


class PeerClient:
    """Keeps one stream to one peer and reconnects when it breaks."""

    def __init__(
        self,
        identity: PeerIdentity,
        *,
        peer_id: str,
        address: str,
        tls: PeerTls | None,
        rng: random.Random,
        counters: LinkCounters,
    ) -> None:
        self.address = address
        self._identity = identity
        self._peer_id = peer_id
        self._tls = tls
        self._rng = rng
        self._counters = counters
        self._outbox = Outbox(counters)
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: PackedMessage) -> None:
        """Queues a message for the next envelope."""
        self._outbox.put(message)

    async def close(self) -> None:
        """Ends the stream; what is still queued is lost."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            await self._outbox.wait()
            with contextlib.suppress(
                grpc.RpcError, asyncio.InvalidStateError, OSError
            ):
                await self._stream()
            await asyncio.sleep(self._rng.uniform(0.5, 1) * self._backoff())

    def _backoff(self) -> float:
        backoff_seconds = self._backoff_seconds
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * backoff_seconds)
        return backoff_seconds

    async def _stream(self) -> None:
        async with self._channel() as channel:
            await asyncio.wait_for(channel.channel_ready(), MAX_BACKOFF_SECONDS)
            call = envelope_pb2_grpc.PeerStub(channel).Link()
            while True:
                await self._wait_for_batch(call)
                await self._write(call)
                self._backoff_seconds = MIN_BACKOFF_SECONDS

    async def _wait_for_batch(self, call: grpc.aio.StreamUnaryCall) -> None:
        """Waits for messages; a call that ended meanwhile is an error."""
        await self._outbox.wait()
        await asyncio.sleep(FLUSH_SECONDS)
        if call.done():
            raise asyncio.InvalidStateError

    async def _write(self, call: grpc.aio.StreamUnaryCall) -> None:
        envelope = envelope_pb2.Envelope(
            sender=self._identity.member_id,
            incarnation=self._identity.incarnation,
            messages=self._outbox.take_batch(),
        )
        await call.write(envelope)
        self._counters.sent_bytes += envelope.ByteSize()
        self._counters.sent_messages += len(envelope.messages)

    def _channel(self) -> grpc.aio.Channel:
        options: list[tuple[str, int | str]] = [
            ("grpc.keepalive_time_ms", _KEEPALIVE_MILLISECONDS),
            ("grpc.keepalive_timeout_ms", _KEEPALIVE_TIMEOUT_MILLISECONDS),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
        ]
        if self._tls is None:
            return grpc.aio.insecure_channel(self.address, options=options)
        options.append(("grpc.ssl_target_name_override", self._peer_id))
        return grpc.aio.secure_channel(
            self.address, channel_credentials(self._tls), options=options
        )
