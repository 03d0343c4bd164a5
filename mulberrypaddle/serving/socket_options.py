"""TCP options that detect a peer which vanished without closing."""

from __future__ import annotations

import socket

import pycurl

# Idle time before the first keepalive probe, and between probes; the kernel's
# smallest unit.
KEEPALIVE_INTERVAL_SECONDS = 1

# Unanswered keepalive probes after which the connection counts as dead.
KEEPALIVE_PROBE_COUNT = 2

# Time within which sent bytes must be acknowledged. TCP retransmits a lost
# packet after 0.2 s, 0.4 s and so on, so this leaves room for some retries.
USER_TIMEOUT_MILLISECONDS = 2_500


def set_keepalive_options(connection: socket.socket) -> None:
    """Lets the kernel close a connection whose peer stops responding.

    Also disables Nagle's algorithm.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MILLISECONDS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


def enable_keepalive_probes(descriptor: int, purpose: int) -> int:
    """Sets the keepalive options on a new socket; curl's SOCKOPTFUNCTION.

    Args:
        descriptor: File descriptor of the new socket.
        purpose: Kind of the socket, as curl passes it; not used.
    """
    connection = socket.socket(fileno=descriptor)
    try:
        set_keepalive_options(connection)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)
