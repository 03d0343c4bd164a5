"""Tests of the memory for answers."""
