"""One router's copy of the configuration and of the list of runners.

Start with `config.ServingConfig`, the configuration that operators write, and
with `view.FleetView`, the runners as they report themselves to the store.
"""

from __future__ import annotations

from mulberrypaddle.fleet.config import (
    CallerLimits,
    EngineTraits,
    ModelSpec,
    Organisation,
    RetryPolicy,
    Route,
    ScalingLimits,
    ServiceSpec,
    ServingConfig,
)
from mulberrypaddle.fleet.deployment_limits import DeploymentLimits
from mulberrypaddle.fleet.node import NodeSettings
from mulberrypaddle.fleet.platform_api_settings import (
    PlatformApiSettings,
    PlatformDuty,
)
from mulberrypaddle.fleet.runners import (
    GroupMembership,
    MembershipState,
    RunnerEntry,
)
from mulberrypaddle.fleet.view import FleetView

__all__ = [
    "DeploymentLimits",
    "CallerLimits",
    "EngineTraits",
    "FleetView",
    "GroupMembership",
    "MembershipState",
    "ModelSpec",
    "NodeSettings",
    "Organisation",
    "PlatformApiSettings",
    "PlatformDuty",
    "RetryPolicy",
    "Route",
    "RunnerEntry",
    "ScalingLimits",
    "ServiceSpec",
    "ServingConfig",
]
