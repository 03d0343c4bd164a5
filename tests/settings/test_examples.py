"""Every example is valid, also against its neighbours."""

from __future__ import annotations

import pathlib

import testtools
from returns.result import Success

from mulberrypaddle.operators import DocumentKind, validate_document
from mulberrypaddle.settings import load_settings, parse_configuration
from mulberrypaddle.standins.memory_store import StoredObject

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
FOLDERS = {
    DocumentKind.DATA_CENTRE: "data-centres",
    DocumentKind.SERVICE: "services",
    DocumentKind.CONTRACT: "contracts",
}


class ExamplesTest(testtools.TestCase):
    """The two deployments at their present sizes."""

    def test_documents_and_settings_are_valid(self) -> None:
        for deployment in ("bluebonnet", "kryss"):
            objects = []
            for kind, folder in FOLDERS.items():
                for path in sorted((EXAMPLES / deployment / folder).iterdir()):
                    text = path.read_text(encoding="utf-8")
                    result = validate_document(
                        kind,
                        text,
                        source=str(path),
                        name=path.stem,
                        configuration=parse_configuration(objects),
                    )
                    self.assertIsInstance(result, Success, result)
                    objects.append(
                        StoredObject(kind.key_of(path.stem), text.encode(), 1)
                    )
            configuration = parse_configuration(objects)
            self.assertEqual(3, len(configuration.data_centres))
            self.assertEqual(10, len(configuration.contracts))
            settings = load_settings(
                str(EXAMPLES / deployment / "settings.yaml")
            )
            self.assertIsInstance(settings, Success, settings)
