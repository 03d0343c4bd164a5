"""Tests, laid out like the package; a violated invariant raises."""

from __future__ import annotations

import hypothesis

from mulberrypaddle.core import invariants

invariants.raise_breaches(True)
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")
