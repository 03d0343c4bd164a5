"""Data types and pure functions shared by every part of a router."""
