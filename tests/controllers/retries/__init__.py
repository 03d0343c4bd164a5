"""Tests of the retries."""
