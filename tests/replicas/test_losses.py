"""When a runner counts as lost."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.losses import (
    ASK_SECONDS,
    LATE_SECONDS,
    PROOF_SECONDS,
    QUESTIONS_BEFORE_LOST,
    SETTLED_SECONDS,
    LossJudge,
)

_LIFE = ("r1", 1)
_OTHER = ("r2", 1)


def _judge(now: float = 0.0) -> LossJudge:
    """Returns a judge whose own link works."""
    judge = LossJudge()
    judge.answered(_OTHER, now)
    return judge


def _unanswered(
    judge: LossJudge, waited: float = 0.35, now: float = 0.0
) -> bool:
    return judge.unanswered(
        _LIFE, waited_seconds=waited, limit_seconds=0.35, now_seconds=now
    )


class LossJudgeTest(testtools.TestCase):
    """Questions, answers and silence."""

    def test_one_lost_answer_is_borne(self) -> None:
        judge = _judge()
        self.assertFalse(_unanswered(judge))
        judge.answered(_LIFE, 0.0)
        self.assertFalse(_unanswered(judge))
        self.assertEqual(set(), judge.lost)

    def test_silent_runner_is_lost_within_a_second(self) -> None:
        judge = _judge()
        asked = 0
        now = 0.0
        while not judge.lost:
            if judge.may_ask(_LIFE, now):
                asked += 1
                _unanswered(judge, now=now)
            now += 0.1
        self.assertEqual(QUESTIONS_BEFORE_LOST, asked)
        self.assertLess(now + 0.35, 1.0)

    def test_questions_keep_their_pause(self) -> None:
        judge = _judge()
        self.assertTrue(judge.may_ask(_LIFE, 0.0))
        self.assertFalse(judge.may_ask(_LIFE, ASK_SECONDS / 2))
        self.assertTrue(judge.may_ask(_LIFE, ASK_SECONDS))

    def test_router_that_was_late_itself_proves_nothing(self) -> None:
        judge = _judge()
        for _ in range(5):
            self.assertFalse(_unanswered(judge, 0.35 + 2 * LATE_SECONDS))
        self.assertEqual(set(), judge.lost)

    def test_lost_runner_that_answers_is_back(self) -> None:
        judge = _judge()
        for _ in range(QUESTIONS_BEFORE_LOST):
            _unanswered(judge)
        self.assertEqual({_LIFE}, judge.lost)
        self.assertTrue(judge.answered(_LIFE, 0.0))
        self.assertEqual(set(), judge.lost)

    def test_another_life_under_the_same_id_is_not_lost(self) -> None:
        judge = _judge()
        for _ in range(QUESTIONS_BEFORE_LOST):
            _unanswered(judge)
        judge.keep_only([("r1", 2)])
        self.assertEqual(set(), judge.lost)

    def test_router_that_hears_of_no_runner_proves_nothing(self) -> None:
        # Its own link is full: all of its questions end without an answer.
        judge = _judge(0.0)
        for turn in range(20):
            _unanswered(judge, now=PROOF_SECONDS + 0.1 + turn)
        self.assertEqual(set(), judge.lost)

    def test_runner_that_answered_is_left_alone_for_a_while(self) -> None:
        judge = _judge()
        self.assertTrue(judge.may_ask(_LIFE, 0.0))
        judge.answered(_LIFE, 0.0)
        self.assertFalse(judge.may_ask(_LIFE, 2 * ASK_SECONDS))
        self.assertTrue(judge.may_ask(_LIFE, SETTLED_SECONDS))
