"""Tests of the ejection."""
