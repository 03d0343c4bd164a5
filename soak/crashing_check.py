"""Checks that a part of prompts that crashes runners is kept from them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.support.simulated_deployment import STABLE_WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.simulated_deployment import SimulatedDeployment

# Requests with the part that may reach runners once it must be known.
MAX_CRASHING_ARRIVALS = 3
# After the faults, the routers can learn the part again in the first time, and
# the requests with it are counted in the second one.
CRASHING_SETTLE_SECONDS = 2 * STABLE_WINDOW_SECONDS
CRASHING_CHECK_SECONDS = 4.0


async def check_crashing_part(
    deployment: SimulatedDeployment,
    part: str,
    *,
    all_served: Callable[[], Awaitable[bool]],
) -> None:
    """Checks that the crashing part is refused and other requests aren't.

    The part has crashed enough runners by the end of the first wait.

    Args:
        deployment: The deployment, under load with and without the part.
        part: The part.
        all_served: Returns whether each router serves all kinds of requests.
    """
    await asyncio.sleep(CRASHING_SETTLE_SECONDS)
    settled_at = time.monotonic()
    served_rounds = 0
    rounds = 0
    while time.monotonic() < settled_at + CRASHING_CHECK_SECONDS:
        rounds += 1
        served_rounds += await all_served()
    arrivals = deployment.crashing_parts.arrivals_after(part, settled_at)
    if arrivals > MAX_CRASHING_ARRIVALS:
        deployment.breaches.append(
            f"{arrivals} requests with a crashing part reach runners"
        )
    if served_rounds < rounds / 2:
        deployment.breaches.append(
            f"{served_rounds} of {rounds} rounds are served beside a "
            "crashing part"
        )
