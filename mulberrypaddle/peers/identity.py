"""Who is at the other end of a link."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import grpc

if TYPE_CHECKING:
    from mulberrypaddle.settings.settings import PeerTls

_NAME_PROPERTIES = ("x509_common_name", "x509_subject_alternative_name")


def peer_names(context: grpc.aio.ServicerContext) -> frozenset[str]:
    """Returns the names in the peer's certificate, none without TLS."""
    names = set()
    properties = context.auth_context()
    for name_property in _NAME_PROPERTIES:
        for name in properties.get(name_property, ()):
            names.add(name.decode())
    return frozenset(names)


def server_credentials(tls: PeerTls) -> grpc.ServerCredentials:
    """Returns credentials that ask each client for a certificate.

    Args:
        tls: Files of this router.

    Raises:
        OSError: If a file can't be read.
    """
    return grpc.ssl_server_credentials(
        [(_bytes_of(tls.key_file), _bytes_of(tls.certificate_file))],
        root_certificates=_bytes_of(tls.authority_file),
        require_client_auth=True,
    )


def channel_credentials(tls: PeerTls) -> grpc.ChannelCredentials:
    """Returns credentials that show this router's certificate.

    Args:
        tls: Files of this router.

    Raises:
        OSError: If a file can't be read.
    """
    return grpc.ssl_channel_credentials(
        root_certificates=_bytes_of(tls.authority_file),
        private_key=_bytes_of(tls.key_file),
        certificate_chain=_bytes_of(tls.certificate_file),
    )


def _bytes_of(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
