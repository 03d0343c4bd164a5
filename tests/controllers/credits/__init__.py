"""Tests of the credit ledger."""
