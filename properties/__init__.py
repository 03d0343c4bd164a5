"""Property tests of fleets of routers; a breach of an invariant raises."""

from __future__ import annotations

import tests  # noqa: F401  (sets the Hypothesis profile and raises on breaches)
