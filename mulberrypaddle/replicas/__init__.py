"""Forms and repairs groups of runners that serve one model replica together.

Nothing here does I/O. `picture` derives the existing groups from the runners'
reports, `placement` chooses which groups to form from which runners, `keeper`
reconciles the two by issuing orders, and `ownership` tracks the lease that
decides which router may issue them.
"""

from __future__ import annotations
