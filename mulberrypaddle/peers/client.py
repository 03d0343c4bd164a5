"""The sending side of a link: batches messages on one stream to one peer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

import grpc

from mulberrypaddle.peers.credentials import channel_credentials
from mulberrypaddle.peers.outbox import Outbox
from mulberrypaddle.peers.proto import envelope_pb2, envelope_pb2_grpc

if TYPE_CHECKING:
    import random

    from google.protobuf.any_pb2 import Any as PackedMessage

    from mulberrypaddle.peers.counters import LinkCounters
    from mulberrypaddle.settings.settings import PeerTls

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Time for which messages are collected into one envelope.
FLUSH_SECONDS = 0.025
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0
_KEEPALIVE_MILLISECONDS = 5_000
_KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000


class PeerIdentity:
    """The sender that this router's envelopes carry.

    Attributes:
        member_id: Id of this router.
        incarnation: Number of this process, which increases with every start.
    """

    __slots__ = ("incarnation", "member_id")

    def __init__(self, member_id: str, incarnation: int) -> None:
        self.member_id = member_id
        self.incarnation = incarnation


class PeerClient:
    """Sends messages to one peer on a stream that is reopened when it breaks.

    The stream is opened when a message is queued. Reconnections back off
    exponentially with jitter.

    Attributes:
        address: `host:port` of the peer.
    """

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
        self._task = asyncio.get_running_loop().create_task(
            self._run_until_cancelled()
        )

    def send(self, message: PackedMessage) -> None:
        """Queues a message; if the queue is full, the oldest is dropped."""
        self._outbox.put(message)

    async def close(self) -> None:
        """Closes the stream; messages that are still queued are lost."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run_until_cancelled(self) -> None:
        """Opens streams one after another, with a jittered backoff."""
        while True:
            await self._outbox.wait()
            try:
                await self._send_on_one_stream()
            except (grpc.RpcError, asyncio.InvalidStateError, OSError) as error:
                _LOGGER.debug(
                    "link_broken",
                    extra={"peer": self._peer_id, "reason": str(error)},
                )
            except Exception:
                # Nobody awaits this task before the link is closed.
                _LOGGER.exception("link_failed", extra={"peer": self._peer_id})
            await asyncio.sleep(
                self._rng.uniform(0.5, 1) * self._next_backoff_seconds()
            )

    def _next_backoff_seconds(self) -> float:
        """Returns the current backoff and doubles it up to the maximum."""
        backoff_seconds = self._backoff_seconds
        self._backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * backoff_seconds)
        return backoff_seconds

    async def _send_on_one_stream(self) -> None:
        """Opens a stream and sends batches on it until it fails."""
        async with self._make_channel() as channel:
            await asyncio.wait_for(channel.channel_ready(), MAX_BACKOFF_SECONDS)
            call = envelope_pb2_grpc.PeerStub(channel).Link()
            while True:
                await self._wait_for_batch(call)
                await self._write_batch(call)
                self._backoff_seconds = MIN_BACKOFF_SECONDS

    async def _wait_for_batch(self, call: grpc.aio.StreamUnaryCall) -> None:
        """Waits until messages are queued and the flush interval has passed.

        Raises:
            asyncio.InvalidStateError: If the call has ended by then.
        """
        await self._outbox.wait()
        await asyncio.sleep(FLUSH_SECONDS)
        if call.done():
            raise asyncio.InvalidStateError

    async def _write_batch(self, call: grpc.aio.StreamUnaryCall) -> None:
        """Writes one envelope of queued messages and counts it."""
        envelope = envelope_pb2.Envelope(
            sender=self._identity.member_id,
            incarnation=self._identity.incarnation,
            messages=self._outbox.take_batch(),
        )
        await call.write(envelope)
        self._counters.sent_bytes += envelope.ByteSize()
        self._counters.sent_messages += len(envelope.messages)

    def _make_channel(self) -> grpc.aio.Channel:
        """Returns a channel to the peer, with mutual TLS if configured.

        The TLS server name is the peer's id, which its certificate names.
        """
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
