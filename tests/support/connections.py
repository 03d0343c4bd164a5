"""Connections over the loopback interface."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def connected_sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Yields both ends of a connection over the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with near, far:
            yield near, far
