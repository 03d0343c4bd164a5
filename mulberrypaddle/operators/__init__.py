"""The operators' API: documents, fleet status and decision history."""

from __future__ import annotations

from mulberrypaddle.operators.documents import (
    DocumentKind,
    validate_document,
)
from mulberrypaddle.operators.journal import Journal
from mulberrypaddle.operators.status import StatusTable, status_tables

__all__ = [
    "DocumentKind",
    "Journal",
    "StatusTable",
    "status_tables",
    "validate_document",
]
