"""Faults of the platform's API for duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.cloud_api import STATES

if TYPE_CHECKING:
    import random

    from tests.support.cloud_api import CloudApi

# Shortest and longest time between two changes of the state of the API.
CHANGE_SECONDS = (0.5, 3.0)


class CloudFaults:
    """Changes what the API does to calls, until the task is cancelled."""

    def __init__(self, api: CloudApi, rng: random.Random) -> None:
        """Prepares the faults.

        Args:
            api: The API that they are injected into.
            rng: Source of random choices.
        """
        self._api = api
        self._rng = rng

    async def run(self) -> None:
        """Injects faults until cancelled; then the API works again."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(*CHANGE_SECONDS))
                self._api.state = self._rng.choice(STATES)
        finally:
            self._api.state = "up"
