"""Tests of the validation of operators' documents."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies
from returns.result import Success
from testtools import matchers

from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.operators import DocumentKind, validate_document
from mulberrypaddle.settings import parse_configuration
from mulberrypaddle.standins.memory_store import StoredObject

DIGEST = "0" * 64
VALID = f"""organisation: museum
key_sha256: ['{DIGEST}']
services:
- service: card-writer
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 20
"""


def faults_of(text: str, **options: object) -> str:
    """Returns the faults of a contract, one a line; empty if it is valid."""
    result = validate_document(
        DocumentKind.CONTRACT, text, source="c.yaml", **options
    )
    if isinstance(result, Success):
        return ""
    assert result.failure().kind is ErrorKind.INVALID_CONFIG
    return result.failure().detail


class ContractCheckTest(testtools.TestCase):
    """An invalid contract is refused with line, path, rule and value."""

    def test_valid_contract(self) -> None:
        self.assertEqual("", faults_of(VALID))

    def test_fault_has_line_path_and_value(self) -> None:
        detail = faults_of(VALID.replace("requests: 8", "requests: 0"))
        self.assertThat(
            detail,
            matchers.StartsWith("c.yaml:5: services.0.in_flight_requests: 0 "),
        )

    def test_unknown_field(self) -> None:
        detail = faults_of(VALID + "colour: red\n")
        self.assertThat(detail, matchers.Contains("'colour' was unexpected"))

    def test_repeated_field(self) -> None:
        detail = faults_of(VALID + "organisation: other\n")
        self.assertThat(
            detail,
            matchers.Equals(
                "c.yaml:8: got the field 'organisation' twice, allowed is once"
            ),
        )

    def test_reports_every_fault(self) -> None:
        text = VALID.replace("high", "soon").replace("20", "-1")
        self.assertEqual(2, len(faults_of(text).splitlines()))

    def test_name_must_match_the_key(self) -> None:
        self.assertThat(
            faults_of(VALID, name="other"), matchers.Contains("'other'")
        )

    def test_unknown_service_and_shared_key_are_faults(self) -> None:
        other = VALID.replace("museum", "rival").encode()
        configuration = parse_configuration(
            [StoredObject("config/contracts/rival", other, 1)]
        )
        detail = faults_of(VALID, configuration=configuration)
        self.assertThat(detail, matchers.Contains("allowed are: none"))
        self.assertThat(detail, matchers.Contains("belongs to 'rival'"))

    @hypothesis.given(strategies.text(max_size=200))
    def test_any_text_is_refused_without_a_crash(self, text: str) -> None:
        self.assertNotEqual("", faults_of(text))

    @hypothesis.given(strategies.data())
    def test_damaged_contract_never_crashes(
        self, data: strategies.DataObject
    ) -> None:
        begin = data.draw(strategies.integers(0, len(VALID)))
        end = data.draw(strategies.integers(begin, len(VALID)))
        middle = data.draw(strategies.text(max_size=5))
        faults_of(VALID[:begin] + middle + VALID[end:])


class ServiceCheckTest(testtools.TestCase):
    """A plain service must not have an engine's fields."""

    def test_plain_service_with_an_engine_field(self) -> None:
        result = validate_document(
            DocumentKind.SERVICE,
            "service: shop\nkind: plain\nmodel: m\n",
            source="s.yaml",
        )
        self.assertThat(
            result.failure().detail, matchers.StartsWith("s.yaml: model:")
        )
