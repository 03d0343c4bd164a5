"""Benchmarks; run one as `python -m benchmarks.NAME`."""
