"""Tests of writing changes: races, lost answers and store outages."""

from __future__ import annotations

import testtools
from returns.result import Result, Success

from mulberrypaddle.core.errors import ErrorKind, Ran
from mulberrypaddle.operators.document_writer import DocumentWriter
from tests.support.fleet import FakeFleet

KEY = "config/data-centres/south"
OUT = "data_centre: south\nstate: out\n"
IN = "data_centre: south\nstate: in\n"


class ApplyTest(testtools.TestCase):
    """The reply to an operator matches what was stored."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = FakeFleet(
            ["a", "b"], lambda context: [DocumentWriter(context)]
        )
        self.results: list[Result] = []

    def submit(self, member_id: str, text: str, version: int) -> None:
        """Submits a change to one router; its result goes to `results`."""
        node = self.fleet.nodes[member_id]
        node.controllers[0].submit(
            KEY, text, expected_version=version, reply=self.results.append
        )

    def stored(self) -> bytes:
        """Returns the document in the store; empty if there is none."""
        return self.fleet.store.read(KEY).unwrap().value

    def test_of_two_concurrent_changes_one_conflicts(self) -> None:
        self.submit("a", OUT, 0)
        self.submit("b", IN, 0)
        self.fleet.run(1.0)
        accepted = [r for r in self.results if isinstance(r, Success)]
        refused = [r for r in self.results if not isinstance(r, Success)]
        self.assertEqual((1, 1), (len(accepted), len(refused)))
        problem = refused[0].failure()
        self.assertIs(ErrorKind.CONFLICT, problem.kind)
        self.assertIn("present is 1", problem.detail)

    def test_change_with_a_lost_answer_is_read_back_as_accepted(self) -> None:
        self.fleet.store.lost_responses_remaining = 1
        self.submit("a", OUT, 0)
        self.fleet.run(1.0)
        self.assertEqual(1, self.results[0].unwrap())
        self.assertEqual(OUT.encode(), self.stored())

    def test_lost_answer_before_another_change_is_unknown(self) -> None:
        self.fleet.store.lost_responses_remaining = 1
        self.submit("a", OUT, 0)
        while not self.stored():
            self.fleet.run(0.01, step_seconds=0.001)
        self.fleet.store.write(KEY, IN.encode(), expected_version=1)
        self.fleet.run(1.0)
        problem = self.results[0].failure()
        self.assertIs(ErrorKind.CONFLICT, problem.kind)
        self.assertIs(Ran.UNKNOWN, problem.ran)

    def test_change_during_a_store_outage_is_never_written(self) -> None:
        self.fleet.store.down = True
        self.submit("a", OUT, 0)
        self.fleet.run(1.0)
        problem = self.results[0].failure()
        self.assertIs(ErrorKind.STORE_UNAVAILABLE, problem.kind)
        self.assertIs(Ran.NOT_RUN, problem.ran)
        self.fleet.store.down = False
        self.fleet.run(1.0)
        self.assertEqual(b"", self.stored())

    def test_invalid_document_is_not_written(self) -> None:
        self.submit("a", "data_centre: south\nstate: sideways\n", 0)
        self.fleet.run(1.0)
        self.assertIs(ErrorKind.INVALID_CONFIG, self.results[0].failure().kind)
        self.assertEqual(b"", self.stored())
