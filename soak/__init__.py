"""Randomised long-running tests of real router processes."""
