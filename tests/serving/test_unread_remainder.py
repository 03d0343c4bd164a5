"""Tests of reading the rest of a refused request."""

from __future__ import annotations

import errno
import socket

import testtools

from mulberrypaddle.serving.unread_remainder import UnreadRemainder
from tests.support.asynchronous import run


class _Connection(socket.socket):
    """A connection of a process that has no free file descriptor."""

    def dup(self) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")


class UnreadRemainderTest(testtools.TestCase):
    """What is left of a request is read and dropped."""

    def test_connection_is_closed_without_a_free_descriptor(self) -> None:
        async def scenario() -> int:
            with _Connection() as connection:
                UnreadRemainder(connection).start()
                return connection.fileno()

        self.assertGreater(run(scenario()), 0)
