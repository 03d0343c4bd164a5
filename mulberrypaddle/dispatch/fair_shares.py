"""Fair shares of the slots among the organisations of an urgency rank.

Guards against an organisation that sends so many requests that those of others
of the same rank find no slot. While others wait, an organisation that uses more
than its fair share comes after them; while nobody else waits, it may use all
slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def is_over_fair_share(uses: Mapping[str, int], organisation: str) -> bool:
    """Returns whether an organisation uses more than its fair share.

    The fair share is an equal part of the slots in use for each organisation
    that uses any, the given one included. What small organisations leave of
    their shares remains for the others, which are then served after them.

    Args:
        uses: Slots in use over the fleet, by organisation of the same rank.
        organisation: Name of the organisation.
    """
    local_use = uses.get(organisation, 0)
    if not local_use:
        return False
    active = sum(1 for count in uses.values() if count > 0)
    return local_use * active > sum(uses.values())
