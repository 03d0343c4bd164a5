"""The controller that joins ledger, wallet and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.credits.fallback import fall_back
from mulberrypaddle.controllers.credits.ledger import Ledger
from mulberrypaddle.controllers.credits.owners import Owners
from mulberrypaddle.controllers.credits.terms import Protections
from mulberrypaddle.controllers.credits.wallet import Wallet
from mulberrypaddle.peers.proto import credits_pb2

if TYPE_CHECKING:
    from google.protobuf.message import Message


class Credits(Controller):
    """Grants credit of the pools it owns and asks for credit of the others.

    Attributes:
        wallet: Credit that this router holds.
        ledger: Pools that this router owns.
    """

    name = "credits"
    message_types = (credits_pb2.CreditAsk, credits_pb2.CreditGrants)

    def __init__(
        self, context: Context, *, protections: Protections | None = None
    ) -> None:
        super().__init__(context)
        self._protections = protections or Protections()
        self._owners = Owners(context, self._protections)
        self.wallet = Wallet(context, self._owners, self._protections)
        self.ledger = Ledger(context, self._owners, self._protections)

    def step(self, now_seconds: float) -> None:
        """Grants, revokes and asks, one message for each peer."""
        self.ledger.tick(now_seconds)
        for owner, ask in self.wallet.asks(now_seconds):
            self._deliver(owner, ask, now_seconds)
        self._send_lowered(now_seconds)
        if self._protections.goes_on:
            fall_back(
                self.context,
                self._owners,
                self.ledger.quorum,
                self.wallet,
                now_seconds,
            )

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes an ask as an owner, or grants as a holder."""
        if isinstance(message, credits_pb2.CreditGrants):
            self.wallet.take_grants(sender, message)
            return
        if not isinstance(message, credits_pb2.CreditAsk):
            return
        if sender not in duties.membership(self.context).members:
            return
        answer = self.ledger.take_ask(sender, message, now_seconds)
        self._deliver(sender, answer, now_seconds)
        self._send_lowered(now_seconds)

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Uses no grant from before the pause."""
        self.wallet.distrust()
        self.ledger.quorum.distrust()

    def _send_lowered(self, now_seconds: float) -> None:
        for member_id, message in self.ledger.lowered():
            self._deliver(member_id, message, now_seconds)

    def _deliver(
        self, member_id: str, message: Message, now_seconds: float
    ) -> None:
        if member_id != self.context.member_id:
            self.context.board.intents.append(SendToPeer(member_id, message))
            return
        if isinstance(message, credits_pb2.CreditGrants):
            self.wallet.take_grants(member_id, message)
        elif isinstance(message, credits_pb2.CreditAsk):
            answer = self.ledger.take_ask(member_id, message, now_seconds)
            self.wallet.take_grants(member_id, answer)
