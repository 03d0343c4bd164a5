"""Ports for servers whose address must be known before they start."""

from __future__ import annotations

import collections
import socket

# Number of ports that a process keeps reserved; a reservation takes a file
# descriptor.
MAX_RESERVED_PORTS = 256

_reservations: collections.deque[socket.socket] = collections.deque()


def free_port() -> int:
    """Returns a port that is free on all addresses, and reserves it.

    The port stays bound to a socket that does not listen. The system then gives
    it to no other socket, while a listener that sets SO_REUSEADDR, as those of
    tornado and asyncio do, can bind it, also repeatedly. Connections to it are
    refused until then.

    The reservation ends with this process, or after `MAX_RESERVED_PORTS`
    further ones.

    Raises:
        OSError: If no port is free.
    """
    while True:
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("", 0))
        port = int(reservation.getsockname()[1])
        if _is_free_for_datagrams(port):
            break
        reservation.close()
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVED_PORTS:
        _reservations.popleft().close()
    return port


def _is_free_for_datagrams(port: int) -> bool:
    """Returns whether no datagram socket is bound to a port."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(("", port))
        except OSError:
            return False
    return True
