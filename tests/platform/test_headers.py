"""Parsing of the platform's headers."""

from __future__ import annotations

import testtools
from tornado.httputil import HTTPHeaders

from mulberrypaddle.platform.headers import PlatformHeaderCodec


def _prompt_parts(text: str) -> tuple[str, ...]:
    codec = PlatformHeaderCodec()
    headers = HTTPHeaders({"X-Prompt-Prefix": text})
    return codec.parse_caller_headers(headers).prompt_parts


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
