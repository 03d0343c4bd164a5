"""Loads a folder of documents, laid out like the folders in `examples/`."""

from __future__ import annotations

import pathlib

from mulberrypaddle.operators.documents import DocumentKind

FOLDER_NAMES = {
    DocumentKind.DATA_CENTRE: "data-centres",
    DocumentKind.SERVICE: "services",
    DocumentKind.CONTRACT: "contracts",
}


class DocumentFolder:
    """The documents of one folder, by kind and name."""

    __slots__ = ("_documents",)

    def __init__(self) -> None:
        self._documents: dict[DocumentKind, dict[str, str]] = {}

    def add(self, kind: DocumentKind, name: str, text: str) -> None:
        """Adds one document."""
        self._documents.setdefault(kind, {})[name] = text

    def documents_of(self, kind: DocumentKind) -> list[tuple[str, str]]:
        """Returns (name, text) of the documents of one kind, sorted by name."""
        return sorted(self._documents.get(kind, {}).items())

    def names(self, kind: DocumentKind) -> list[str]:
        """Returns the names of the documents of one kind, sorted."""
        return sorted(self._documents.get(kind, {}))


def load_document_folder(path: str) -> DocumentFolder:
    """Loads every document below a folder.

    Args:
        path: Folder with one subfolder for each kind of document.

    Raises:
        OSError: If a folder or file can't be read.
    """
    documents = DocumentFolder()
    for kind, folder in FOLDER_NAMES.items():
        for file in sorted(pathlib.Path(path, folder).glob("*.yaml")):
            documents.add(kind, file.stem, file.read_text(encoding="utf-8"))
    return documents
