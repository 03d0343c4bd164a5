"""Tests of the HTTP front door."""
