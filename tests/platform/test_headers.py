"""Parsing of the platform's headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from tornado.httputil import HTTPHeaders

from mulberrypaddle.platform.headers import PlatformHeaderCodec

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
