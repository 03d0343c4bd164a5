"""Options of sockets to peers that may vanish without a word."""

from __future__ import annotations

import socket

import pycurl

# Silence before the kernel asks the other end; its least unit.
PROBE_AFTER_SECONDS = 1

# Questions without an answer before the connection counts as dead.
PROBE_COUNT = 2

# Time for sent bytes to be acknowledged: a lost packet is sent again after
# 0.2 s, 0.4 s and so on.
USER_TIMEOUT_MILLISECONDS = 2_500


def set_probes(connection: socket.socket) -> None:
    """Lets the kernel end a connection whose other end is gone."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MILLISECONDS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


def probe_dead_peers(descriptor: int, purpose: int) -> int:
    """Sets the options on a new socket of curl (a SOCKOPTFUNCTION).

    Args:
        descriptor: The new socket.
        purpose: Not used.
    """
    connection = socket.socket(fileno=descriptor)
    try:
        set_probes(connection)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)
