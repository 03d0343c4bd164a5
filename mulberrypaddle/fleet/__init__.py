"""State of the deployment as known to a router: configuration and runners.

Start with `config.ServingConfig`, the configuration that operators write, and
with `view.FleetView`, the runners as they report themselves to the store.
"""

from __future__ import annotations

from mulberrypaddle.fleet.bounds import Bounds
from mulberrypaddle.fleet.config import (
    CallerLimits,
    EngineTraits,
    ModelSpec,
    Organisation,
    RepeatRule,
    Route,
    ServiceSpec,
    ServingConfig,
)
from mulberrypaddle.fleet.node import NodeSettings
from mulberrypaddle.fleet.runners import (
    GroupMembership,
    MembershipState,
    RunnerEntry,
)
from mulberrypaddle.fleet.view import FleetView

__all__ = [
    "Bounds",
    "CallerLimits",
    "EngineTraits",
    "FleetView",
    "GroupMembership",
    "MembershipState",
    "ModelSpec",
    "NodeSettings",
    "Organisation",
    "RepeatRule",
    "Route",
    "RunnerEntry",
    "ServiceSpec",
    "ServingConfig",
]
