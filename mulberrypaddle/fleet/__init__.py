"""What a router knows of its deployment: configuration and runners.

Begin at `config.ServingConfig`, what operators want, and at `view.FleetView`,
what runners say of themselves.
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
