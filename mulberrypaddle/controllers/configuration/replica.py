"""This router's copy of the configuration, by the highest version seen."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from mulberrypaddle.blackboard.values import Configuration
from mulberrypaddle.core import invariants
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.settings.configuration_documents import (
    CONTRACT_PREFIX,
    DATA_CENTRE_PREFIX,
    SERVICE_PREFIX,
    parse_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.blackboard import StoredObject

BUCKETS = 16


class Replica:
    """Objects by key; a key's version never falls.

    An object that does not parse comes from a newer release: what was last
    understood of it stays in force, and its version is passed on.

    Attributes:
        configuration: What is in force; replaced whole at each change.
    """

    def __init__(self, *, refuse_older: bool = True) -> None:
        self.configuration = Configuration(
            contracts={}, services={}, data_centres={}, versions={}
        )
        self._refuse_older = refuse_older
        self._objects: dict[str, StoredObject] = {}
        self._buckets = [0] * BUCKETS

    def merge(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Takes the objects that are later than the known ones.

        Args:
            objects: Objects below `config/`, from the object API or a peer.

        Returns:
            Those that were taken.
        """
        taken = []
        for stored in objects:
            if self._take(stored):
                taken.append(stored)
        if taken:
            self.configuration = self._replaced(taken)
        return taken

    def digest(self) -> tuple[int, ...]:
        """Returns one hash over keys and versions for each bucket."""
        return tuple(self._buckets)

    def differing(self, digest: Iterable[int]) -> list[int]:
        """Returns the buckets in which another digest differs."""
        return [
            index
            for index, (own, other) in enumerate(
                zip(self._buckets, digest, strict=False)
            )
            if own != other
        ]

    def versions(self, buckets: Iterable[int]) -> dict[str, int]:
        """Returns the versions of all keys in some buckets."""
        wanted = frozenset(buckets)
        found = {}
        for key, stored in self._objects.items():
            if _bucket_of(key) in wanted:
                found[key] = stored.version
        return found

    def later_than(
        self, versions: dict[str, int], buckets: Iterable[int]
    ) -> list[StoredObject]:
        """Returns the objects in some buckets that are later than given."""
        found = []
        for key, version in self.versions(buckets).items():
            if version > versions.get(key, 0):
                found.append(self._objects[key])
        return found

    def _take(self, stored: StoredObject) -> bool:
        known = self._objects.get(stored.key)
        if known is not None:
            if stored.version == known.version:
                return False
            if self._refuse_older and stored.version < known.version:
                return False
            invariants.check(
                stored.version > known.version,
                Invariant.CONFIG_MONOTONIC,
                f"{stored.key}: version {stored.version} after {known.version}",
            )
            self._mix(known)
        self._objects[stored.key] = stored
        self._mix(stored)
        return True

    def _mix(self, stored: StoredObject) -> None:
        """Adds an object to its bucket's hash, or takes it out again."""
        digest = hashlib.blake2b(
            f"{stored.key}|{stored.version}".encode(), digest_size=8
        )
        self._buckets[_bucket_of(stored.key)] ^= int.from_bytes(
            digest.digest(), "big"
        )

    def _replaced(self, taken: list[StoredObject]) -> Configuration:
        present = self.configuration
        replaced = Configuration(
            contracts=dict(present.contracts),
            services=dict(present.services),
            data_centres=dict(present.data_centres),
            versions=dict(present.versions),
        )
        for stored in taken:
            _replace_object(replaced, stored)
        return replaced


def _replace_object(configuration: Configuration, stored: StoredObject) -> None:
    """Parses one object into the tables; the others stay as they are."""
    configuration.versions[stored.key] = stored.version
    tables: dict[str, dict[str, Any]] = {
        CONTRACT_PREFIX: configuration.contracts,
        SERVICE_PREFIX: configuration.services,
        DATA_CENTRE_PREFIX: configuration.data_centres,
    }
    if not stored.value:
        for prefix, table in tables.items():
            if stored.key.startswith(prefix):
                table.pop(stored.key.removeprefix(prefix), None)
        return
    parsed = parse_configuration([stored])
    configuration.contracts.update(parsed.contracts)
    configuration.services.update(parsed.services)
    configuration.data_centres.update(parsed.data_centres)


def _bucket_of(key: str) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=1)
    return digest.digest()[0] % BUCKETS
