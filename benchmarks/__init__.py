"""Measurements, each run as `python -m benchmarks.NAME`."""
