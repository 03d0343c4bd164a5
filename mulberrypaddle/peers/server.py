"""The receiving side of all links: checks senders and unpacks envelopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc
from google.protobuf.message import DecodeError, Message

from mulberrypaddle.peers.credentials import (
    certificate_names,
    server_credentials,
)
from mulberrypaddle.peers.proto import envelope_pb2, envelope_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from mulberrypaddle.peers.counters import LinkCounters
    from mulberrypaddle.settings.settings import PeerTls

_MIN_PING_MILLISECONDS = 2_000


class _PeerServicer(envelope_pb2_grpc.PeerServicer):
    """gRPC service that receives the envelopes of all peers."""

    def __init__(
        self,
        receive: Callable[[str, Message], None],
        message_types: Iterable[type[Message]],
        *,
        authenticated: bool,
        counters: LinkCounters,
    ) -> None:
        self._receive = receive
        self._message_types: dict[str, type[Message]] = {}
        for message_type in message_types:
            self._message_types[message_type.DESCRIPTOR.full_name] = (
                message_type
            )
        self._authenticated = authenticated
        self._counters = counters
        self._incarnations: dict[str, int] = {}

    async def Link(  # noqa: N802
        self,
        request_iterator: AsyncIterator[envelope_pb2.Envelope],
        context: grpc.aio.ServicerContext,
    ) -> envelope_pb2.Ack:
        """Receives the envelopes of one stream until the peer closes it.

        Aborts the stream if the certificate does not name the sender, or if
        an envelope comes from an earlier incarnation of the sender.
        """
        names = certificate_names(context)
        async for envelope in request_iterator:
            if self._authenticated and envelope.sender not in names:
                self._counters.refused_envelopes += 1
                await context.abort(
                    grpc.StatusCode.UNAUTHENTICATED,
                    f"got sender {envelope.sender!r}, "
                    f"allowed is {', '.join(sorted(names))}",
                )
            known_incarnation = self._incarnations.get(envelope.sender, 0)
            if envelope.incarnation < known_incarnation:
                self._counters.refused_envelopes += 1
                await context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION,
                    f"got incarnation {envelope.incarnation}, "
                    f"allowed is {known_incarnation} or later",
                )
            self._incarnations[envelope.sender] = envelope.incarnation
            self._counters.received_bytes += envelope.ByteSize()
            self._handle_envelope(envelope)
        return envelope_pb2.Ack()

    def _handle_envelope(self, envelope: envelope_pb2.Envelope) -> None:
        """Passes on the messages of an envelope; unknown types are ignored."""
        for packed in envelope.messages:
            message_type = self._message_types.get(packed.TypeName())
            if message_type is None:
                continue
            try:
                message = message_type.FromString(packed.value)
            except DecodeError:
                self._counters.refused_envelopes += 1
                continue
            self._counters.received_messages += 1
            self._receive(envelope.sender, message)


class PeerServer:
    """Listens for the links of other routers.

    Received messages are passed to `receive` with the sender's id.
    """

    def __init__(
        self,
        receive: Callable[[str, Message], None],
        message_types: Iterable[type[Message]],
        *,
        address: str,
        tls: PeerTls | None,
        counters: LinkCounters,
    ) -> None:
        self._server = grpc.aio.server(
            options=[
                ("grpc.so_reuseport", 0),
                (
                    "grpc.http2.min_ping_interval_without_data_ms",
                    _MIN_PING_MILLISECONDS,
                ),
            ]
        )
        servicer = _PeerServicer(
            receive,
            message_types,
            authenticated=tls is not None,
            counters=counters,
        )
        envelope_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        if tls is None:
            self._server.add_insecure_port(address)
            return
        self._server.add_secure_port(address, server_credentials(tls))

    async def start(self) -> None:
        """Starts listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stops listening and aborts all streams."""
        await self._server.stop(grace=None)
