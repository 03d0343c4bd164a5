"""Checks what reaches runners that announced to leave or asked for a pause.

A runner announces in its answers that it is leaving. It gets no request that a
caller sent later than `DRAIN_SECONDS` after the caller of an announcing answer
had received it from the same router. A runner that answers 503 with a pause
gets at most `MAX_PAUSED_ARRIVALS` requests from that router between
`PAUSE_SLACK_SECONDS` after the answer and the end of the pause. A router that
was restarted or suspended since then is excused.
"""

from __future__ import annotations

import time

DRAIN_SECONDS = 2.0
PAUSE_SLACK_SECONDS = 0.5
MAX_PAUSED_ARRIVALS = 2


class _Pause:
    """A pause that a runner asked a router for.

    Attributes:
        from_seconds: Monotonic time from which arrivals count.
        until_seconds: Monotonic time at which the pause ends.
        arrivals: Ids of the requests that arrived in between.
    """

    __slots__ = ("arrivals", "from_seconds", "until_seconds")

    def __init__(self, asked_at_seconds: float, seconds: float) -> None:
        self.from_seconds = asked_at_seconds + PAUSE_SLACK_SECONDS
        self.until_seconds = asked_at_seconds + seconds
        self.arrivals: list[str] = []


class AnnouncementChecks:
    """Records announcements, and the requests that arrive in spite of them.

    Runners are named by lifetime: a restart has another name. Times are
    monotonic, in seconds.

    Attributes:
        breaches: Descriptions of the requests that should not have arrived.
        leaving_known: Number of pairs of a router and a leaving runner whose
            announcement a caller of the router received.
        drains_known: Number of pairs of a router and a runner whose entry said
            for long enough that it drains.
        pauses_asked: Number of pauses that were asked for.
    """

    def __init__(self, breaches: list[str]) -> None:
        self.breaches = breaches
        self.leaving_known = 0
        self.drains_known = 0
        self.pauses_asked = 0
        # Router and time of each request that was sent, by request id.
        self._sent: dict[str, tuple[str, float]] = {}
        # Leaving runner that answered a request, by request id.
        self._announced: dict[str, str] = {}
        # When the announcement of a runner was passed on, by router and runner.
        self._known_since: dict[tuple[str, str], float] = {}
        self._pauses: dict[tuple[str, str], list[_Pause]] = {}
        # When a router was last restarted or suspended.
        self._excused_at: dict[str, float] = {}

    def __str__(self) -> str:
        return (
            f"{self.leaving_known} announcements of runners that leave, "
            f"{self.drains_known} drains, {self.pauses_asked} pauses"
        )

    def record_sent(self, request_id: str, router: str) -> None:
        """Records that a caller sends a request to a router."""
        self._sent[request_id] = (router, time.monotonic())

    def record_arrival(self, request_id: str, runner: str) -> None:
        """Checks a request that reached a runner."""
        if request_id not in self._sent:
            return
        router, sent_at = self._sent[request_id]
        known_since = self._known_since.get((router, runner))
        if known_since is not None and sent_at > known_since + DRAIN_SECONDS:
            self.breaches.append(
                f"{request_id} reaches {runner} from {router} "
                f"{sent_at - known_since:.2f} s after it announced to leave"
            )
        now = time.monotonic()
        for pause in self._pauses.get((router, runner), ()):
            if not pause.from_seconds < now < pause.until_seconds:
                continue
            pause.arrivals.append(request_id)
            if len(pause.arrivals) == MAX_PAUSED_ARRIVALS + 1:
                self.breaches.append(
                    f"{pause.arrivals} reach {runner} from {router} within "
                    "the pause that it asked for"
                )

    def record_announcement(self, request_id: str, runner: str) -> None:
        """Records that a runner answers a request and announces to leave."""
        self._announced[request_id] = runner

    def record_received(self, request_id: str) -> None:
        """Records that a caller has received an answer of a runner."""
        runner = self._announced.get(request_id)
        if runner is None:
            return
        router, sent_at = self._sent[request_id]
        key = (router, runner)
        if sent_at <= self._excused_at.get(router, 0.0):
            return
        if key not in self._known_since:
            self._known_since[key] = time.monotonic()
            self.leaving_known += 1

    def record_known(self, router: str, runner: str) -> None:
        """Records that a router knows by now that a runner drains."""
        key = (router, runner)
        if key not in self._known_since:
            self._known_since[key] = time.monotonic()
            self.drains_known += 1

    def excused_at_seconds(self, router: str) -> float:
        """Returns when a router was last restarted or suspended."""
        return self._excused_at.get(router, 0.0)

    def record_pause(
        self, request_id: str, runner: str, seconds: float
    ) -> None:
        """Records that a runner answers 503 and asks for a pause."""
        if request_id not in self._sent:
            return
        router, sent_at = self._sent[request_id]
        if sent_at <= self._excused_at.get(router, 0.0):
            return
        pauses = self._pauses.setdefault((router, runner), [])
        pauses.append(_Pause(time.monotonic(), seconds))
        self.pauses_asked += 1

    def excuse(self, router: str) -> None:
        """Forgets what a router knew, since it was restarted or suspended."""
        self._excused_at[router] = time.monotonic()
        for key in [key for key in self._known_since if key[0] == router]:
            del self._known_since[key]
        for key in [key for key in self._pauses if key[0] == router]:
            del self._pauses[key]
