"""Tests which groups are formed and which weights spares load."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.replicas.loss_rate import LossRate
from mulberrypaddle.replicas.placement import (
    Formation,
    ModelDemand,
    choose_formations,
)
from mulberrypaddle.replicas.staging import choose_staging
from tests.support.group_fleet import make_traits

TRAITS = make_traits()


def _runner(
    number: int, *, staged: str = "", domain: str = "d1"
) -> RunnerEntry:
    """Returns a free runner that holds the weights of `staged`, if given."""
    return RunnerEntry(
        f"r{number:02}",
        started_at_ms=1,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=False,
        domain=domain,
        staged=(staged,) if staged else (),
    )


def _demands(
    *, large: tuple[float, int], small: tuple[float, int]
) -> list[ModelDemand]:
    """Returns demands from (wanted slots, groups) of each model."""
    return [
        ModelDemand(
            TRAITS.models["large"], wanted_slots=large[0], groups=large[1]
        ),
        ModelDemand(
            TRAITS.models["small"], wanted_slots=small[0], groups=small[1]
        ),
    ]


def _choose(
    free: list[RunnerEntry],
    demands: list[ModelDemand],
    *,
    max_formations: int = 10,
) -> list[Formation]:
    """Chooses groups of free runners."""
    return choose_formations(
        free, traits=TRAITS, demands=demands, max_formations=max_formations
    )


class FormationTest(testtools.TestCase):
    """Choice of groups of free runners."""

    def test_group_never_spans_domains(self) -> None:
        free = [
            _runner(n, staged="large", domain=f"d{n % 2}") for n in range(6)
        ]
        chosen = _choose(free, _demands(large=(30, 1), small=(0, 5)))
        self.assertEqual([], chosen)

    def test_only_staged_runners_form_groups(self) -> None:
        free = [_runner(n) for n in range(3)]
        free += [_runner(n, staged="small") for n in range(3, 6)]
        chosen = _choose(free, _demands(large=(0, 5), small=(30, 4)))
        self.assertEqual(
            [["r03", "r04"]],
            [
                [member.runner_id for member in group.members]
                for group in chosen
            ],
        )

    def test_models_with_low_utilisation_get_no_more_groups(self) -> None:
        free = [_runner(n, staged="small") for n in range(4)]
        self.assertEqual(
            [], _choose(free, _demands(large=(1, 5), small=(9, 6)))
        )

    def test_model_with_higher_utilisation_has_priority(self) -> None:
        free = [_runner(n, staged="small") for n in range(2)]
        free += [_runner(n, staged="large", domain="d2") for n in range(4)]
        chosen = _choose(
            free, _demands(large=(40, 2), small=(30, 4)), max_formations=1
        )
        self.assertEqual(["large"], [group.spec.name for group in chosen])


class StagingTest(testtools.TestCase):
    """Choice of the weights that free runners load."""

    def _choose_loads(
        self,
        free: list[RunnerEntry],
        demands: list[ModelDemand],
        *,
        serving: list[RunnerEntry] | None = None,
        loading: dict[str, str] | None = None,
    ) -> list[tuple[str, str]]:
        """Returns the chosen loads as (runner id, model)."""
        chosen = choose_staging(
            free,
            service_runners=free + (serving or []),
            loading=loading or {},
            traits=TRAITS,
            demands=demands,
            loss_rate=LossRate(),
        )
        return [(staging.runner.runner_id, staging.model) for staging in chosen]

    def test_spares_load_the_main_model_of_their_domain(self) -> None:
        serving = [_runner(n, staged="large") for n in range(4, 8)]
        serving += [
            _runner(n, staged="small", domain="d2") for n in range(8, 12)
        ]
        free = [_runner(0), _runner(1, domain="d2")]
        chosen = self._choose_loads(
            free, _demands(large=(20, 5), small=(50, 12)), serving=serving
        )
        self.assertEqual([("r00", "large"), ("r01", "small")], sorted(chosen))

    def test_model_with_highest_utilisation_loads_first(self) -> None:
        serving = [_runner(n, staged="large") for n in range(4, 8)]
        serving += [
            _runner(n, staged="small", domain="d2") for n in range(8, 12)
        ]
        free = [_runner(1, domain="d2"), _runner(0)]
        chosen = self._choose_loads(
            free, _demands(large=(20, 3), small=(30, 12)), serving=serving
        )
        self.assertEqual([("r00", "large"), ("r01", "small")], chosen)

    def test_runner_with_weights_keeps_them(self) -> None:
        spare = _runner(1, staged="large")
        chosen = self._choose_loads(
            [spare], _demands(large=(23, 5), small=(55, 12))
        )
        self.assertEqual([], chosen)

    def test_busy_model_claims_an_idle_runner_of_another_model(self) -> None:
        free = [_runner(n, staged="large") for n in range(3)]
        free.append(_runner(3, staged="small"))
        chosen = self._choose_loads(
            free, _demands(large=(27, 3), small=(50, 12))
        )
        self.assertEqual([("r03", "large")], chosen)

    def test_weights_change_only_to_complete_a_group(self) -> None:
        free = [_runner(n, staged="small") for n in range(3)]
        chosen = self._choose_loads(
            free, _demands(large=(27, 3), small=(50, 12))
        )
        self.assertEqual([], chosen)

    def test_weights_stay_if_a_load_in_flight_completes_the_group(self) -> None:
        free = [_runner(n, staged="large") for n in range(3)]
        free.append(_runner(3, staged="small"))
        loading = _runner(4)
        chosen = self._choose_loads(
            free,
            _demands(large=(27, 3), small=(50, 12)),
            serving=[loading],
            loading={"r04": "large"},
        )
        self.assertEqual([], chosen)

    def test_weights_of_an_equally_utilised_model_stay(self) -> None:
        free = [_runner(n, staged="large") for n in range(3)]
        free.append(_runner(3, staged="small"))
        chosen = self._choose_loads(
            free, _demands(large=(27, 3), small=(50, 6))
        )
        self.assertEqual([], chosen)

    def test_empty_runners_complete_a_group_of_a_busy_model(self) -> None:
        # The domain has large groups and their spares; the small model has a
        # high utilisation.
        serving = [_runner(n, staged="large") for n in range(8)]
        spares = [_runner(n, staged="large") for n in (8, 9)]
        empty = [_runner(n) for n in (10, 11)]
        chosen = self._choose_loads(
            spares + empty,
            _demands(large=(24, 6), small=(65, 9)),
            serving=serving,
        )
        self.assertEqual([("r10", "small"), ("r11", "small")], sorted(chosen))

    def test_two_spares_of_large_groups_keep_their_weights(self) -> None:
        serving = [_runner(n, staged="large") for n in range(8)]
        spares = [_runner(n, staged="large") for n in range(8, 12)]
        chosen = self._choose_loads(
            spares, _demands(large=(24, 6), small=(65, 9)), serving=serving
        )
        self.assertEqual(2, len(chosen))

    def test_reserve_is_lent_to_an_overloaded_model(self) -> None:
        serving = [_runner(n, staged="large") for n in range(8)]
        spares = [_runner(n, staged="large") for n in range(8, 10)]
        chosen = self._choose_loads(
            spares, _demands(large=(18, 6), small=(65, 5)), serving=serving
        )
        self.assertEqual(["small"] * 2, [model for _, model in chosen])

    def test_survivors_are_completed_before_spares_load(self) -> None:
        survivors = [_runner(n, staged="large") for n in range(3)]
        serving = [
            _runner(n, staged="small", domain="d2") for n in range(10, 18)
        ]
        empty = [_runner(3), _runner(18, domain="d2")]
        chosen = self._choose_loads(
            [*survivors, *empty],
            _demands(large=(20, 3), small=(50, 9)),
            serving=serving,
        )
        self.assertEqual(("r03", "large"), chosen[0])

    def test_first_spare_of_a_model_goes_before_another_second(self) -> None:
        serving = [_runner(n, staged="large") for n in range(4)]
        serving += [_runner(n, staged="small") for n in range(4, 6)]
        spare = _runner(6, staged="large")
        chosen = self._choose_loads(
            [spare, _runner(7)],
            _demands(large=(20, 6), small=(30, 6)),
            serving=serving,
        )
        self.assertEqual([("r07", "small")], chosen)
