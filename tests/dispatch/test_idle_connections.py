"""Tests of which idle connections count as usable, and for how long."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import IdleConnections


class IdleConnectionsTest(testtools.TestCase):
    """Connections expire, and expire sooner after some turned out closed."""

    def test_connection_is_taken_once(self) -> None:
        connections = IdleConnections()
        connections.add("a:1", timeout_seconds=2.0, now_seconds=0.0)
        self.assertFalse(connections.take("b:1", 1.0))
        self.assertTrue(connections.take("a:1", 1.0))
        self.assertFalse(connections.take("a:1", 1.0))

    def test_connection_expires_before_the_announced_timeout(self) -> None:
        connections = IdleConnections()
        connections.add("a:1", timeout_seconds=2.0, now_seconds=0.0)
        self.assertTrue(connections.has_usable("a:1", 1.7))
        self.assertFalse(connections.has_usable("a:1", 2.0))

    def test_usable_time_shrinks_after_closed_connections(self) -> None:
        connections = IdleConnections()
        for _ in range(3):
            connections.add("a:1", timeout_seconds=2.0, now_seconds=0.0)
            connections.record_closed("a:1")
        self.assertFalse(connections.has_usable("a:1", 0.0))
        connections.add("a:1", timeout_seconds=2.0, now_seconds=0.0)
        self.assertTrue(connections.has_usable("a:1", 0.1))
        self.assertFalse(connections.has_usable("a:1", 0.3))

    def test_usable_time_grows_back_after_used_connections(self) -> None:
        connections = IdleConnections()
        for _ in range(3):
            connections.record_closed("a:1")
        for _ in range(60):
            connections.record_used()
        connections.add("a:1", timeout_seconds=2.0, now_seconds=0.0)
        self.assertTrue(connections.has_usable("a:1", 1.7))
