"""Settings of one router process."""

from __future__ import annotations

import pathlib
from typing import Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.settings.schema import check_document

MIB_BYTES = 1024 * 1024


class PeerTls:
    """Files for mutual TLS authentication between routers.

    Attributes:
        certificate_file: Certificate chain in PEM.
        key_file: Private key in PEM.
        authority_file: Certificate of the trusted authority (CA) in PEM.
    """

    __slots__ = ("authority_file", "certificate_file", "key_file")

    def __init__(
        self, *, certificate_file: str, key_file: str, authority_file: str
    ) -> None:
        self.certificate_file = certificate_file
        self.key_file = key_file
        self.authority_file = authority_file


class RouterSettings:
    """Settings of one router process, read from its settings file.

    Attributes:
        member_id: Name of this router, unique in its region.
        data_centre: Data centre in which this router runs.
        region: Region of this router; the routers of one region divide the
            duties of its controllers among themselves.
        caller_address: `host:port` on which it listens for callers.
        peer_address: `host:port` on which it listens for other routers.
        object_api_address: `host:port` of the platform's object API.
        object_api_timeout_seconds: Timeout of one object API call.
        vm_list_address: `host:port` of the platform's list of VMs; if empty,
            no groups are formed.
        weight_store_address: `host:port` of the weight store; if empty, no
            groups are loaded.
        body_bytes: Maximum size of a request body.
        header_bytes: Maximum size of the request headers.
        answer_memory_bytes: Maximum size of response data buffered for all
            callers together.
        stop_seconds: Timeout of a graceful stop.
        operator_key_sha256: SHA-256 hex digests of the operators' keys.
        peer_tls: TLS files for the links between routers, or None for
            plain text.
        peer_plaintext: Whether links between routers may be without TLS.
    """

    __slots__ = (
        "answer_memory_bytes",
        "body_bytes",
        "caller_address",
        "data_centre",
        "header_bytes",
        "member_id",
        "object_api_address",
        "object_api_timeout_seconds",
        "operator_key_sha256",
        "peer_address",
        "peer_plaintext",
        "peer_tls",
        "region",
        "stop_seconds",
        "vm_list_address",
        "weight_store_address",
    )

    def __init__(
        self,
        *,
        member_id: str,
        data_centre: str,
        region: str,
        caller_address: str,
        peer_address: str,
        object_api_address: str,
        object_api_timeout_seconds: float = 2.0,
        vm_list_address: str = "",
        weight_store_address: str = "",
        body_bytes: int = 4 * MIB_BYTES,
        header_bytes: int = 65_536,
        answer_memory_bytes: int = 64 * MIB_BYTES,
        stop_seconds: float = 120.0,
        operator_key_sha256: tuple[str, ...] = (),
        peer_tls: PeerTls | None = None,
        peer_plaintext: bool = False,
    ) -> None:
        self.member_id = member_id
        self.data_centre = data_centre
        self.region = region
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.object_api_address = object_api_address
        self.object_api_timeout_seconds = object_api_timeout_seconds
        self.vm_list_address = vm_list_address
        self.weight_store_address = weight_store_address
        self.body_bytes = body_bytes
        self.header_bytes = header_bytes
        self.answer_memory_bytes = answer_memory_bytes
        self.stop_seconds = stop_seconds
        self.operator_key_sha256 = operator_key_sha256
        self.peer_tls = peer_tls
        self.peer_plaintext = peer_plaintext


def _build_settings(value: dict[str, Any]) -> RouterSettings:
    """Builds the settings from a document that passed the checks."""
    limits = value.get("limits", {})
    tls = value.get("peer_tls")
    object_api = value["object_api"]
    return RouterSettings(
        member_id=value["member_id"],
        data_centre=value["data_centre"],
        region=value["region"],
        caller_address=value["listen"]["callers"],
        peer_address=value["listen"]["peers"],
        object_api_address=object_api["address"],
        object_api_timeout_seconds=object_api.get("timeout_seconds", 2.0),
        vm_list_address=value.get("vm_list", {}).get("address", ""),
        weight_store_address=value.get("weight_store", {}).get("address", ""),
        operator_key_sha256=tuple(value.get("operator_key_sha256", [])),
        peer_tls=None if tls is None else PeerTls(**tls),
        peer_plaintext=value.get("peer_plaintext", False),
        **limits,
    )


def load_settings(path: str) -> Result[RouterSettings, Problem]:
    """Reads and validates a settings file.

    Args:
        path: Path of the settings file.

    Returns:
        The settings, or INVALID_CONFIG with every error found.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, f"{path}: {error}"))
    checked = check_document(text, schema_name="settings", source=path)
    return checked.bind(lambda value: _check_peer_transport(value, path)).map(
        _build_settings
    )


def _check_peer_transport(
    value: dict[str, Any], source: str
) -> Result[dict[str, Any], Problem]:
    """Checks that exactly one of TLS and plain text is set for peer links.

    Plain text must be enabled explicitly, and not together with TLS.
    """
    plaintext = value.get("peer_plaintext", False)
    if plaintext != ("peer_tls" in value):
        return Success(value)
    got = "both" if plaintext else "neither"
    return Failure(
        Problem(
            ErrorKind.INVALID_CONFIG,
            f"{source}: {got} of peer_tls and peer_plaintext: true given, "
            "exactly one is required",
        )
    )
