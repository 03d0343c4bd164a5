"""Decoders of what others write, fed with arbitrary documents."""

from __future__ import annotations

import ipaddress
import json
import math
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import hypothesis
import testtools
from hypothesis import strategies as st
from returns.result import Failure, Success
from tornado.httputil import HTTPHeaders, HTTPInputError

from mulberrypaddle.backends.response_head import (
    HeadParser,
    InvalidHeadError,
)
from mulberrypaddle.observe.logs import KeyValueFormatter
from mulberrypaddle.platform import store as platform_store
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.platform.node_file import load_node_file
from mulberrypaddle.replicas.ownership import OwnerRecord
from mulberrypaddle.serving.event_parser import EventParser
from mulberrypaddle.serving.heartbeat import Heartbeat
from mulberrypaddle.serving.runner_call import _parse_keep_alive
from mulberrypaddle.serving.store import StoredItem
from tests.platform.test_documents import _RUNNER_FIELDS, _config
from tests.serving.test_digest import make_heartbeat

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mulberrypaddle.fleet import Route, RunnerEntry, ServingConfig

# Odd numbers of each kind, beside those that hypothesis finds.
_ODD_NUMBERS: list[Any] = [
    0,
    -1,
    2**63,
    10**400,
    -(10**400),
    1e300,
    float("nan"),
    float("inf"),
    float("-inf"),
    True,
    False,
]
_ODD_TEXTS = [
    "",
    "\ud800",
    "\u00b2",
    "\u0663",
    "127.0.0.1:70000",
    "127.0.0.1:\u00b2",
    "1.2.3.4:" + "9" * 400,
    "1.2.3.4\r\nX: y:80",
    "[::1]:80",
    "9" * 400,
    "9" * 5_000,
    "1e999",
    "nan",
    "-5",
    "+5",
    "1_000",
]

_SCALARS = st.one_of(
    st.none(),
    st.sampled_from(_ODD_NUMBERS),
    st.sampled_from(_ODD_TEXTS),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=8,
)

_SETTINGS = hypothesis.settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def _replaced(value: Any, odd: Any, choice: int) -> Any:
    """Returns a copy of a document with one of its values replaced.

    Args:
        value: The document.
        odd: Value to insert.
        choice: Which of the values is replaced; taken modulo their number.
    """
    paths = list(_paths(value, ()))
    path = paths[choice % len(paths)]
    return _replaced_at(value, path, odd)


def _paths(value: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    """Returns the keys and indexes that lead to each value of a document."""
    yield path
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _paths(child, (*path, key))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield from _paths(child, (*path, index))


def _replaced_at(value: Any, path: tuple[Any, ...], odd: Any) -> Any:
    if not path:
        return odd
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replaced_at(value[path[0]], path[1:], odd)
    return copy


_CHOICES = st.integers(min_value=0, max_value=10_000)


def _with_odd_values(value: Any) -> Iterator[Any]:
    """Returns copies of a document, each with one odd value in one place."""
    odd_values = [
        *_ODD_NUMBERS,
        *_ODD_TEXTS,
        None,
        [],
        {},
        [None],
        {"a": {}},
        {"a": 1, "b": 2},
        {"a": 1, "b": 2, "c": 3},
    ]
    for path in _paths(value, ()):
        for odd in odd_values:
            yield _replaced_at(value, path, odd)


def _is_sound_text(text: str) -> bool:
    text.encode()
    return not any(character < " " for character in text)


def _check_runner(entry: RunnerEntry) -> None:
    """Checks that all values of an accepted entry are in range."""
    host, _, port = entry.address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    assert port.isascii() and 1 <= int(port) <= 65_535
    assert type(entry.slots) is int and 1 <= entry.slots <= 100_000
    assert 0.0 <= entry.cold_until_seconds < 1e6
    if entry.started_at_ms is not None:
        assert type(entry.started_at_ms) is int
        assert 0 <= entry.started_at_ms < 2**63
    texts = [
        entry.service,
        entry.data_centre,
        entry.domain,
        *entry.models,
        *entry.staged,
    ]
    if entry.group is not None:
        assert type(entry.group.epoch) is int
        assert 0 <= entry.group.epoch < 2**63
        assert type(entry.group.rank) is int
        assert 0 <= entry.group.rank < 2**63
        texts.append(entry.group.name)
    for text in texts:
        assert isinstance(text, str) and _is_sound_text(text)
    # Ids are sent in headers.
    assert entry.runner_id.isascii() and entry.runner_id.isprintable()


def _route_numbers(route: Route) -> list[float]:
    """Returns the numbers of a route, none of which may be negative."""
    assert abs(route.urgency) < 2**53
    return [
        route.timeout_seconds,
        route.target_seconds,
        route.pause_seconds,
        route.max_runners,
        *(weight for _, weight in route.shares),
    ]


def _check_config(config: ServingConfig) -> None:
    """Checks that the numbers of an accepted configuration are finite."""
    numbers: list[float] = [
        config.version,
        config.limits.header_bytes,
        config.limits.body_bytes,
        config.limits.header_seconds,
        config.limits.idle_seconds,
    ]
    for host_routes in config._routes_by_host.values():
        for route in host_routes:
            numbers += _route_numbers(route)
    for service in config.services.values():
        numbers.append(service.cold_requests_per_second)
        if service.engine is None:
            continue
        numbers += [
            service.engine.slots,
            service.engine.step_seconds,
            service.engine.prompt_tokens_per_second,
            service.engine.loads_per_second,
            service.engine.open_seconds,
        ]
        for model in service.engine.models.values():
            numbers += [model.size, model.demand_share, model.time_factor]
            numbers += [model.load_seconds, model.warm_join_seconds]
    for number in numbers:
        assert 0 <= number <= 1e12


_ENGINE_CONFIG = {
    **_config().content["spec"],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "services": [
        {
            "name": "cards",
            "healthPath": "/health",
            "coldPerS": 2.0,
            "engine": {
                "slots": 6,
                "models": [
                    {
                        "name": "small",
                        "size": 2,
                        "share": 1.0,
                        "pace": 1.0,
                        "loadS": 0.2,
                        "warmS": 0.2,
                    }
                ],
                "step_ms": 5.0,
                "per_seq_ms": 0.1,
                "read_per_s": 50_000.0,
                "stride": 5,
                "usual": {"prompt": 100, "answer": 60},
                "loadsPerS": 10.0,
                "loads_at_once": 7,
                "formMs": 50.0,
            },
        }
    ],
}


def _decode_runner(spec: Any) -> None:
    """Decodes an entry and checks it if it is accepted."""
    item = StoredItem("i-1", revision=1, content={"spec": spec})
    entry = PlatformDecoder().decode_runner(item, now_seconds=0.0)
    if entry is not None:
        _check_runner(entry)


def _decode_config(spec: Any) -> None:
    """Decodes a configuration and checks it if it is accepted."""
    item = StoredItem("main", revision=1, content={"spec": spec})
    config = PlatformDecoder().decode_config([item])
    if config is not None:
        _check_config(config)


def _sound_heartbeat() -> dict[str, Any]:
    """Returns the fields of a heartbeat of which none is empty."""
    heartbeat = make_heartbeat(
        "other",
        loads={"i-1": 3},
        demand={"small": 1.5},
        claims={"south": ["other", 1, 500]},
        crashes={"i-1 1": [5, ["p"]]},
        cleared={"p": 4},
        retries={"cards": [3, 1]},
        resigned={"other": {"south": 4}},
        revisions={"runners": 4},
        stalled={"i-1": 3},
        waiting={"small": 3},
        opening={"small": 300},
        losses={"f": ["i-1"]},
        relays={"south": "127.0.0.1"},
        known=["127.0.0.1"],
    )
    return {name: getattr(heartbeat, name) for name in Heartbeat.__slots__}


def _decode_heartbeat(fields: Any) -> None:
    """Decodes a heartbeat and checks it if it is accepted."""
    document = {**fields, "form": 3} if isinstance(fields, dict) else fields
    try:
        accepted = Heartbeat.from_bytes(_to_json(document))
    except ValueError:
        return
    for slots in accepted.demand.values():
        assert math.isfinite(slots) and slots >= 0
    ages = [*accepted.cleared.values(), *accepted.opening.values()]
    ages += [left_ms for _, _, left_ms in accepted.claims.values()]
    for age_ms in [*ages, accepted.store_sight_age_ms]:
        assert math.isfinite(age_ms / 1000)
    for ip in [accepted.ip, *accepted.known, *accepted.relays.values()]:
        ipaddress.ip_address(ip)


def _to_json(document: Any) -> bytes:
    return json.dumps(document).encode()


class FuzzedDocumentsTest(testtools.TestCase):
    """Documents of the store."""

    @_SETTINGS
    @hypothesis.given(odd=_VALUES, choice=_CHOICES)
    def test_accepted_runner_entries_are_in_range(
        self, odd: Any, choice: int
    ) -> None:
        _decode_runner(_replaced(_RUNNER_FIELDS, odd, choice))

    def test_runner_entries_with_one_odd_value_are_in_range(self) -> None:
        for spec in _with_odd_values(_RUNNER_FIELDS):
            _decode_runner(spec)

    @_SETTINGS
    @hypothesis.given(name=st.text() | st.sampled_from(_ODD_TEXTS))
    def test_accepted_runner_ids_fit_into_headers(self, name: str) -> None:
        item = StoredItem(name, revision=1, content={"spec": _RUNNER_FIELDS})
        entry = PlatformDecoder().decode_runner(item, now_seconds=0.0)
        if entry is not None:
            _check_runner(entry)

    @_SETTINGS
    @hypothesis.given(odd=_VALUES, choice=_CHOICES)
    def test_accepted_configurations_are_in_range(
        self, odd: Any, choice: int
    ) -> None:
        _decode_config(_replaced(_ENGINE_CONFIG, odd, choice))

    def test_configurations_with_one_odd_value_are_in_range(self) -> None:
        for spec in _with_odd_values(_ENGINE_CONFIG):
            _decode_config(spec)

    @_SETTINGS
    @hypothesis.given(odd=_VALUES, choice=_CHOICES)
    def test_lease_records_are_valid_or_none(
        self, odd: Any, choice: int
    ) -> None:
        value = OwnerRecord(
            "r", incarnation="i", address="127.0.0.1:9", renewals=3
        ).to_value()
        record = OwnerRecord.from_value(_replaced(value, odd, choice))
        if record is not None:
            assert type(record.renewals) is int
            assert 0 <= record.renewals < 2**63
            assert type(record.era) is int
            assert 0 <= record.era < 2**63

    @_SETTINGS
    @hypothesis.given(odd=_VALUES, choice=_CHOICES)
    def test_pages_give_a_result_or_a_listed_error(
        self, odd: Any, choice: int
    ) -> None:
        content = {
            "metadata": {"name": "i-1", "revision": 3},
            "spec": _RUNNER_FIELDS,
        }
        page = {
            "events": [{"object": content, "removed": False}],
            "storeRevision": 5,
        }
        try:
            changes = platform_store._parse_changes(
                _replaced(page, odd, choice)
            )
        except (KeyError, TypeError, ValueError):
            return
        assert type(changes.revision) is int and 0 <= changes.revision < 2**63
        for item in changes.changed:
            assert item.name.encode() and 0 <= item.revision < 2**63

    @_SETTINGS
    @hypothesis.given(data=st.binary(max_size=200))
    def test_arbitrary_settings_files_are_read_or_refused(
        self, data: bytes
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_bytes(data)
            result = load_node_file(str(path))
        assert isinstance(result, Success | Failure)


class FuzzedMessagesTest(testtools.TestCase):
    """Messages of routers, runners and callers."""

    @_SETTINGS
    @hypothesis.given(odd=_VALUES, choice=_CHOICES)
    def test_accepted_heartbeats_can_be_applied(
        self, odd: Any, choice: int
    ) -> None:
        _decode_heartbeat(_replaced(_sound_heartbeat(), odd, choice))

    def test_heartbeats_with_one_odd_value_can_be_applied(self) -> None:
        for fields in _with_odd_values(_sound_heartbeat()):
            _decode_heartbeat(fields)

    @_SETTINGS
    @hypothesis.given(data=st.binary(max_size=400))
    def test_arbitrary_datagrams_are_heartbeats_or_refused(
        self, data: bytes
    ) -> None:
        try:
            Heartbeat.from_bytes(data)
        except ValueError:
            return

    @_SETTINGS
    @hypothesis.given(
        name=st.sampled_from(
            [
                "X-Deadline-Ms",
                "X-Token-Counts",
                "X-Length-Hint",
                "X-Prompt-Prefix",
                "Last-Event-Id",
                "Connection",
            ]
        ),
        value=st.sampled_from(_ODD_TEXTS)
        | st.text(alphabet="0123456789.,:+-eE_ \u00b2\u00b3\u0663infa"),
    )
    def test_callers_headers_are_in_range(self, name: str, value: str) -> None:
        headers = HTTPHeaders()
        try:
            headers.add(name, value)
        except HTTPInputError:
            return
        fields = PlatformHeaderCodec().parse_caller_headers(headers)
        if fields.wait_seconds is not None:
            assert math.isfinite(fields.wait_seconds)
            assert fields.wait_seconds >= 0
        for tokens in (
            fields.prompt_tokens,
            fields.answer_tokens,
            fields.expected_tokens,
        ):
            assert 0 <= tokens <= 100_000_000
        if fields.last_event_id is not None:
            assert 0 <= fields.last_event_id < 2**63

    @_SETTINGS
    @hypothesis.given(
        value=st.sampled_from(_ODD_TEXTS)
        | st.text(alphabet="0123456789,=timeout .e-+\u00b2\u00b3")
    )
    def test_runners_headers_are_in_range(self, value: str) -> None:
        parser = HeadParser()
        status_line = f"HTTP/1.1 {value} OK\r\n".encode("utf-8", "replace")
        try:
            parser.feed(status_line)
            head = parser.feed(b"\r\n")
        except InvalidHeadError:
            head = None
        assert head is None or 200 <= head.status <= 599
        for text in (value, f"timeout={value}"):
            seconds = _parse_keep_alive([("Keep-Alive", text)])
            assert seconds is None or 0 <= seconds <= 1e6
        for name in ("content-length", "connection", "at-server"):
            PlatformHeaderCodec().parse_runner_head(200, [(name, value)])

    @_SETTINGS
    @hypothesis.given(
        data=st.binary(max_size=100)
        | st.sampled_from(
            [text.encode("utf-8", "replace") for text in _ODD_TEXTS]
        )
    )
    def test_events_have_ids_in_range_or_none(self, data: bytes) -> None:
        try:
            events = EventParser().feed(b"id: " + data + b"\ndata: x\n\n")
        except ValueError:
            return
        for event in events:
            assert event.event_id is None or 0 <= event.event_id < 2**63

    @_SETTINGS
    @hypothesis.given(value=_VALUES)
    def test_every_value_can_be_logged(self, value: Any) -> None:
        self._check_log_line(value)

    def test_integer_of_too_many_digits_can_be_logged(self) -> None:
        self._check_log_line(10**6_000)
        self._check_log_line([10**6_000])

    def _check_log_line(self, value: Any) -> None:
        line = KeyValueFormatter().jsonify_log_record({"reason": value})
        line.encode()
        assert "\n" not in line
