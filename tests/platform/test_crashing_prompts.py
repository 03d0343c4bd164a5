"""Prompts with a part that crashes each runner that begins to answer them."""

from __future__ import annotations

import asyncio
import collections
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import testtools

from tests.support.asynchronous import run
from tests.support.crashing_parts import FIRST_PART, SHARED_PARTS, make_prompt
from tests.support.simulated_deployment import (
    API_KEY,
    OTHER_API_KEY,
    STABLE_WINDOW_SECONDS,
    Caller,
    Router,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROUTERS = 3
DOMAINS = 2
RUNNERS_PER_DOMAIN = 12
# Three heartbeats of the platform, as long as the stable window and more.
ENTRY_EXPIRY_SECONDS = 3.6

CRASHING_PARTS = ("e4402b7d", "7b19f3c6")
OTHER_FIRST_PART = "a80c55d1"

# Crashes after which the part must be known, and the requests with it that may
# reach runners from one stable window later on.
CRASHES_ALLOWED = 5
ARRIVALS_ALLOWED = 3
# Share of the sound requests that must be served at the first attempt.
MIN_SERVED_SHARE = 0.9

# Longest time for which requests with a part are sent until it has crashed
# `CRASHES_ALLOWED` runners; it need not crash as many.
CRASHING_SECONDS = 12.0
SOUND_REQUESTS_PER_SECOND = 40.0
CRASHING_REQUESTS_PER_SECOND = 2.0


class _SentRequest:
    """A request whose answer has ended.

    Attributes:
        sent_at: Monotonic time at which it was sent, in seconds.
        part: Crashing part of its prompt; empty for a sound request.
        related: Whether it has the key or the first part of the requests with
            a crashing part.
        outcome: Outcome; see `Caller.send`.
    """

    __slots__ = ("outcome", "part", "related", "sent_at")

    def __init__(
        self, sent_at: float, *, part: str, related: bool, outcome: str
    ) -> None:
        self.sent_at = sent_at
        self.part = part
        self.related = related
        self.outcome = outcome


class _Traffic:
    """Callers that send requests to all running routers until stopped.

    Attributes:
        sent: All requests whose answers have ended.
        crashing_parts: Parts that requests with a crashing part have.
        crashing_routers: Routers that such requests are sent to.
    """

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._caller = Caller(deployment)
        # Number of the prompt, which decides on its parts, and of the request.
        self._number = 0
        self._request_count = 0
        self._senders: list[asyncio.Task[None]] = []
        self._requests: set[asyncio.Task[None]] = set()
        self.sent: list[_SentRequest] = []
        self.crashing_parts: list[str] = []
        self.crashing_routers = list(deployment.routers.values())

    def start(
        self,
        *,
        sound_per_second: float = SOUND_REQUESTS_PER_SECOND,
        crashing_per_second: float = CRASHING_REQUESTS_PER_SECOND,
    ) -> None:
        """Starts to send sound requests, and crashing ones of any part."""
        self._senders = [
            asyncio.ensure_future(self._send_at(rate, send_one))
            for rate, send_one in (
                (sound_per_second, self._send_sound),
                (crashing_per_second, self._send_with_each_part),
            )
        ]

    async def stop(self) -> None:
        """Stops sending and waits for the answers."""
        for sender in self._senders:
            sender.cancel()
        while self._requests:
            await asyncio.gather(*self._requests)

    async def _send_at(
        self, per_second: float, send_one: Callable[[], None]
    ) -> None:
        while True:
            send_one()
            await asyncio.sleep(1.0 / per_second)

    def _send_sound(self) -> None:
        """Sends a sound request, in turn of each key and first part."""
        self._number += 1
        number = self._number
        same_key = number % 2 == 0
        same_first = number // 2 % 3 > 0
        first_part = FIRST_PART if same_first else OTHER_FIRST_PART
        shared = number // 6 % len(SHARED_PARTS)
        prompt = make_prompt(
            (first_part, *SHARED_PARTS[shared : shared + 2]), f"q{number}"
        )
        running = [r for r in self._deployment.routers.values() if r.alive]
        self._spawn(
            running[number % len(running)],
            prompt,
            api_key=API_KEY if same_key else OTHER_API_KEY,
            related=same_key or same_first,
        )

    def _send_with_each_part(self) -> None:
        for part in self.crashing_parts:
            self.send_crashing(part)

    def send_crashing(self, part: str) -> None:
        """Sends a request with a part; every other one is sent twice."""
        self._number += 1
        number = self._number
        shared = SHARED_PARTS[number % len(SHARED_PARTS)]
        middle = ((part,), (part, shared), (shared, part))[number % 3]
        prompt = make_prompt((FIRST_PART, *middle), f"q{number}")
        routers = self.crashing_routers
        for attempt in range(1 + number % 2):
            self._spawn(
                routers[(number + attempt) % len(routers)],
                prompt,
                part=part,
                related=True,
            )

    def _spawn(
        self,
        router: Router,
        prompt: str,
        *,
        api_key: str = API_KEY,
        part: str = "",
        related: bool,
    ) -> None:
        task = asyncio.ensure_future(
            self._send(
                router, prompt, api_key=api_key, part=part, related=related
            )
        )
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _send(
        self,
        router: Router,
        prompt: str,
        *,
        api_key: str,
        part: str,
        related: bool,
    ) -> None:
        self._request_count += 1
        request_id = f"{self._request_count:016x}"
        sent_at = time.monotonic()
        outcome = await self._caller.send(
            router,
            "write",
            request_id,
            prompt=prompt,
            api_key=api_key,
        )
        self.sent.append(
            _SentRequest(sent_at, part=part, related=related, outcome=outcome)
        )

    def outcomes(
        self, since: float, *, part: str = "", related: bool = True
    ) -> list[str]:
        """Returns the outcomes of the requests sent since a time.

        Args:
            since: Monotonic time in seconds.
            part: Part that they have; empty for the sound ones.
            related: Whether they have the key or first part of the crashing
                ones.
        """
        return [
            request.outcome
            for request in self.sent
            if request.sent_at > since
            and request.part == part
            and request.related == related
        ]


def _run_scenario(
    scenario: Callable[[SimulatedDeployment, _Traffic], Awaitable[None]],
) -> SimulatedDeployment:
    """Runs a scenario in a deployment with traffic and returns it, closed."""

    async def run_deployment() -> SimulatedDeployment:
        with tempfile.TemporaryDirectory() as folder:
            deployment = SimulatedDeployment(
                Path(folder), entry_expiry_seconds=ENTRY_EXPIRY_SECONDS
            )
            try:
                for number in range(DOMAINS * RUNNERS_PER_DOMAIN):
                    deployment.add_runner(
                        "cards", f"d{number // RUNNERS_PER_DOMAIN}"
                    )
                for number in range(1, ROUTERS + 1):
                    deployment.add_router(number)
                await deployment.wait_until_ready(
                    groups=DOMAINS * RUNNERS_PER_DOMAIN // 2
                )
                await scenario(deployment, _Traffic(deployment))
            except BaseException:
                _print_log_ends(deployment)
                raise
            finally:
                await deployment.close()
            return deployment

    return run(run_deployment())


def _print_log_ends(deployment: SimulatedDeployment) -> None:
    """Prints the last log lines of all routers, shown with the failure."""
    for ip, router in deployment.routers.items():
        if router.log_path.exists():
            lines = router.log_path.read_text().splitlines()[-100:]
            print("\n".join([f"log of router {ip}:", *lines]))
    print(f"open heads: {[r.runner_id for r in deployment.open_heads()]}")


def _refused_count(counts: collections.Counter[str]) -> int:
    """Returns how many of the outcomes are refusals."""
    return sum(
        count
        for outcome, count in counts.items()
        if outcome.startswith("refused")
    )


async def _crash_runners(
    deployment: SimulatedDeployment, traffic: _Traffic, part: str
) -> None:
    """Sends requests with a part until it has crashed `CRASHES_ALLOWED`.

    Fewer if they are refused before.
    """
    deployment.crashing_parts.part_ids.add(part)
    traffic.crashing_parts.append(part)
    deadline = time.monotonic() + CRASHING_SECONDS
    while time.monotonic() < deadline:
        if deployment.crashing_parts.crash_count(part) >= CRASHES_ALLOWED:
            return
        await asyncio.sleep(0.01)


class CrashingPromptTest(testtools.TestCase):
    """Requests with a crashing part are refused, and no others."""

    def _check_part_is_refused(
        self,
        deployment: SimulatedDeployment,
        traffic: _Traffic,
        part: str,
        since: float,
    ) -> None:
        """Checks that requests with a part are refused from a time on.

        The deployment checks that a request that was refused did not run.
        """
        self.assertGreater(deployment.crashing_parts.crash_count(part), 0)
        self.assertLessEqual(
            deployment.crashing_parts.arrivals_after(part, since),
            ARRIVALS_ALLOWED,
        )
        counts = collections.Counter(traffic.outcomes(since, part=part))
        refused = _refused_count(counts)
        self.assertGreater(refused, ARRIVALS_ALLOWED, counts)
        self.assertLessEqual(counts.total() - refused, ARRIVALS_ALLOWED, counts)

    def _check_sound_are_served(self, traffic: _Traffic, since: float) -> None:
        """Checks that sound requests are served from a time on."""
        for related in (True, False):
            outcomes = traffic.outcomes(since, related=related)
            self.assertGreater(len(outcomes), 10)
            counts = collections.Counter(outcomes)
            self.assertEqual(0, _refused_count(counts), counts)
            self.assertGreaterEqual(
                counts["served"], MIN_SERVED_SHARE * len(outcomes), counts
            )

    def test_requests_with_a_crashing_prompt_part_stop_reaching_runners(
        self,
    ) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            traffic.start()
            await _crash_runners(deployment, traffic, CRASHING_PARTS[0])
            await asyncio.sleep(STABLE_WINDOW_SECONDS)
            settled_at = time.monotonic()
            await asyncio.sleep(6.0)
            await traffic.stop()
            self._check_part_is_refused(
                deployment, traffic, CRASHING_PARTS[0], settled_at
            )

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_sound_prompts_with_the_same_first_part_are_served(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            traffic.start()
            await _crash_runners(deployment, traffic, CRASHING_PARTS[0])
            await asyncio.sleep(2 * STABLE_WINDOW_SECONDS)
            settled_at = time.monotonic()
            await asyncio.sleep(4.0)
            await traffic.stop()
            self._check_sound_are_served(traffic, settled_at)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_crashing_part_in_one_request_of_a_hundred_is_refused(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            # Every other request with the part is sent twice.
            traffic.start(sound_per_second=100.0, crashing_per_second=2.0 / 3.0)
            await _crash_runners(deployment, traffic, CRASHING_PARTS[0])
            await asyncio.sleep(STABLE_WINDOW_SECONDS)
            settled_at = time.monotonic()
            await asyncio.sleep(STABLE_WINDOW_SECONDS)
            served_since = time.monotonic()
            await asyncio.sleep(6.0)
            await traffic.stop()
            self._check_part_is_refused(
                deployment, traffic, CRASHING_PARTS[0], settled_at
            )
            self._check_sound_are_served(traffic, served_since)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_restarted_router_refuses_a_crashing_part(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            part = CRASHING_PARTS[0]
            restarted = next(iter(deployment.routers.values()))
            traffic.start()
            await _crash_runners(deployment, traffic, part)
            traffic.crashing_parts.clear()
            restarted.kill()
            restarted.start()
            while not await restarted.is_ready():
                await asyncio.sleep(0.05)
            await asyncio.sleep(STABLE_WINDOW_SECONDS)
            settled_at = time.monotonic()
            traffic.crashing_routers = [restarted]
            traffic.crashing_parts.append(part)
            await asyncio.sleep(6.0)
            await traffic.stop()
            self._check_part_is_refused(deployment, traffic, part, settled_at)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_second_crashing_part_is_refused_beside_the_first(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            traffic.start()
            settled_at = []
            for part in CRASHING_PARTS:
                await _crash_runners(deployment, traffic, part)
                await asyncio.sleep(STABLE_WINDOW_SECONDS)
                settled_at.append(time.monotonic())
            await asyncio.sleep(STABLE_WINDOW_SECONDS)
            served_since = time.monotonic()
            await asyncio.sleep(3.0)
            await traffic.stop()
            for part, since in zip(CRASHING_PARTS, settled_at, strict=True):
                self._check_part_is_refused(deployment, traffic, part, since)
            self._check_sound_are_served(traffic, served_since)

        self.assertEqual([], _run_scenario(scenario).breaches)


class UnrelatedCrashTest(testtools.TestCase):
    """Runners that crash for other reasons make no request refused."""

    def _check_none_refused(self, traffic: _Traffic, since: float) -> None:
        """Checks that no request was refused, and most were served."""
        outcomes = [
            outcome
            for related in (True, False)
            for outcome in traffic.outcomes(since, related=related)
        ]
        counts = collections.Counter(outcomes)
        self.assertGreater(len(outcomes), 100)
        self.assertEqual(0, _refused_count(counts), counts)
        self.assertGreaterEqual(
            counts["served"], MIN_SERVED_SHARE * len(outcomes), counts
        )

    def test_loss_of_a_busy_domain_charges_no_part(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            traffic.start(sound_per_second=60.0)
            await asyncio.sleep(1.0)
            domain = [
                runner
                for runner in deployment.runners.values()
                if runner.domain == "d0"
            ]
            while sum(r.running > 0 for r in domain) < CRASHES_ALLOWED:
                await asyncio.sleep(0.005)
            killed_at = time.monotonic()
            for runner in domain:
                runner.crash()
            await asyncio.sleep(3 * STABLE_WINDOW_SECONDS)
            await traffic.stop()
            self._check_none_refused(traffic, killed_at)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_single_crashes_of_busy_runners_charge_no_part(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, traffic: _Traffic
        ) -> None:
            traffic.start()
            await asyncio.sleep(1.0)
            first_at = time.monotonic()
            for _ in range(CRASHES_ALLOWED + 1):
                busiest = max(deployment.open_heads(), key=lambda r: r.running)
                self.assertGreater(busiest.running, 0)
                busiest.crash()
                asyncio.get_running_loop().call_later(
                    STABLE_WINDOW_SECONDS, deployment.restart_runner, busiest
                )
                await asyncio.sleep(0.5)
            await asyncio.sleep(2 * STABLE_WINDOW_SECONDS)
            await traffic.stop()
            self._check_none_refused(traffic, first_at)

        self.assertEqual([], _run_scenario(scenario).breaches)
