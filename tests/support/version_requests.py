"""Requests that show which version of the configuration is in force."""

from __future__ import annotations

import time

from tests.support.simulated_deployment import (
    API_KEY,
    Router,
    SimulatedDeployment,
    request_bytes,
    send_request,
)
from tests.support.version_checks import version_key

# Longest time for which a caller waits.
PATIENCE_SECONDS = 4.0


def put_version(deployment: SimulatedDeployment) -> int:
    """Writes a new version with its own key, and withdraws the last one's."""
    deployment.put_config((API_KEY, version_key(deployment.version + 1)))
    return deployment.version


async def ask_version(
    deployment: SimulatedDeployment,
    router: Router,
    version: int,
    request_id: str,
) -> int | None:
    """Sends a request with the key of a version, and checks the answer.

    Returns:
        The status: 200 if the version is in force, 401 if it is not; None if
        there is no answer.
    """
    process = router.process
    if process is None:
        return None
    sent_at_seconds = time.monotonic()
    try:
        answer = await send_request(
            router.ip,
            deployment.caller_port,
            request_bytes(
                "safe", request_id, prompt="", api_key=version_key(version)
            ),
            seconds=PATIENCE_SECONDS,
        )
    except (OSError, TimeoutError):
        return None
    head = answer.split(b" ", 2)
    if len(head) < 3 or router.process is not process:
        return None
    status = int(head[1])
    deployment.versions.record_answer(
        process.pid,
        version=version,
        status=status,
        sent_at_seconds=sent_at_seconds,
        resumed_at_seconds=deployment.announcements.excused_at_seconds(
            router.ip
        ),
    )
    return status
