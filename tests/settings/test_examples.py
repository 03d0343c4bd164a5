"""Tests that the example documents are valid, alone and together."""

from __future__ import annotations

import pathlib

import testtools
from returns.result import Success

from mulberrypaddle.cli.folders import load_document_folder
from mulberrypaddle.operators import DocumentKind, validate_document
from mulberrypaddle.settings import load_settings, parse_configuration
from mulberrypaddle.standins.memory_store import StoredObject

# Contracts refer to services, so services are added first.
KINDS = (
    DocumentKind.DATA_CENTRE,
    DocumentKind.SERVICE,
    DocumentKind.CONTRACT,
)
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


class ExamplesTest(testtools.TestCase):
    """The documents and settings of both example deployments."""

    def test_documents_and_settings_are_valid(self) -> None:
        for deployment in ("bluebonnet", "kryss"):
            objects: list[StoredObject] = []
            documents = load_document_folder(str(EXAMPLES / deployment))
            for kind in KINDS:
                for name, text in documents.documents_of(kind):
                    result = validate_document(
                        kind,
                        text,
                        source=name,
                        name=name,
                        configuration=parse_configuration(objects),
                    )
                    self.assertIsInstance(result, Success, result)
                    key = kind.key_of(name)
                    objects.append(StoredObject(key, text.encode(), 1))
            configuration = parse_configuration(objects)
            self.assertEqual(3, len(configuration.data_centres))
            self.assertEqual(10, len(configuration.contracts))
            settings = load_settings(
                str(EXAMPLES / deployment / "settings.yaml")
            )
            self.assertIsInstance(settings, Success, settings)
