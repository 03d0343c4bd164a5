"""Settings file that the platform lays beside each process."""

from __future__ import annotations

import os
import tomllib
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.fleet import Bounds, NodeSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

# Variable that holds the path of the file.
PATH_ENVIRONMENT_VARIABLE = "MULBERRYPADDLE_NODE_FILE"

DEFAULT_PATH = "/etc/mulberrypaddle/node.toml"

# Link of a VM whose settings say nothing of it.
DEFAULT_LINK_MBPS = 1_000.0


def node_file_path(environment: Mapping[str, str] = os.environ) -> str:
    """Returns where the settings file lies."""
    return environment.get(PATH_ENVIRONMENT_VARIABLE, DEFAULT_PATH)


def load_node_file(path: str) -> Result[NodeSettings, Problem]:
    """Reads and checks the settings file.

    Args:
        path: Where it lies.

    Returns:
        The settings, or INVALID_CONFIG with what was got and what is allowed.
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return _invalid_config(f"{path}: {error}")
    try:
        return Success(_parse_settings(fields))
    except (KeyError, ValueError, TypeError, IndexError) as error:
        return _invalid_config(f"{path}: {type(error).__name__}: {error}")


def _invalid_config(detail: str) -> Result[NodeSettings, Problem]:
    return Failure(Problem(ErrorKind.INVALID_CONFIG, detail))


def _parse_settings(fields: dict[str, Any]) -> NodeSettings:
    listen = fields["bindAddrs"]
    return NodeSettings(
        node=str(fields["node"]),
        data_centre=str(fields["zone"]),
        data_centres=tuple(
            sorted({str(fields["zone"]), *map(str, fields.get("zones", {}))})
        ),
        capacity=_read_capacity(fields.get("limits", {})),
        ip=str(fields["ip"]),
        caller_address=_parse_host_port(listen["frontend"]),
        readiness_address=_parse_host_port(listen["readiness"]),
        peer_port=int(fields["internalPorts"][0]),
        seed_ips=tuple(
            _parse_host_port(seed)[0] for seed in fields.get("seeds", ())
        ),
        store_address=str(fields["platform"]["address"]),
        first_start=bool(fields.get("bootstrap", False)),
        bounds=_read_deployment_limits(fields.get("bounds", {})),
    )


def _read_capacity(fields: dict[str, Any]) -> int:
    """Returns the lesser of percent of a core and Mbit/s of the link."""
    cores = float(fields.get("cpuShare", 1.0)) * float(
        fields.get("cpuCores", 1)
    )
    link_mbps = float(fields.get("bandwidthMbps", DEFAULT_LINK_MBPS))
    return max(1, int(min(100.0 * cores, link_mbps)))


def _read_deployment_limits(fields: dict[str, Any]) -> Bounds:
    known = Bounds()
    setting_by_attribute = {
        "stop_grace_seconds": ("graceS", 1.0),
        "retry_ratio": ("retryBudgetRatio", 1.0),
        "retry_slack": ("retrySlack", 1.0),
        "retry_window_seconds": ("budgetWindowS", 1.0),
        "load_window_seconds": ("ceilingWindowS", 1.0),
    }
    for attribute, (name, factor) in setting_by_attribute.items():
        if name in fields:
            setattr(known, attribute, float(fields[name]) * factor)
    return known


def _parse_host_port(text: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host:
        raise ValueError(f"got address {text!r}, allowed is HOST:PORT")
    return host, int(port)
