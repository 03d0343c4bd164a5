"""When a runner counts as lost."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.losses import (
    ASK_SECONDS,
    LATE_SECONDS,
    QUESTIONS_BEFORE_LOST,
    LossJudge,
)

_LIFE = ("r1", 1)


def _unanswered(judge: LossJudge, waited: float = 0.35) -> bool:
    return judge.unanswered(_LIFE, waited_seconds=waited, limit_seconds=0.35)


class LossJudgeTest(testtools.TestCase):
    """Questions, answers and silence."""

    def test_one_lost_answer_is_borne(self) -> None:
        judge = LossJudge()
        self.assertFalse(_unanswered(judge))
        judge.answered(_LIFE)
        self.assertFalse(_unanswered(judge))
        self.assertEqual(set(), judge.lost)

    def test_silent_runner_is_lost_within_a_second(self) -> None:
        judge = LossJudge()
        asked = 0
        now = 0.0
        while not judge.lost:
            if judge.may_ask(_LIFE, now):
                asked += 1
                _unanswered(judge)
            now += 0.1
        self.assertEqual(QUESTIONS_BEFORE_LOST, asked)
        self.assertLess(now + 0.35, 1.0)

    def test_questions_keep_their_pause(self) -> None:
        judge = LossJudge()
        self.assertTrue(judge.may_ask(_LIFE, 0.0))
        self.assertFalse(judge.may_ask(_LIFE, ASK_SECONDS / 2))
        self.assertTrue(judge.may_ask(_LIFE, ASK_SECONDS))

    def test_router_that_was_late_itself_proves_nothing(self) -> None:
        judge = LossJudge()
        for _ in range(5):
            self.assertFalse(_unanswered(judge, 0.35 + 2 * LATE_SECONDS))
        self.assertEqual(set(), judge.lost)

    def test_lost_runner_that_answers_is_back(self) -> None:
        judge = LossJudge()
        for _ in range(QUESTIONS_BEFORE_LOST):
            _unanswered(judge)
        self.assertEqual({_LIFE}, judge.lost)
        self.assertTrue(judge.answered(_LIFE))
        self.assertEqual(set(), judge.lost)

    def test_another_life_under_the_same_id_is_not_lost(self) -> None:
        judge = LossJudge()
        for _ in range(QUESTIONS_BEFORE_LOST):
            _unanswered(judge)
        judge.keep_only([("r1", 2)])
        self.assertEqual(set(), judge.lost)
