"""The capacity check before a data centre leaves."""

from __future__ import annotations

import testtools
from returns.result import Success

from mulberrypaddle.blackboard.values import Configuration
from mulberrypaddle.controllers.data_centres import check_move
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.fleet import DataCentreState, Runner, ServiceKind


def configuration(**states: str) -> Configuration:
    data_centres = {}
    for name, state in states.items():
        data_centres[name] = DataCentreState(state)
    return Configuration(
        contracts={}, services={}, data_centres=data_centres, versions={}
    )


def runners(*data_centres: str) -> list[Runner]:
    found = []
    for index, data_centre in enumerate(data_centres):
        found.append(
            Runner(
                f"r{index}",
                service="hints",
                kind=ServiceKind.ENGINE,
                address="",
                data_centre=data_centre,
                slots=10,
            )
        )
    return found


class MoveTest(testtools.TestCase):
    """Three data centres with ten slots each."""

    def test_move_at_sixty_per_cent_is_safe(self) -> None:
        result = check_move(
            configuration(a="in", b="in", c="in"),
            runners("a", "b", "c"),
            {"hints": 18},
            "a",
        )
        self.assertIsInstance(result, Success)
        (margin,) = result.unwrap().margins
        self.assertEqual(20, margin.remaining_slots)

    def test_move_is_unsafe_when_the_others_are_too_full(self) -> None:
        result = check_move(
            configuration(a="in", b="in", c="in"),
            runners("a", "b", "c"),
            {"hints": 20},
            "a",
        )
        problem = result.failure()
        self.assertIs(ErrorKind.UNSAFE_MOVE, problem.kind)
        self.assertIn("20 of 30 slots remain", problem.detail)

    def test_runners_that_are_out_already_do_not_count(self) -> None:
        states = configuration(a="in", b="out", c="in")
        found = runners("a", "b", "c")
        result = check_move(states, found, {"hints": 12}, "a")
        self.assertIs(ErrorKind.UNSAFE_MOVE, result.failure().kind)
        result = check_move(states, found, {"hints": 12}, "b")
        self.assertIsInstance(result, Success)

    def test_last_runner_of_a_service_is_not_given_up(self) -> None:
        result = check_move(
            configuration(a="in", b="in"), runners("a"), {"hints": 0}, "a"
        )
        self.assertIs(ErrorKind.UNSAFE_MOVE, result.failure().kind)
