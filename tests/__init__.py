"""Tests, laid out like the package; a violated invariant raises."""

from __future__ import annotations

import hypothesis

from mulberrypaddle.core import invariants

invariants.set_raise_on_breach(True)
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")
