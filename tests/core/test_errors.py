"""Tests of the error kinds and their answers."""

from __future__ import annotations

import testtools

from mulberrypaddle.core.errors import ANSWERS, ErrorKind, Problem, Ran


class ErrorTableTest(testtools.TestCase):
    """The table from kind to answer."""

    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(ErrorKind), set(ANSWERS))

    def test_problem_takes_ran_from_the_table(self) -> None:
        problem = Problem(ErrorKind.OVERLOADED, "busy")
        self.assertIs(Ran.NOT_RUN, problem.ran)
