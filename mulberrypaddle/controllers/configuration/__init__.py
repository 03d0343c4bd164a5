"""Configuration in force: read once a region, spread by peers."""

from __future__ import annotations

from mulberrypaddle.controllers.configuration.controller import (
    ConfigurationController,
)
from mulberrypaddle.controllers.configuration.options import (
    CONFIG_PREFIX,
    ConfigurationOptions,
)

__all__ = [
    "CONFIG_PREFIX",
    "ConfigurationController",
    "ConfigurationOptions",
]
