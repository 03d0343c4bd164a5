"""The holder's side of the ledger: asks for credit and uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.credits.account import Account
from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.terms import (
    GRANT_SECONDS,
    RENEW_SECONDS,
    SILENT_SECONDS,
    URGENT_SECONDS,
    Protections,
)
from mulberrypaddle.core.invariants import Invariant, check
from mulberrypaddle.peers.proto import credits_pb2

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.credits.owners import Owners
    from mulberrypaddle.core.rendezvous import Duty

# Wait before an owner that granted too little is asked again.
RETRY_SECONDS = 0.25
_MAX_OPEN_ASKS = 16


class _SentAsk:
    """What one ask told its owner."""

    __slots__ = ("doubtful", "epoch", "greets", "sent_at_seconds")

    def __init__(
        self, sent_at_seconds: float, *, epoch: int, greets: bool
    ) -> None:
        self.sent_at_seconds = sent_at_seconds
        self.epoch = epoch
        self.greets = greets
        self.doubtful: dict[str, Amount] = {}


class _Link:
    """What is open between this holder and one owner."""

    __slots__ = (
        "answered_at_seconds",
        "asks",
        "echo_milliseconds",
        "greeted",
        "next_full_at_seconds",
        "owner_incarnation",
        "sent_at_seconds",
    )

    def __init__(self, now_seconds: float) -> None:
        self.answered_at_seconds = now_seconds
        self.asks: dict[int, _SentAsk] = {}
        self.echo_milliseconds = 0
        self.greeted = -1
        self.owner_incarnation = 0
        self.next_full_at_seconds = float("-inf")
        self.sent_at_seconds = float("-inf")


class Wallet:
    """Credit that this router holds.

    Attributes:
        accounts: By pool name.
    """

    __slots__ = (
        "_asks",
        "_context",
        "_links",
        "_owners",
        "_protections",
        "accounts",
    )

    def __init__(
        self, context: Context, owners: Owners, protections: Protections
    ) -> None:
        self._context = context
        self._owners = owners
        self._protections = protections
        self.accounts: dict[str, Account] = {}
        self._links: dict[str, _Link] = {}
        self._asks = 0

    def account(self, duty: Duty) -> Account:
        """Returns the account of a pool, a new one at its first use."""
        name = str(duty)
        known = self.accounts.get(name)
        if known is None:
            known = Account(duty)
            self.accounts[name] = known
        return known

    def available(self, duty: Duty, now_seconds: float) -> Amount:
        """Returns what may be taken now."""
        known = self.accounts.get(str(duty))
        if known is None or not self._is_live(known, now_seconds):
            return NOTHING
        return known.available()

    def take(self, duty: Duty, amount: Amount, now_seconds: float) -> None:
        """Puts credit in use for one request."""
        known = self.account(duty)
        check(
            known.available().covers(amount)
            and self._is_live(known, now_seconds),
            Invariant.CREDITS_WITHIN_CAPACITY,
            f"{duty}: took {amount}, allowed {known.available()} "
            f"until {known.valid_until_seconds}",
        )
        known.in_use = known.in_use.plus(amount)
        known.touch(amount.tokens, now_seconds)

    def give_back(self, duty: Duty, amount: Amount, *, succeeded: bool) -> None:
        """Ends the use of credit whose end is known."""
        known = self.account(duty)
        known.in_use = known.in_use.minus(amount)
        if succeeded:
            known.completed += 1

    def give_up(self, duty: Duty, amount: Amount) -> None:
        """Ends the use of credit without knowing the end at the runner.

        The owner goes on counting it until the runner's report shows that
        it is over.
        """
        known = self.account(duty)
        known.in_use = known.in_use.minus(amount)
        known.doubtful = known.doubtful.plus(amount)

    def suspect(self, duty: Duty) -> None:
        """Stops using a runner whose connection broke."""
        known = self.account(duty)
        known.suspect = True
        known.level = NOTHING
        known.next_ask_at_seconds = float("-inf")

    def distrust(self) -> None:
        """Uses no grant that was made before a pause."""
        if not self._protections.expires_grants:
            return
        for known in self.accounts.values():
            known.valid_until_seconds = float("-inf")

    def silent_owners(self, now_seconds: float) -> list[str]:
        """Returns the members that have answered nothing for long.

        Without a lapsed lease nobody asks, as the membership then replaces
        a silent owner itself.
        """
        if not self._is_lapsed(now_seconds):
            return []
        silent = []
        for member_id in duties.membership(self._context).members:
            link = self._links.get(member_id)
            if link is None:
                continue
            if now_seconds - link.answered_at_seconds >= SILENT_SECONDS:
                silent.append(member_id)
        return silent

    def answered_at_seconds(self, owner: str) -> float:
        """Returns when an owner last answered, or was first asked."""
        link = self._links.get(owner)
        return float("inf") if link is None else link.answered_at_seconds

    def fall_back(
        self, duty: Duty, share: Amount, until_seconds: float
    ) -> None:
        """Uses a share of a contract whose owner is lost."""
        known = self.account(duty)
        known.level = share
        known.valid_until_seconds = until_seconds
        known.owner = ""

    def asks(
        self, now_seconds: float
    ) -> list[tuple[str, credits_pb2.CreditAsk]]:
        """Returns the messages that are due, one for each owner."""
        by_owner: dict[str, list[Account]] = {}
        if self._protections.shares:
            for member_id in duties.membership(self._context).members:
                by_owner[member_id] = []
        for known in list(self.accounts.values()):
            owner = self._owners.owner(known.duty)
            if owner is not None:
                by_owner.setdefault(owner, []).append(known)
        messages = []
        for owner, accounts in by_owner.items():
            ask = self._ask(owner, accounts, now_seconds)
            if ask is not None:
                messages.append((owner, ask))
        return messages

    def take_grants(
        self, sender: str, message: credits_pb2.CreditGrants
    ) -> None:
        """Applies an owner's answer."""
        link = self._links.get(sender)
        if link is None:
            return
        sent = link.asks.pop(message.ask_sequence, None)
        if sent is None and message.ask_sequence != 0:
            return
        if message.owner_incarnation < link.owner_incarnation:
            return
        if message.owner_incarnation > link.owner_incarnation:
            # A restarted owner has to hear everything once more.
            link.owner_incarnation = message.owner_incarnation
            link.greeted = -1
            link.echo_milliseconds = 0
            link.next_full_at_seconds = float("-inf")
        elif sent is not None and sent.greets and sent.epoch == message.epoch:
            link.greeted = sent.epoch
        link.answered_at_seconds = self._context.now_seconds()
        link.echo_milliseconds = max(
            link.echo_milliseconds, message.sent_milliseconds
        )
        for grant in message.grants:
            known = self.accounts.get(grant.pool)
            if known is None or self._owners.owner(known.duty) != sender:
                continue
            self._apply(known, sender, message.owner_incarnation, grant, sent)

    def _apply(
        self,
        known: Account,
        sender: str,
        owner_incarnation: int,
        grant: credits_pb2.CreditGrant,
        sent: _SentAsk | None,
    ) -> None:
        if (known.owner, known.owner_incarnation) != (
            sender,
            owner_incarnation,
        ):
            if sent is None:
                return
            known.owner = sender
            known.owner_incarnation = owner_incarnation
            known.seen_grant = 0
        if grant.sequence <= known.seen_grant:
            return
        known.seen_grant = grant.sequence
        level = Amount(grant.requests, grant.tokens)
        if sent is None:
            known.level = known.level.at_most(level)
            known.recalled = True
            return
        known.level = level
        known.valid_until_seconds = sent.sent_at_seconds + GRANT_SECONDS
        known.answered_at_seconds = sent.sent_at_seconds
        known.doubtful = known.doubtful.minus(
            sent.doubtful.get(grant.pool, NOTHING)
        )
        known.exhausted = grant.exhausted
        known.generation = grant.generation
        known.runner_incarnation = grant.runner_incarnation
        known.borne_requests = grant.borne_requests
        known.load_requests = grant.load_requests
        known.suspect = False

    def _is_live(self, known: Account, now_seconds: float) -> bool:
        if not self._protections.expires_grants:
            return known.level != NOTHING
        return now_seconds < known.valid_until_seconds

    def _ask(
        self, owner: str, accounts: list[Account], now_seconds: float
    ) -> credits_pb2.CreditAsk | None:
        link = self._links.setdefault(owner, _Link(now_seconds))
        if now_seconds - link.sent_at_seconds < URGENT_SECONDS:
            return None
        epoch = duties.membership(self._context).epoch
        is_full = now_seconds >= link.next_full_at_seconds
        listed = []
        for known in accounts:
            if (
                is_full
                and known.is_active(now_seconds)
                or self._is_urgent(known, now_seconds)
            ):
                listed.append(known)
        needs_greeting = link.greeted != epoch or self._is_lapsed(now_seconds)
        if not listed and not (is_full and needs_greeting):
            return None
        self._asks += 1
        ask = credits_pb2.CreditAsk(
            holder_incarnation=self._context.incarnation,
            sequence=self._asks,
            epoch=epoch,
            complete=is_full
            and not self._has_foreign(owner, link, now_seconds),
            owner_incarnation=link.owner_incarnation,
            echo_milliseconds=link.echo_milliseconds,
        )
        ask.silent_owners.extend(self.silent_owners(now_seconds))
        sent = _SentAsk(now_seconds, epoch=epoch, greets=ask.complete)
        for known in listed:
            is_new_owner = (known.owner, known.owner_incarnation) != (
                owner,
                link.owner_incarnation,
            )
            sent.doubtful[str(known.duty)] = known.doubtful
            ask.demands.append(_demand(known, is_new_owner, now_seconds))
        link.sent_at_seconds = now_seconds
        if is_full:
            link.next_full_at_seconds = now_seconds + RENEW_SECONDS
        link.asks[self._asks] = sent
        while len(link.asks) > _MAX_OPEN_ASKS:
            del link.asks[min(link.asks)]
        return ask

    def _is_lapsed(self, now_seconds: float) -> bool:
        """Returns whether owners need this router's consent to go on."""
        present = duties.membership(self._context)
        return now_seconds >= present.lease_until_seconds

    def _is_urgent(self, known: Account, now_seconds: float) -> bool:
        if known.recalled:
            return True
        if now_seconds < known.next_ask_at_seconds:
            return False
        return known.suspect or known.is_short(now_seconds)

    def _has_foreign(self, owner: str, link: _Link, now_seconds: float) -> bool:
        """Returns whether another owner's grant is live in these pools."""
        for known in self.accounts.values():
            if self._owners.owner(known.duty) != owner:
                continue
            granted_by = (known.owner, known.owner_incarnation)
            if granted_by == (owner, link.owner_incarnation):
                continue
            if known.level == NOTHING:
                continue
            if now_seconds < known.valid_until_seconds:
                return True
        return False


def _demand(
    known: Account, is_new_owner: bool, now_seconds: float
) -> credits_pb2.CreditDemand:
    """Returns what one account has to tell its owner."""
    known.next_ask_at_seconds = now_seconds + RETRY_SECONDS
    known.recalled = False
    wanted = known.wanted()
    spare = known.spare(now_seconds)
    demand = credits_pb2.CreditDemand(
        pool=str(known.duty),
        in_use_requests=known.in_use.requests,
        in_use_tokens=known.in_use.tokens,
        wanted_requests=wanted.requests,
        wanted_tokens=wanted.tokens,
        spare_requests=spare.requests,
        spare_tokens=spare.tokens,
        completed=known.completed,
        doubtful_requests=known.doubtful.requests,
        doubtful_tokens=known.doubtful.tokens,
        suspect=known.suspect,
    )
    if is_new_owner:
        demand.runner_incarnation = known.runner_incarnation
        demand.borne_requests = known.borne_requests
    else:
        demand.seen_grant = known.seen_grant
    return demand
