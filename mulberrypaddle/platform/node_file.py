"""Reads the settings file that the platform provides to each process."""

from __future__ import annotations

import logging
import os
import tomllib
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.value_checks import (
    require_address,
    require_number,
    shorten,
)
from mulberrypaddle.fleet import (
    DeploymentLimits,
    NodeSettings,
    PlatformApiSettings,
    PlatformDuty,
)
from mulberrypaddle.fleet.node import DEFAULT_MEMORY_MEGABYTES

if TYPE_CHECKING:
    from collections.abc import Mapping

_LOGGER = logging.getLogger("mulberrypaddle.settings")

# Environment variable that holds the path of the file.
PATH_ENVIRONMENT_VARIABLE = "MULBERRYPADDLE_NODE_FILE"

DEFAULT_PATH = "/etc/mulberrypaddle/node.toml"

# Assumed if the settings omit the bandwidth of the VM's link.
DEFAULT_LINK_MBPS = 1_000.0

# Assumed if the settings omit how many duty calls the platform's API accepts.
DEFAULT_DUTY_CALLS_PER_SECOND = 10.0

# Highest rate of duty calls that is accepted in the settings.
MAX_DUTY_CALLS_PER_SECOND = 1e6


def node_file_path(environment: Mapping[str, str] = os.environ) -> str:
    """Returns the path of the settings file."""
    return environment.get(PATH_ENVIRONMENT_VARIABLE, DEFAULT_PATH)


def load_node_file(path: str) -> Result[NodeSettings, Problem]:
    """Reads and validates the settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings, or INVALID_CONFIG with the path and the error.
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, RecursionError, ValueError) as error:
        # Text that is no UTF-8 is a ValueError, as invalid TOML is.
        return _invalid_config(f"{path}: {error}")
    try:
        return Success(_parse_settings(fields))
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        return _invalid_config(f"{path}: {type(error).__name__}: {error}")


def _invalid_config(detail: str) -> Result[NodeSettings, Problem]:
    """Returns an INVALID_CONFIG failure."""
    return Failure(Problem(ErrorKind.INVALID_CONFIG, detail))


def _parse_settings(fields: dict[str, Any]) -> NodeSettings:
    """Builds the settings from the parsed TOML file."""
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
        bounds=_read_deployment_limits(fields),
        memory_megabytes=float(
            fields.get("limits", {}).get("memoryMb", DEFAULT_MEMORY_MEGABYTES)
        ),
        platform_api=_read_platform_api(fields.get("cloud")),
        internal_ports=(
            int(fields["internalPorts"][0]),
            int(fields["internalPorts"][-1]),
        ),
    )


def _read_platform_api(fields: Any) -> PlatformApiSettings | None:
    """Returns the settings of the platform's API; None if it asks for nothing.

    Routers serve without the duties, so that an invalid address or an unknown
    duty is logged and left out instead of ending the process.
    """
    if fields is None:
        return None
    try:
        names = fields.get("duties", [])
        if not isinstance(names, list):
            raise ValueError(f"got duties {shorten(names)}, expected a list")
        address = require_address(fields["address"])
        calls_per_second = require_number(
            fields.get("dutyPerS", DEFAULT_DUTY_CALLS_PER_SECOND),
            maximum=MAX_DUTY_CALLS_PER_SECOND,
        )
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        _LOGGER.error(
            "invalid_platform_api",
            extra={"reason": f"{type(error).__name__}: {error}"},
        )
        return None
    duties = set()
    known = {duty.value: duty for duty in PlatformDuty}
    for name in names:
        if not isinstance(name, str) or name not in known:
            _LOGGER.error(
                "unknown_platform_duty",
                extra={"got": shorten(name), "expected": sorted(known)},
            )
            continue
        duties.add(known[name])
    if not duties:
        return None
    return PlatformApiSettings(
        address=address,
        duties=frozenset(duties),
        duty_calls_per_second=calls_per_second,
    )


def _read_capacity(fields: dict[str, Any]) -> int:
    """Returns the VM's capacity for duties and for relaying heartbeats.

    It is the smaller of its CPU share in percent of one core and its link's
    bandwidth in Mbit/s; at least 1.
    """
    cores = float(fields.get("cpuShare", 1.0)) * float(
        fields.get("cpuCores", 1)
    )
    link_mbps = float(fields.get("bandwidthMbps", DEFAULT_LINK_MBPS))
    return max(1, int(min(100.0 * cores, link_mbps)))


def _read_deployment_limits(fields: dict[str, Any]) -> DeploymentLimits:
    """Returns the limits of the deployment; omitted ones have defaults."""
    limits = DeploymentLimits()
    if "heartbeatMs" in fields:
        limits.heartbeat_seconds = float(fields["heartbeatMs"]) * 0.001
    bounds = fields.get("bounds", {})
    setting_by_attribute = {
        "stop_grace_seconds": ("graceS", 1.0),
        "retry_ratio": ("retryBudgetRatio", 1.0),
        "retry_slack": ("retrySlack", 1.0),
        "retry_window_seconds": ("budgetWindowS", 1.0),
        "load_window_seconds": ("ceilingWindowS", 1.0),
        "drain_seconds": ("drainMs", 0.001),
        "config_apply_seconds": ("configApplyMs", 0.001),
        "evacuate_seconds": ("evacuateMs", 0.001),
        "duty_lease_seconds": ("leaseMs", 0.001),
        "usage_window_seconds": ("usageWindowS", 1.0),
        "usage_due_seconds": ("usageLateS", 1.0),
    }
    for attribute, (name, factor) in setting_by_attribute.items():
        if name in bounds:
            setattr(limits, attribute, float(bounds[name]) * factor)
    return limits


def _parse_host_port(text: str) -> tuple[str, int]:
    """Parses "HOST:PORT"; raises ValueError if it has another form."""
    host, _, port = str(text).rpartition(":")
    if not host:
        raise ValueError(f"got address {text!r}, expected HOST:PORT")
    return host, int(port)
