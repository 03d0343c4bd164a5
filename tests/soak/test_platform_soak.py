"""Tests of the faults that the soak injects."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from unittest import mock

import testtools

from soak import platform_soak, store_faults
from tests.support.asynchronous import run


class FaultsTest(testtools.TestCase):
    """Faults of a run end when they should."""

    def test_loss_of_store_answers_that_never_ends(self) -> None:
        async def scenario() -> list[float]:
            with tempfile.TemporaryDirectory() as folder:
                soak = platform_soak.SoakRun(1, Path(folder))
                store = soak._deployment.store
                soak._store_faults.lose_answers()
                probabilities = [store.answer_loss_probability]
                await asyncio.sleep(0.1)
                probabilities.append(store.answer_loss_probability)
                store.close()
                return probabilities

        with mock.patch.object(store_faults, "ANSWER_LOSS_SECONDS", 0.01):
            self.assertEqual([0.4, 0.0], run(scenario()))
