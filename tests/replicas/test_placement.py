"""Which groups are formed, of whom, and what spares hold."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.replicas.placement import (
    Formation,
    ModelLoad,
    choose_formations,
    choose_staging,
)
from tests.support.group_fleet import make_traits

TRAITS = make_traits()


def _runner(
    number: int, *, staged: str = "", domain: str = "d1"
) -> RunnerEntry:
    return RunnerEntry(
        f"r{number:02}",
        born_ms=1,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=False,
        domain=domain,
        staged=(staged,) if staged else (),
    )


def _loads(
    *, large: tuple[float, int], small: tuple[float, int]
) -> list[ModelLoad]:
    """Returns loads from wanted slots and groups of each model."""
    return [
        ModelLoad(
            TRAITS.models["large"], wanted_slots=large[0], groups=large[1]
        ),
        ModelLoad(
            TRAITS.models["small"], wanted_slots=small[0], groups=small[1]
        ),
    ]


def _choose(
    free: list[RunnerEntry],
    loads: list[ModelLoad],
    *,
    first_start: bool = False,
    most: int = 10,
) -> list[Formation]:
    sizes: dict[tuple[str, str], int] = {}
    for runner in free:
        key = (runner.data_centre, runner.domain)
        sizes[key] = sizes.get(key, 0) + 1
    return choose_formations(
        free,
        domain_sizes=sizes,
        traits=TRAITS,
        loads=loads,
        first_start=first_start,
        most=most,
    )


class FormationTest(testtools.TestCase):
    """Groups of free runners."""

    def test_group_stays_in_one_domain(self) -> None:
        free = [
            _runner(n, staged="large", domain=f"d{n % 2}") for n in range(6)
        ]
        chosen = _choose(free, _loads(large=(30, 1), small=(0, 5)))
        self.assertEqual([], chosen)

    def test_staged_runners_go_first(self) -> None:
        free = [_runner(n) for n in range(3)]
        free += [_runner(n, staged="small") for n in range(3, 5)]
        chosen = _choose(free, _loads(large=(0, 5), small=(30, 4)))
        self.assertEqual(
            ["r03", "r04"],
            [member.runner_id for member in chosen[0].members],
        )

    def test_calm_models_get_no_more_groups(self) -> None:
        free = [_runner(n, staged="small") for n in range(4)]
        self.assertEqual([], _choose(free, _loads(large=(1, 5), small=(10, 5))))

    def test_pressed_model_takes_runners_of_a_calm_one(self) -> None:
        free = [_runner(n, staged="small") for n in range(4)]
        chosen = _choose(free, _loads(large=(27, 3), small=(50, 12)))
        self.assertEqual(["large"], [group.spec.name for group in chosen])

    def test_weights_of_an_equally_pressed_model_stay(self) -> None:
        free = [_runner(n, staged="large") for n in range(3)]
        chosen = _choose(free, _loads(large=(27, 3), small=(50, 6)))
        self.assertEqual([], chosen)

    def test_first_start_keeps_a_part_of_each_domain(self) -> None:
        free = [_runner(n) for n in range(10)]
        chosen = _choose(
            free, _loads(large=(0.125, 0), small=(0.25, 0)), first_start=True
        )
        members = sum(len(group.members) for group in chosen)
        self.assertEqual(8, members)

    def test_large_groups_find_room_at_the_first_start(self) -> None:
        free = [_runner(n, domain=f"d{n % 5}") for n in range(50)]
        chosen = _choose(
            free,
            _loads(large=(0.125, 0), small=(0.25, 0)),
            first_start=True,
            most=100,
        )
        sizes = [len(group.members) for group in chosen]
        # Each model gets half of the 40 runners that are not kept free.
        self.assertEqual(5, sizes.count(4))
        self.assertEqual(10, sizes.count(2))


class StagingTest(testtools.TestCase):
    """Weights of spares."""

    def test_spares_of_a_domain_differ(self) -> None:
        spares = [_runner(n) for n in range(2)]
        serving = [_runner(n, staged="large") for n in range(2, 6)]
        serving += [_runner(n, staged="small") for n in range(6, 10)]
        chosen = choose_staging(
            spares,
            service_runners=spares + serving,
            traits=TRAITS,
            loads=_loads(large=(23, 5), small=(55, 12)),
        )
        self.assertEqual(
            ["large", "small"], sorted(model for _, model in chosen)
        )

    def test_runner_with_weights_keeps_them(self) -> None:
        spare = _runner(1, staged="large")
        chosen = choose_staging(
            [spare],
            service_runners=[spare],
            traits=TRAITS,
            loads=_loads(large=(23, 5), small=(55, 12)),
        )
        self.assertEqual([], chosen)
