"""One router process: callers on one side, runners on the other.

Begin at `router.ServingRouter`, which ties the parts together, and at
`exchange.Exchange`, the life of one request. Decisions are taken in
`mulberrypaddle.dispatch` and `mulberrypaddle.replicas`; this package does the
input and output for them.
"""

from __future__ import annotations
