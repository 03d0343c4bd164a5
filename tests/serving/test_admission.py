"""Tests of the admission of requests."""

from __future__ import annotations

import random

import testtools
from returns.result import Result, Success

from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.dispatch.stop_schedule import StopSchedule
from mulberrypaddle.fleet import (
    CallerLimits,
    Organisation,
    RetryPolicy,
    Route,
    ServiceSpec,
    ServingConfig,
)
from mulberrypaddle.serving.admission import Admission, Refusal, admit
from mulberrypaddle.serving.caller_request import CallerRequest
from mulberrypaddle.serving.header_codec import CallerHeaders
from tests.support.group_fleet import make_traits


def _config() -> ServingConfig:
    route = Route(
        name="drafts",
        host="shop.example",
        path_prefix="/drafts/",
        retry_policy=RetryPolicy.STREAM,
        timeout_seconds=6.0,
        target_seconds=0.3,
        pause_seconds=0.2,
        urgency=1,
        shares=(("cards", 1.0),),
        max_runners=2,
        public=False,
        resumable=True,
    )
    service = ServiceSpec(
        name="cards",
        health_path="/health",
        cold_requests_per_second=0.0,
        engine=make_traits(),
    )
    return ServingConfig(
        version=1,
        revision=1,
        routes=(route,),
        services={"cards": service},
        limits=CallerLimits(
            header_bytes=1, body_bytes=1, header_seconds=1.0, idle_seconds=1.0
        ),
        organisations={
            "key": Organisation("museum", urgency=None),
            "urgent": Organisation("press", urgency=0),
        },
    )


def _fields(**changes: object) -> CallerHeaders:
    fields = CallerHeaders(
        request_id="r1",
        wait_seconds=None,
        key="key",
        model="small",
        prompt_tokens=700,
        answer_tokens=170,
        expected_tokens=0,
        last_event_id=None,
        forwarded_headers=[],
    )
    for name, value in changes.items():
        setattr(fields, name, value)
    return fields


def _admit(
    *,
    path: str = "/drafts/1",
    config: ServingConfig | None = None,
    stop: StopSchedule | None = None,
    **changes: object,
) -> Result[Admission, Refusal]:
    return admit(
        config or _config(),
        request=CallerRequest(
            "POST", target=path, host="shop.example", body=b""
        ),
        fields=_fields(**changes),
        arrived_at_seconds=100.0,
        stop=stop,
        rng=random.Random(1),
    )


class AdmissionTest(testtools.TestCase):
    """The terms result from route, organisation and headers."""

    def _terms(self, **changes: object) -> Admission:
        admitted = _admit(**changes)  # type: ignore[arg-type]
        assert isinstance(admitted, Success)
        return admitted.unwrap()

    def test_deadline_is_the_shorter_of_route_and_caller_timeout(self) -> None:
        self.assertEqual(106.0, self._terms().deadline_seconds)
        self.assertEqual(102.0, self._terms(wait_seconds=2.0).deadline_seconds)
        self.assertEqual(106.0, self._terms(wait_seconds=9.0).deadline_seconds)

    def test_organisation_urgency_overrides_route_urgency(self) -> None:
        self.assertEqual(1, self._terms().urgency)
        self.assertEqual(0, self._terms(key="urgent").urgency)

    def test_longer_answers_are_expected_to_hold_a_slot_longer(self) -> None:
        short = self._terms(expected_tokens=20).busy_seconds
        self.assertLess(short, self._terms(expected_tokens=150).busy_seconds)

    def test_estimate_is_bounded_by_the_longest_answer(self) -> None:
        self.assertEqual(
            self._terms(expected_tokens=170).busy_seconds,
            self._terms(expected_tokens=9_000).busy_seconds,
        )

    def test_fingerprint_differs_between_organisations(self) -> None:
        self.assertNotEqual(
            self._terms().request_fingerprint,
            self._terms(key="urgent").request_fingerprint,
        )


class RefusalTest(testtools.TestCase):
    """Requests that are not admitted, with the kind of the refusal."""

    def _kind(self, **changes: object) -> ErrorKind:
        return _admit(**changes).failure().kind  # type: ignore[arg-type]

    def test_refusal_kinds(self) -> None:
        self.assertIs(ErrorKind.UNKNOWN_SERVICE, self._kind(path="/other/"))
        self.assertIs(ErrorKind.UNAUTHENTICATED, self._kind(key="none"))
        self.assertIs(ErrorKind.BAD_REQUEST, self._kind(request_id=""))

    def test_late_stream_that_may_outlast_the_stop_is_refused(self) -> None:
        # Requests arrive at 100 s. By its estimate the stream ends in time.
        stop = StopSchedule(signalled_at_seconds=96.0, grace_seconds=8.0)
        self.assertIs(ErrorKind.SHUTTING_DOWN, self._kind(stop=stop))
        self.assertIsInstance(_admit(stop=stop, wait_seconds=3.0), Success)

    def test_early_stream_is_admitted_if_its_estimate_fits(self) -> None:
        stop = StopSchedule(signalled_at_seconds=98.0, grace_seconds=8.0)
        self.assertIsInstance(_admit(stop=stop), Success)
        self.assertIs(
            ErrorKind.SHUTTING_DOWN,
            self._kind(stop=stop, expected_tokens=100_000, answer_tokens=0),
        )

    def test_router_without_configuration_refuses_with_not_in_force(
        self,
    ) -> None:
        refused = admit(
            None,
            request=CallerRequest("GET", target="/", host="x", body=b""),
            fields=_fields(),
            arrived_at_seconds=0.0,
            stop=None,
            rng=random.Random(1),
        )
        self.assertIs(ErrorKind.NOT_IN_FORCE, refused.failure().kind)
