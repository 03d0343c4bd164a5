"""Credits: limits that hold over all routers.

A pool stands for one runner or for one contract and service. Its owner
grants expiring levels to the routers that ask; the sum of all levels that
can be in force never exceeds what the pool bears.
"""

from __future__ import annotations

from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.controller import Credits
from mulberrypaddle.controllers.credits.ledger import (
    contract_limit,
    organisation_duty,
    runner_duty,
)
from mulberrypaddle.controllers.credits.subset import held_runners
from mulberrypaddle.controllers.credits.terms import Protections
from mulberrypaddle.controllers.credits.wallet import Wallet

__all__ = [
    "NOTHING",
    "Amount",
    "Credits",
    "Protections",
    "Wallet",
    "contract_limit",
    "held_runners",
    "organisation_duty",
    "runner_duty",
]
