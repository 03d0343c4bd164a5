"""Parsing of the platform's headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from tornado.httputil import HTTPHeaders

from mulberrypaddle.dispatch.pauses import (
    MAX_PAUSE_SECONDS,
    UNREADABLE_PAUSE_SECONDS,
)
from mulberrypaddle.platform.headers import (
    PlatformHeaderCodec,
    parse_announcement,
)

if TYPE_CHECKING:
    from mulberrypaddle.serving.header_codec import CallerHeaders


def _prompt_parts(text: str) -> tuple[str, ...]:
    codec = PlatformHeaderCodec()
    headers = HTTPHeaders({"X-Prompt-Prefix": text})
    return codec.parse_caller_headers(headers).prompt_parts


class OddNumbersTest(testtools.TestCase):
    """Numbers in callers' headers that no sound caller sends."""

    def _parse(self, **headers: str) -> CallerHeaders:
        named = HTTPHeaders(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        return PlatformHeaderCodec().parse_caller_headers(named)

    def test_impossible_numbers_of_tokens_are_ignored(self) -> None:
        for text in ("1e308", "9" * 400, "inf", "nan", "-3", "\u00b2", ""):
            self.assertEqual(0, self._parse(X_Length_Hint=text).expected_tokens)
        for text in ("9" * 18, "9" * 400, "-3", "1e3", "\u00b2", "\u0663"):
            fields = self._parse(X_Token_Counts=f"{text},{text}")
            self.assertEqual(0, fields.prompt_tokens)
            self.assertEqual(0, fields.answer_tokens)

    def test_odd_deadlines_are_ignored(self) -> None:
        for text in ("inf", "nan", "9" * 400, "\u00b2", "", "soon"):
            self.assertIsNone(self._parse(X_Deadline_Ms=text).wait_seconds)
        self.assertEqual(0.0, self._parse(X_Deadline_Ms="-5").wait_seconds)

    def test_odd_event_ids_are_ignored(self) -> None:
        for text in ("-1", "\u00b2", "\u0663", "9" * 19, "9" * 5_000, "1.0"):
            self.assertIsNone(self._parse(Last_Event_Id=text).last_event_id)


class PromptPartsTest(testtools.TestCase):
    """The parts of a prompt that other requests may share."""

    def test_last_part_is_left_out(self) -> None:
        self.assertEqual(
            ("5c1e07a2", "91bd3f06"),
            _prompt_parts("5c1e07a2:800,91BD3F06:410,e4402b7d:250"),
        )

    def test_prompt_of_one_part_shares_none(self) -> None:
        self.assertEqual((), _prompt_parts("5c1e07a2:800"))

    def test_no_header_means_no_parts(self) -> None:
        codec = PlatformHeaderCodec()
        fields = codec.parse_caller_headers(HTTPHeaders())
        self.assertEqual((), fields.prompt_parts)

    def test_number_and_length_of_ids_are_limited(self) -> None:
        long_list = ",".join(f"{number:x}:1" for number in range(1000))
        self.assertEqual(16, len(_prompt_parts(long_list)))
        self.assertEqual((), _prompt_parts("a" * 65 + ":1,b:1"))

    def test_repeated_and_empty_ids_count_once(self) -> None:
        self.assertEqual(("a", "b"), _prompt_parts("a:1,,b:2,a:3,c:4"))


class AnnouncementTest(testtools.TestCase):
    """What the headers of an answer say about its runner."""

    def test_only_the_value_1_announces_that_a_runner_leaves(self) -> None:
        for value in ("1", " 1 "):
            found = parse_announcement(200, [("server-LEAVING", value)])
            self.assertTrue(found.leaving, value)
        for value in ("0", "", "2", "true", "1.0", "\xb9", "1\xb9", "-1"):
            found = parse_announcement(200, [("Server-Leaving", value)])
            self.assertFalse(found.leaving, value)

    def test_header_is_not_forwarded(self) -> None:
        head = PlatformHeaderCodec().parse_runner_head(
            200, [("Server-Leaving", "1"), ("X-Note", "a")]
        )
        self.assertTrue(head.announcement.leaving)
        self.assertEqual([("X-Note", "a")], head.forwarded_headers)

    def test_misdirected_answer_may_be_of_another_runner(self) -> None:
        headers = [("Server-Leaving", "1")]
        self.assertTrue(parse_announcement(421, headers).other_runner)
        self.assertFalse(parse_announcement(503, headers).other_runner)

    def _pause(self, *values: str, status: int = 503) -> tuple[float, bool]:
        """Returns the length of a pause, and whether its value is odd."""
        found = parse_announcement(
            status, [("Retry-After", value) for value in values]
        )
        return found.pause_seconds, bool(found.pause_problem)

    def test_seconds_and_fractions_are_read(self) -> None:
        for value, seconds in (
            ("2", 2.0),
            ("0.25", 0.25),
            ("3.", 3.0),
            (" 1 ", 1.0),
            ("1e1", 10.0),
            ("120", 120.0),
            ("0", 0.0),
        ):
            self.assertEqual((seconds, False), self._pause(value), value)

    def test_longest_of_several_values_counts(self) -> None:
        self.assertEqual((3.0, False), self._pause("1", "3", "2"))

    def test_only_status_503_asks_for_a_pause(self) -> None:
        for status in (200, 429, 500, 421):
            self.assertEqual((0.0, False), self._pause("5", status=status))
        self.assertEqual((0.0, False), self._pause())

    def test_unreadable_value_is_a_short_pause(self) -> None:
        for value in (
            "",
            "-5",
            "+5",
            "nan",
            "inf",
            "1_0",
            "0x10",
            "soon",
            "2 s",
            "1,5",
            "\u0665",
            "\xb2",
            "Wed, 21 Oct 2065 07:28:00 GMT",
        ):
            found = self._pause(value)
            self.assertEqual((UNREADABLE_PAUSE_SECONDS, True), found, value)

    def test_huge_value_is_cut(self) -> None:
        for value in ("1e300", "1e999", "9" * 5000, "301"):
            found = self._pause(value)
            self.assertEqual((MAX_PAUSE_SECONDS, True), found, value[:20])

    def test_logged_part_of_a_value_is_bounded(self) -> None:
        found = parse_announcement(503, [("Retry-After", "x" * 9000)])
        self.assertLess(len(found.pause_problem), 100)
