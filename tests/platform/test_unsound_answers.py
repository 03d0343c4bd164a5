"""Answers of the store, of runners and of the platform with unsound heads.

Nothing that such an answer says is believed, and what was asked for may have
been done.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure, Result, Success
from testtools.matchers import Equals

from mulberrypaddle.core.errors import ErrorKind, Ran
from mulberrypaddle.duties.platform_api import CallOutcome
from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.platform.platform_api import HttpPlatformApi
from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving.collection_sync import CollectionSync
from mulberrypaddle.serving.runner_control import OrderOutcome
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.supervision import Supervisor
from tests.serving.test_feed import _FeedHarness, _Store
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner, closing_after
from tests.support.response_heads import (
    LENGTH,
    SOUND_CODINGS,
    SOUND_HEADS,
    UNSOUND_HEADS,
    UNSOUND_STATUSES,
    make_answer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.core.errors import Problem

_ITEM = {"metadata": {"name": "a", "revision": 3}, "spec": {"x": 1}}
_LISTING = {"items": [_ITEM], "hasMore": False, "storeRevision": 3}
_CHANGES = {"events": [], "storeRevision": 4}

# Announces that the runner leaves, and an era after all others.
_STATEMENTS = b"Server-Leaving: 1\r\nStore-Era: 7\r\nRetry-After: 5\r\n"


def _answer_with(status: int, lines: bytes, value: Any) -> bytes:
    """Returns an answer with a JSON value."""
    return make_answer(
        lines,
        status_line=b"HTTP/1.1 %d X" % status,
        body=json.dumps(value).encode(),
    )


def _unsound_answers(status: int, value: Any) -> list[tuple[str, bytes]]:
    """Returns answers with a status and a value that must not be believed."""
    answers = [
        (reason, _answer_with(status, _STATEMENTS + lines, value))
        for reason, lines in UNSOUND_HEADS.items()
    ]
    sound = _answer_with(status, _STATEMENTS + LENGTH, value)
    for other in UNSOUND_STATUSES:
        answers.append(
            (
                repr(other),
                sound.replace(b" %d X" % status, b" " + other + b" X"),
            )
        )
    # The status with one more digit, which a lenient reader leaves out.
    longer = b" %d0 X" % status
    answers.append((repr(longer), sound.replace(b" %d X" % status, longer)))
    return answers


def _call_with(
    answers: list[bytes], call: Callable[[str], Awaitable[Any]]
) -> Any:
    """Returns what a call makes of answers that are written in order.

    The connection is closed behind each of them.
    """

    async def scenario() -> Any:
        server = RawRunner(closing_after(*answers))
        try:
            return await call(await server.start())
        finally:
            await server.stop()

    return run(scenario())


def _runner_at(address: str) -> RunnerEntry:
    return RunnerEntry(
        "r1",
        started_at_ms=1,
        service="cards",
        address=address,
        data_centre="south",
        slots=1,
        draining=False,
    )


class StoreTest(testtools.TestCase):
    """Reads fail, and it isn't known whether writes took effect."""

    def _check(
        self,
        call: Callable[[PlatformStore], Awaitable[Result[Any, Problem]]],
        value: Any,
        *statuses: int,
    ) -> None:
        """Checks a call against unsound answers with each of some statuses."""

        async def call_at(address: str) -> tuple[Result[Any, Problem], int]:
            store = PlatformStore(address)
            return await call(store), store._era

        for status in statuses:
            for reason, answer in _unsound_answers(status, value):
                result, era = _call_with([answer], call_at)
                detail = f"{status} {reason}"
                self.assertIsInstance(result, Failure, detail)
                problem = result.failure()
                self.expectThat(
                    problem.kind, Equals(ErrorKind.STORE_UNAVAILABLE), detail
                )
                self.expectThat(problem.ran, Equals(Ran.UNKNOWN), detail)
                self.expectThat(era, Equals(1), detail)

    def test_list(self) -> None:
        self._check(
            lambda store: store.list(Collection.RUNNERS), _LISTING, 200, 404
        )

    def test_watch(self) -> None:
        # A status of 410 would mean that the history is gone.
        self._check(
            lambda store: store.watch(
                Collection.RUNNERS, revision=3, wait_seconds=0.0
            ),
            _CHANGES,
            200,
            410,
        )

    def test_read(self) -> None:
        # A status of 404 would mean that there is no such object.
        self._check(
            lambda store: store.read(Collection.DUTIES, "a"), _ITEM, 200, 404
        )

    def test_writes(self) -> None:
        # The others would mean that nothing was written.
        for call in (
            lambda store: store.create(Collection.DUTIES, "a", {}),
            lambda store: store.replace(
                Collection.DUTIES, "a", {}, revision=None
            ),
            lambda store: store.replace(Collection.DUTIES, "a", {}, revision=3),
        ):
            self._check(call, _ITEM, 200, 409, 429, 503)

    def test_store_that_recovers_is_read_again(self) -> None:
        unsound = [answer for _, answer in _unsound_answers(200, _LISTING)]
        sound = _answer_with(200, LENGTH, _LISTING)

        async def list_repeatedly(address: str) -> list[bool]:
            store = PlatformStore(address)
            results = []
            for _ in range(len(unsound) + 1):
                result = await store.list(Collection.RUNNERS)
                results.append(isinstance(result, Success))
            return results

        results = _call_with([*unsound, sound], list_repeatedly)
        self.assertEqual([False] * len(unsound) + [True], results)

    def test_rare_heads_that_are_sound_are_read(self) -> None:
        async def list_once(address: str) -> Result[Any, Problem]:
            return await PlatformStore(address).list(Collection.RUNNERS)

        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            if b"11" in lines.replace(LENGTH, b""):
                # Its length isn't that of a listing.
                continue
            answer = _answer_with(200, b"Store-Era: 1\r\n" + lines, _LISTING)
            result = _call_with([answer], list_once)
            self.expectThat(isinstance(result, Success), Equals(True), reason)


class RunnerTest(testtools.TestCase):
    """No order counts as accepted or refused, and no report as given."""

    def _check(
        self,
        call: Callable[
            [PlatformRunnerControl, RunnerEntry],
            Awaitable[Result[Any, Problem]],
        ],
        *statuses: int,
    ) -> None:
        async def call_at(address: str) -> tuple[Result[Any, Problem], int]:
            control = PlatformRunnerControl()
            announcements = []
            control.on_announcement = lambda entry, announcement: (
                announcements.append(announcement)
            )
            result = await call(control, _runner_at(address))
            return result, len(announcements)

        for status in statuses:
            for reason, answer in _unsound_answers(status, {"group": None}):
                result, announced = _call_with([answer], call_at)
                detail = f"{status} {reason}"
                self.assertIsInstance(result, Failure, detail)
                problem = result.failure()
                self.expectThat(
                    problem.kind, Equals(ErrorKind.RUNNER_UNREACHABLE), detail
                )
                self.expectThat(problem.ran, Equals(Ran.UNKNOWN), detail)
                self.expectThat(announced, Equals(0), detail)

    def test_orders(self) -> None:
        self._check(
            lambda control, entry: control.send_order(
                entry, OpenGroup("g1", epoch=1), fence=1
            ),
            200,
            202,
            409,
            412,
            421,
        )

    def test_reports(self) -> None:
        self._check(
            lambda control, entry: control.fetch_membership(
                entry, limit_seconds=1.0
            ),
            200,
            503,
        )

    def test_rare_heads_that_are_sound_are_read(self) -> None:
        async def order(address: str) -> Result[Any, Problem]:
            return await PlatformRunnerControl().send_order(
                _runner_at(address), OpenGroup("g1", epoch=1), fence=1
            )

        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            answer = make_answer(lines, status_line=b"HTTP/1.1 202 X")
            self.expectThat(
                _call_with([answer], order),
                Equals(Success(OrderOutcome.STARTED)),
                reason,
            )


class PlatformApiTest(testtools.TestCase):
    """It isn't known whether a call was accepted."""

    def test_calls(self) -> None:
        async def report(address: str) -> CallOutcome:
            return await HttpPlatformApi(address).report_usage(
                1, {"museum": 3}, holder="router-1", fence=1
            )

        async def scale(address: str) -> CallOutcome:
            return await HttpPlatformApi(address).set_runner_count(
                "cards", "south", 3, holder="router-1", fence=1
            )

        for call in (report, scale):
            for status in (200, 400, 409):
                for reason, answer in _unsound_answers(status, {}):
                    self.expectThat(
                        _call_with([answer], call),
                        Equals(CallOutcome.UNKNOWN),
                        f"{status} {reason}",
                    )

    def test_rare_heads_that_are_sound_are_read(self) -> None:
        async def report(address: str) -> CallOutcome:
            return await HttpPlatformApi(address).report_usage(
                1, {"museum": 3}, holder="router-1", fence=1
            )

        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            self.expectThat(
                _call_with([make_answer(lines)], report),
                Equals(CallOutcome.ACCEPTED),
                reason,
            )


class OtherRouterTest(testtools.TestCase):
    """No collection of another router is taken over."""

    def _is_applied(self, answer: bytes) -> bool:
        """Returns whether a router takes over what another one answers."""
        applied: list[Any] = []

        def apply(message: Any) -> bool:
            applied.append(message)
            return False

        async def fetch(address: str) -> None:
            name = Collection.RUNNERS.value
            host, port = address.split(":")
            sync = CollectionSync(
                {name: _FeedHarness(_Store()).feed},
                address=(host, int(port)),
                supervisor=Supervisor(),
            )
            await sync._fetch_and_apply(name, host, since=0, apply=apply)

        _call_with([answer], fetch)
        return bool(applied)

    def test_unsound_heads(self) -> None:
        for reason, answer in _unsound_answers(200, {"items": []}):
            self.expectThat(self._is_applied(answer), Equals(False), reason)

    def test_sound_head(self) -> None:
        self.assertTrue(
            self._is_applied(_answer_with(200, LENGTH, {"items": []}))
        )
