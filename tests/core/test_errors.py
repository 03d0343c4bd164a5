"""Tests of the error kinds and their answers."""

from __future__ import annotations

import testtools

from mulberrypaddle.core.errors import ANSWERS, ErrorKind, Problem, Ran


class ErrorTableTest(testtools.TestCase):
    """The HTTP answer for each error kind."""

    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(ErrorKind), set(ANSWERS))

    def test_problem_has_ran_of_its_kind_by_default(self) -> None:
        problem = Problem(ErrorKind.OVERLOADED, "busy")
        self.assertIs(Ran.NOT_RUN, problem.ran)
