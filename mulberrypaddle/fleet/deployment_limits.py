"""Limits of a deployment, read from its settings."""

from __future__ import annotations


class DeploymentLimits:
    """Limits of one deployment.

    The defaults are those of the smallest deployment served so far. They apply
    where the settings omit a value.

    Attributes:
        stop_grace_seconds: Time from the stop signal until the process is
            killed.
        retry_ratio: Retries allowed per request, over all routers.
        retry_slack: Retries allowed beyond the ratio in each window.
        retry_window_seconds: Length of the sliding window in which retries are
            counted.
        load_window_seconds: Length of the window in which loads of model
            weights are counted.
        drain_seconds: Time for which a runner goes on serving after it decided
            to leave.
        heartbeat_seconds: Interval at which a runner writes its entry.
        config_apply_seconds: Time from the acknowledgement of a configuration
            until it must be in force on every router.
        evacuate_seconds: Time from the acknowledgement of an evacuation until
            nothing more may be sent to the data centre.
        duty_lease_seconds: Time within which the platform's API must not see
            two routers take turns at a duty more than once.
        usage_window_seconds: Length of the windows of usage reports.
        usage_due_seconds: Time from the end of a window until its report is
            due.
    """

    __slots__ = (
        "config_apply_seconds",
        "drain_seconds",
        "duty_lease_seconds",
        "evacuate_seconds",
        "heartbeat_seconds",
        "load_window_seconds",
        "retry_ratio",
        "retry_slack",
        "retry_window_seconds",
        "stop_grace_seconds",
        "usage_due_seconds",
        "usage_window_seconds",
    )

    def __init__(
        self,
        *,
        stop_grace_seconds: float = 8.0,
        retry_ratio: float = 0.2,
        retry_slack: float = 100.0,
        retry_window_seconds: float = 10.0,
        load_window_seconds: float = 5.0,
        drain_seconds: float = 2.0,
        heartbeat_seconds: float = 1.0,
        config_apply_seconds: float = 2.0,
        evacuate_seconds: float = 5.0,
        duty_lease_seconds: float = 3.0,
        usage_window_seconds: float = 5.0,
        usage_due_seconds: float = 10.0,
    ) -> None:
        self.stop_grace_seconds = stop_grace_seconds
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.load_window_seconds = load_window_seconds
        self.drain_seconds = drain_seconds
        self.heartbeat_seconds = heartbeat_seconds
        self.config_apply_seconds = config_apply_seconds
        self.evacuate_seconds = evacuate_seconds
        self.duty_lease_seconds = duty_lease_seconds
        self.usage_window_seconds = usage_window_seconds
        self.usage_due_seconds = usage_due_seconds
