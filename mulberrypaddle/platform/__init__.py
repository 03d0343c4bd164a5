"""Translation between the users' platform and the product.

Every name of the platform's wire stands here and nowhere else. Nothing is
decided here. Begin at `program.run`, which fits the parts into a router.
"""

from __future__ import annotations
