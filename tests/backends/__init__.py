"""Tests of the clients of external systems."""
