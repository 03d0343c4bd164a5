"""Reads a folder of documents, laid out like those below `examples/`."""

from __future__ import annotations

import pathlib

from mulberrypaddle.operators.documents import DocumentKind

FOLDERS = {
    DocumentKind.DATA_CENTRE: "data-centres",
    DocumentKind.SERVICE: "services",
    DocumentKind.CONTRACT: "contracts",
}


class DocumentFolder:
    """Documents by kind and name."""

    __slots__ = ("_documents",)

    def __init__(self) -> None:
        self._documents: dict[DocumentKind, dict[str, str]] = {}

    def add(self, kind: DocumentKind, name: str, text: str) -> None:
        """Adds one document."""
        self._documents.setdefault(kind, {})[name] = text

    def of(self, kind: DocumentKind) -> list[tuple[str, str]]:
        """Returns names and texts of one kind, in order of the names."""
        return sorted(self._documents.get(kind, {}).items())

    def names(self, kind: DocumentKind) -> list[str]:
        """Returns the names of one kind, in order."""
        return sorted(self._documents.get(kind, {}))


def load_folder(path: str) -> DocumentFolder:
    """Reads every document below a folder.

    Args:
        path: The folder.

    Raises:
        OSError: If a folder or file can't be read.
    """
    documents = DocumentFolder()
    for kind, folder in FOLDERS.items():
        for file in sorted(pathlib.Path(path, folder).glob("*.yaml")):
            documents.add(kind, file.stem, file.read_text(encoding="utf-8"))
    return documents
