"""Router settings and the configuration documents that operators write."""

from __future__ import annotations

from mulberrypaddle.settings.configuration_documents import (
    parse_configuration,
    parse_contract,
    parse_service,
)
from mulberrypaddle.settings.schema import check_document, load_yaml
from mulberrypaddle.settings.settings import RouterSettings, load_settings

__all__ = [
    "RouterSettings",
    "check_document",
    "load_settings",
    "load_yaml",
    "parse_configuration",
    "parse_contract",
    "parse_service",
]
