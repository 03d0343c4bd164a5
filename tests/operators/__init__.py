"""Tests of the operators' API."""
