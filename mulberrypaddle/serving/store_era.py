"""One order of the states of the store, also across its restores.

A store that is restored from a copy has lost what it acknowledged after the
copy was made. It goes on from the revision of the copy and gives later
revisions out again, so revisions of two eras can't be compared. Revisions
inside the system therefore combine the era with the store's own revision.
"""

from __future__ import annotations

# Era of a store that was never restored.
FIRST_ERA = 1

# Distance between the revisions of two eras. The store's own revision, and the
# distance times `MAX_ERA`, stay below it and below 2**53, so that JSON carries
# revisions exactly.
ERA_SPAN = 2**38

# Highest era that is accepted; fencing tokens and epochs that are derived from
# revisions fit signed 64-bit numbers up to it.
MAX_ERA = 2**13


def make_revision(store_revision: int, era: int) -> int:
    """Returns the revision that stands for a revision of the store in an era.

    Args:
        store_revision: Revision as the store numbers it.
        era: Era of the store at that revision.

    Raises:
        ValueError: If one of them is out of range.
    """
    if not 0 <= store_revision < ERA_SPAN:
        raise ValueError(f"got revision {store_revision} of the store")
    if not FIRST_ERA <= era <= MAX_ERA:
        raise ValueError(f"got era {era}, expected {FIRST_ERA} to {MAX_ERA}")
    return (era - FIRST_ERA) * ERA_SPAN + store_revision


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return FIRST_ERA + revision // ERA_SPAN


def store_revision_of(revision: int) -> int:
    """Returns the revision as the store numbers it within its era."""
    return revision % ERA_SPAN


def is_restored_between(before: int, after: int) -> bool:
    """Returns whether the store was restored between two revisions.

    Args:
        before: Revision of the earlier state; 0 if there was none.
        after: Revision of the later state.
    """
    return before > 0 and era_of(after) > era_of(before)
