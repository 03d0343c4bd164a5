"""One router process: accepts requests of callers and sends them to runners.

Start reading at `router.ServingRouter`, which creates and connects the parts,
and at `exchange.Exchange`, which handles one request. Decisions are made in
`mulberrypaddle.dispatch` and `mulberrypaddle.replicas`; this package does the
input and output for them.
"""

from __future__ import annotations
