"""Contract limits whose owner is lost while the members can't change.

Each listed member then has a fixed share of the contract; the shares add up
to the contract. They are used only once no earlier grant can be in force or
in use any more: a majority of the members has had no answer from the owner
for long enough, and the longest deadline of the service is over since.
A runner whose owner is lost gets nothing, since nobody would see it restart;
the other runners carry its work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.credits.amount import Amount
from mulberrypaddle.controllers.credits.ledger import (
    ORGANISATION_DUTY,
    contract_limit,
    longest_deadline_seconds,
)
from mulberrypaddle.controllers.credits.terms import SILENT_SECONDS
from mulberrypaddle.core.rendezvous import rank_members

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.credits.owners import Owners
    from mulberrypaddle.controllers.credits.quorum import Quorum
    from mulberrypaddle.controllers.credits.wallet import Wallet
    from mulberrypaddle.core.rendezvous import Duty

# The conditions are looked at again within this time.
_VALID_SECONDS = 1.0


def fall_back(
    context: Context,
    owners: Owners,
    quorum: Quorum,
    wallet: Wallet,
    now_seconds: float,
) -> None:
    """Gives this router its share of every contract whose owner is lost."""
    silent = set(wallet.silent_owners(now_seconds))
    if not silent:
        return
    for known in list(wallet.accounts.values()):
        if known.duty.kind != ORGANISATION_DUTY:
            continue
        owner = owners.owner(known.duty)
        if owner not in silent or not quorum.is_silent(owner, now_seconds):
            continue
        organisation, _, service = known.duty.name.partition("/")
        rest_seconds = SILENT_SECONDS + longest_deadline_seconds(
            context, service
        )
        since_seconds = wallet.answered_at_seconds(owner)
        if now_seconds < since_seconds + rest_seconds:
            continue
        limit = contract_limit(context, organisation, service)
        share = share_of(limit, known.duty, context)
        wallet.fall_back(known.duty, share, now_seconds + _VALID_SECONDS)


def share_of(limit: Amount, duty: Duty, context: Context) -> Amount:
    """Returns this router's share; those of all members add up to `limit`."""
    ranked = rank_members(duty, duties.membership(context).members)
    place = ranked.index(context.member_id)
    return Amount(
        _part(limit.requests, place, len(ranked)),
        _part(limit.tokens, place, len(ranked)),
    )


def _part(total: int, place: int, count: int) -> int:
    return total // count + (1 if place < total % count else 0)
