"""Groups of runners that serve one copy of a model together.

Nothing here does I/O. `picture` tells from the runners' own words which groups
stand; `placement` chooses which to form, of whom; `keeper` turns both into
orders; `ownership` says which router may give them.
"""

from __future__ import annotations
