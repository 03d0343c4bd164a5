"""Randomised runs over several routers; every breach of an invariant raises."""

from __future__ import annotations

import tests  # noqa: F401  (sets the hypothesis profile and the raising)
