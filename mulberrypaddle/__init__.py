"""Serving system for models that span several VMs."""

from __future__ import annotations

from mulberrypaddle.blackboard import Board, Entry, Key
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.core.contract import Contract, ServiceTerms, Urgency
from mulberrypaddle.core.errors import ANSWERS, Answer, ErrorKind, Problem, Ran
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
