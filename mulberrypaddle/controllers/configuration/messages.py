"""Builds the peer messages of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import StoredObject
from mulberrypaddle.peers.proto.configuration_pb2 import (
    ConfigObject,
    ConfigUpdate,
    ConfigVersion,
    ConfigVersions,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_UPDATE_BYTES = 200_000


def pack_objects(objects: Iterable[StoredObject]) -> list[ConfigObject]:
    """Returns objects in the form that goes over the links."""
    packed = []
    for stored in objects:
        packed.append(
            ConfigObject(
                key=stored.key, version=stored.version, value=stored.value
            )
        )
    return packed


def unpack_objects(update: ConfigUpdate) -> list[StoredObject]:
    """Returns the objects of an update."""
    objects = []
    for item in update.objects:
        objects.append(StoredObject(item.key, item.value, item.version))
    return objects


def split_objects(
    objects: list[ConfigObject],
) -> Iterator[list[ConfigObject]]:
    """Returns portions that fit into one message each."""
    portion: list[ConfigObject] = []
    size_bytes = 0
    for item in objects:
        if portion and size_bytes + item.ByteSize() > MAX_UPDATE_BYTES:
            yield portion
            portion = []
            size_bytes = 0
        portion.append(item)
        size_bytes += item.ByteSize()
    yield portion


def versions_message(
    versions: dict[str, int], buckets: Iterable[int], *, asks: bool
) -> ConfigVersions:
    """Returns the versions of all keys in some buckets as a message."""
    message = ConfigVersions(buckets=buckets, asks=asks)
    for key, version in versions.items():
        message.versions.append(ConfigVersion(key=key, version=version))
    return message
