"""The stored form of a fabric domain: compact JSON."""

from __future__ import annotations

import json
from typing import Any

from mulberrypaddle.core.groups import Domain, Group, GroupState

PREFIX = "groups/"

_GROUP_FIELDS = (
    "service",
    "model",
    "generation",
    "fencing",
    "vm_ids",
    "reason",
    "since_seconds",
    "down_since_seconds",
    "retiring",
)


def encode_domain(domain: Domain) -> bytes:
    """Returns the bytes that the object API keeps."""
    groups = {}
    for group in domain.groups.values():
        row: dict[str, Any] = {"state": group.state.value}
        for field in _GROUP_FIELDS:
            row[field] = getattr(group, field)
        groups[group.group_id] = row
    return json.dumps(
        {
            "groups": groups,
            "held": domain.held,
            "counter": domain.counter,
            "epoch": domain.epoch,
            "write_id": domain.write_id,
        },
        separators=(",", ":"),
        sort_keys=True,
    ).encode()


def decode_domain(name: str, value: bytes) -> Domain:
    """Returns the domain in an object; an absent object is an empty one."""
    if not value:
        return Domain(name)
    document = json.loads(value)
    groups = {}
    for group_id, row in document["groups"].items():
        row["state"] = GroupState(row["state"])
        row["vm_ids"] = tuple(row["vm_ids"])
        groups[group_id] = Group(group_id, **row)
    return Domain(
        name,
        groups=groups,
        held=document["held"],
        counter=document["counter"],
        epoch=document["epoch"],
        write_id=document["write_id"],
    )
