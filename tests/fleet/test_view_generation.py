"""Results computed from the view are invalidated by each change."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import FleetView
from tests.replicas.test_first_layout import _free_runners


class GenerationTest(testtools.TestCase):
    """Each change clears the cached lists and raises the generation."""

    def test_runners_of_a_service_follow_changes(self) -> None:
        runners = _free_runners(data_centres=1, domains=1, domain_size=3)
        service = runners[0].service
        view = FleetView()
        view.replace_all(runners, revision=1, now_seconds=0.0)
        self.assertEqual(3, len(view.runners_of(service)))
        before = view.generation
        view.apply(
            [], removed=[runners[0].runner_id], revision=2, now_seconds=0.0
        )
        self.assertEqual(2, len(view.runners_of(service)))
        self.assertNotEqual(before, view.generation)

    def test_evacuation_changes_the_generation(self) -> None:
        view = FleetView()
        before = view.generation
        view.evacuated = frozenset({"south"})
        self.assertNotEqual(before, view.generation)
