"""TLS credentials of links and the identity of the peer."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import grpc

if TYPE_CHECKING:
    from mulberrypaddle.settings.settings import PeerTls

_NAME_PROPERTIES = ("x509_common_name", "x509_subject_alternative_name")


def certificate_names(context: grpc.aio.ServicerContext) -> frozenset[str]:
    """Returns the common and alternative names in the peer's certificate.

    Args:
        context: Context of the peer's call; without TLS there are no names.
    """
    names = set()
    properties = context.auth_context()
    for name_property in _NAME_PROPERTIES:
        for name in properties.get(name_property, ()):
            names.add(name.decode())
    return frozenset(names)


def server_credentials(tls: PeerTls) -> grpc.ServerCredentials:
    """Returns server credentials that require a client certificate.

    Args:
        tls: Paths of this router's key, certificate and authority.

    Raises:
        OSError: If a file can't be read.
    """
    return grpc.ssl_server_credentials(
        [(_read_file(tls.key_file), _read_file(tls.certificate_file))],
        root_certificates=_read_file(tls.authority_file),
        require_client_auth=True,
    )


def channel_credentials(tls: PeerTls) -> grpc.ChannelCredentials:
    """Returns client credentials that present this router's certificate.

    Args:
        tls: Paths of this router's key, certificate and authority.

    Raises:
        OSError: If a file can't be read.
    """
    return grpc.ssl_channel_credentials(
        root_certificates=_read_file(tls.authority_file),
        private_key=_read_file(tls.key_file),
        certificate_chain=_read_file(tls.certificate_file),
    )


def _read_file(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
