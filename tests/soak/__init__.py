"""Tests of the soak runs."""
