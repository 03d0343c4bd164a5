"""Randomized soaks of the real programs."""
