"""Serving system for models that span several VMs.

The public names are imported when first used: a router on the users' platform
needs few of them, and memory is scarce on every VM.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mulberrypaddle.blackboard import Board, Entry, Key
    from mulberrypaddle.controllers import Context, Controller
    from mulberrypaddle.core.contract import Contract, ServiceTerms, Urgency
    from mulberrypaddle.core.errors import (
        ANSWERS,
        Answer,
        ErrorKind,
        Problem,
        Ran,
    )
    from mulberrypaddle.core.fleet import Runner, Service, Vm
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.node import Node
    from mulberrypaddle.settings import RouterSettings, load_settings

__all__ = [
    "ANSWERS",
    "Answer",
    "Board",
    "Context",
    "Contract",
    "Controller",
    "Entry",
    "ErrorKind",
    "Key",
    "Node",
    "Problem",
    "Ran",
    "Request",
    "RouterSettings",
    "Runner",
    "Service",
    "ServiceTerms",
    "Urgency",
    "Vm",
    "load_settings",
]

# Submodule that defines each public name.
_MODULE_BY_NAME = {
    "ANSWERS": "core.errors",
    "Answer": "core.errors",
    "Board": "blackboard",
    "Context": "controllers",
    "Contract": "core.contract",
    "Controller": "controllers",
    "Entry": "blackboard",
    "ErrorKind": "core.errors",
    "Key": "blackboard",
    "Node": "node",
    "Problem": "core.errors",
    "Ran": "core.errors",
    "Request": "core.request",
    "RouterSettings": "settings",
    "Runner": "core.fleet",
    "Service": "core.fleet",
    "ServiceTerms": "core.contract",
    "Urgency": "core.contract",
    "Vm": "core.fleet",
    "load_settings": "settings",
}


def __getattr__(name: str) -> Any:
    """Imports a public name when it is first used."""
    module_name = _MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module_name}"), name)
