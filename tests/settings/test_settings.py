"""Tests of the settings file."""

from __future__ import annotations

import pathlib
import tempfile

import testtools
from testtools import matchers

from mulberrypaddle.settings import load_settings

VALID = """member_id: router-1
data_centre: south
region: tx-central
listen: {callers: '127.0.0.1:8080', peers: '127.0.0.1:8081'}
object_api: {address: '127.0.0.1:8090'}
peer_plaintext: true
"""


class SettingsTest(testtools.TestCase):
    """An invalid settings file is rejected, with the error found."""

    def load(self, text: str):  # noqa: ANN201
        """Writes the text to a settings file and loads it."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name, "settings.yaml")
        path.write_text(text, encoding="utf-8")
        return load_settings(str(path))

    def test_valid_settings_are_loaded(self) -> None:
        settings = self.load(VALID).unwrap()
        self.assertEqual("127.0.0.1:8081", settings.peer_address)

    def test_address_with_host_name_is_rejected(self) -> None:
        problem = self.load(VALID.replace("127.0.0.1:8080", "host:80"))
        self.assertThat(
            problem.failure().detail,
            matchers.MatchesRegex(r".*:4: listen\.callers: 'host:80' does not"),
        )

    def test_plaintext_peers_must_be_enabled_explicitly(self) -> None:
        text = VALID.replace("peer_plaintext: true\n", "")
        self.assertThat(
            self.load(text).failure().detail,
            matchers.Contains("peer_tls"),
        )

    def test_error_names_the_missing_file(self) -> None:
        problem = load_settings("no-such-file.yaml").failure()
        self.assertThat(problem.detail, matchers.Contains("no-such-file"))
