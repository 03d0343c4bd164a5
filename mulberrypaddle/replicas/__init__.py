"""Forms and repairs groups of runners that serve one model replica together.

Nothing here does I/O. A `GroupSnapshot` is the state of a group according to
the runners' reports, and a `Formation` is a group to be formed from chosen
runners. `GroupReconciler` reconciles the groups with the demand by issuing
orders, and `Ownership` tracks the lease that decides which router may issue
them.
"""

from __future__ import annotations
