"""Sessions of the two deployments, compared with golden files.

`make golden` writes the files again.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.blackboard import keys
from mulberrypaddle.core.fleet import DataCentreState
from mulberrypaddle.standins.local_fleet import LocalFleet, key_digest
from tests.support.asynchronous import run
from tests.support.claims_fleet import uuid7
from tests.support.golden import Session, differences

if TYPE_CHECKING:
    from collections.abc import Callable

KEY = "key-of-the-organisation"
HINT = "/v1/completions"
SETTLE_TRIES = 200
SETTLE_SECONDS = 0.05

BLUEBONNET = f"""organisation: bayou-maritime
key_sha256: ['{key_digest(KEY)}']
services:
- service: card-writer
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 20
- service: shop-counter
  in_flight_requests: 4
  urgency: high
  deadline_seconds: 10
  never_twice: [POST /orders, POST /reprints]
"""
KRYSS = f"""organisation: aftenbladet
key_sha256: ['{key_digest(KEY)}']
services:
- service: hintmodel
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 15
- service: kryssapp
  in_flight_requests: 4
  urgency: high
  deadline_seconds: 8
  never_twice: [POST /tokens/redeem]
"""


async def until(condition: Callable[[], bool]) -> None:
    """Waits until the fleet has reached a condition."""
    for _ in range(SETTLE_TRIES):
        if condition():
            return
        await asyncio.sleep(SETTLE_SECONDS)
    raise AssertionError("the condition did not hold in time")


def new_key() -> str:
    """Returns an idempotency key with the current time."""
    return uuid7(time.time(), random.Random(1))


def kryss() -> LocalFleet:
    """Returns a fleet with a hint model in two data centres and one app."""
    fleet = LocalFleet(data_centres=("oslo-1", "oslo-2"))
    for name in ("oslo-1", "oslo-2"):
        fleet.add_engine(
            f"hintmodel-{name}", service="hintmodel", data_centre=name
        )
    fleet.add_plain_service(
        "kryssapp-1", service="kryssapp", data_centre="oslo-2"
    )
    fleet.put("config/contracts/aftenbladet", KRYSS)
    return fleet


def bluebonnet() -> LocalFleet:
    """Returns a fleet with a card writer and a shop counter."""
    fleet = LocalFleet(data_centres=("tx-central-1",))
    fleet.add_engine(
        "card-writer-1", service="card-writer", data_centre="tx-central-1"
    )
    fleet.add_plain_service(
        "shop-counter-1", service="shop-counter", data_centre="tx-central-1"
    )
    fleet.put("config/contracts/bayou-maritime", BLUEBONNET)
    return fleet


class GoldenSessionsTest(testtools.TestCase):
    """The record of a session equals its golden file."""

    def test_requests_while_a_data_centre_is_out(self) -> None:
        async def scenario() -> str:
            async with kryss() as fleet:
                session = Session(fleet)
                await _hints(session, 2)
                session.note("oslo-1 is taken out")
                await fleet.set_data_centre("oslo-1", "out", override=True)
                board = fleet.routers[0].context.board
                await until(
                    lambda: (
                        board.entry(keys.CONFIGURATION).value.data_centres[
                            "oslo-1"
                        ]
                        is DataCentreState.OUT
                    )
                )
                runs = len(fleet.engines["hintmodel-oslo-1"].runs)
                await _hints(session, 3)
                later = len(fleet.engines["hintmodel-oslo-1"].runs) - runs
                session.note(f"sent to oslo-1 since then: {later}")
                return session.text()

        self.assertEqual("", differences("rush", run(scenario())))

    def test_charge_resent_with_the_same_key(self) -> None:
        async def scenario() -> str:
            async with bluebonnet() as fleet:
                session = Session(fleet)
                headers = {"Idempotency-Key": new_key()}
                body = {"card": 12, "copies": 100}
                for path_body in (body, body, {"card": 13}):
                    await session.call(
                        "shop-counter",
                        "/reprints",
                        path_body,
                        key=KEY,
                        headers=headers,
                    )
                await session.call("shop-counter", "/reprints", body, key=KEY)
                runs = sum(fleet.plain_services["shop-counter-1"].runs.values())
                session.note(f"reprints that ran: {runs}")
                return session.text()

        self.assertEqual("", differences("charge_twice", run(scenario())))

    def test_runner_fails_during_a_stream(self) -> None:
        async def scenario() -> str:
            async with kryss() as fleet:
                for engine in fleet.engines.values():
                    engine.abort_after_tokens = 2
                session = Session(fleet)
                body = {"prompt": "five across", "max_tokens": 4}
                await session.call(
                    "hintmodel", HINT, {**body, "stream": True}, key=KEY
                )
                return session.text()

        self.assertEqual("", differences("broken_stream", run(scenario())))

    def test_store_outage(self) -> None:
        async def scenario() -> str:
            async with kryss() as fleet:
                session = Session(fleet)
                await _hints(session, 1)
                session.note("the object API is down")
                fleet.store.down = True
                await _hints(session, 1)
                await session.call(
                    "kryssapp",
                    "/tokens/redeem",
                    {"token": 7},
                    key=KEY,
                    headers={"Idempotency-Key": new_key()},
                )
                runs = sum(fleet.plain_services["kryssapp-1"].runs.values())
                session.note(f"redemptions that ran: {runs}")
                fleet.store.down = False
                return session.text()

        self.assertEqual("", differences("store_outage", run(scenario())))


async def _hints(session: Session, count: int) -> None:
    """Requests `count` hints, one after the other."""
    for number in range(count):
        await session.call(
            "hintmodel",
            HINT,
            {"prompt": f"clue {number}", "max_tokens": 2},
            key=KEY,
        )
