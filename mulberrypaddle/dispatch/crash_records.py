"""Requests that crash the runners that run them.

A caller sends such a request again and again, at any router. It is known by a
fingerprint of organisation, path and body; routers tell one another of lost
runners, and after a few the request is refused.
"""

from __future__ import annotations

import hashlib

# Runners that may be lost with one request in hand before it is refused.
RUNNERS_ALLOWED = 3

# How long a loss is held against a request; callers of such requests come
# back within seconds, runners within some more.
MEMORY_SECONDS = 60.0

# Time after a broken answer in which the end of its runner proves a crash:
# entries lapse after three heartbeats of 1.2 s and are read a little later.
PROOF_SECONDS = 6.0

# Most fingerprints that are kept; a day of losses fits many times over.
MOST_RECORDS = 2_000


def fingerprint(organisation: str, path: str, body: bytes) -> str:
    """Returns what tells a request from others, whatever its id."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (organisation.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class _Suspicion:
    """A request whose answer broke, until its runner is known to live."""

    __slots__ = ("at_seconds", "life", "mark")

    def __init__(
        self, mark: str, life: tuple[str, int | None], at_seconds: float
    ) -> None:
        self.mark = mark
        self.life = life
        self.at_seconds = at_seconds


class CrashRecords:
    """Runners that were lost while they ran a request, by fingerprint."""

    __slots__ = ("_losses", "_suspicions")

    def __init__(self) -> None:
        self._losses: dict[str, dict[str, float]] = {}
        self._suspicions: list[_Suspicion] = []

    def broke(
        self, mark: str, life: tuple[str, int | None], now_seconds: float
    ) -> None:
        """Takes that a runner's answer to a request broke off."""
        self._suspicions.append(_Suspicion(mark, life, now_seconds))

    def settle(
        self, lives: set[tuple[str, int | None]], now_seconds: float
    ) -> None:
        """Turns suspicions into losses where the runner's life has ended.

        Args:
            lives: Lives of all runners that are known.
            now_seconds: Monotonic time.
        """
        kept: list[_Suspicion] = []
        for suspicion in self._suspicions:
            if suspicion.life not in lives:
                self.lost(suspicion.mark, suspicion.life[0], now_seconds)
            elif now_seconds - suspicion.at_seconds < PROOF_SECONDS:
                kept.append(suspicion)
        self._suspicions = kept

    def lost(self, mark: str, runner_id: str, now_seconds: float) -> None:
        """Takes that a runner was lost while it ran a request."""
        if mark not in self._losses and len(self._losses) >= MOST_RECORDS:
            del self._losses[next(iter(self._losses))]
        self._losses.setdefault(mark, {})[runner_id] = now_seconds

    def take_peer(
        self, losses: dict[str, list[str]], now_seconds: float
    ) -> None:
        """Takes losses that another router saw."""
        for mark, runner_ids in losses.items():
            for runner_id in runner_ids:
                if runner_id not in self._losses.get(mark, {}):
                    self.lost(mark, runner_id, now_seconds)

    def recent(
        self, now_seconds: float, *, since_seconds: float
    ) -> dict[str, list[str]]:
        """Returns the losses of the last `since_seconds`."""
        found: dict[str, list[str]] = {}
        for mark, runners in self._losses.items():
            fresh = [
                runner_id
                for runner_id, at_seconds in runners.items()
                if now_seconds - at_seconds <= since_seconds
            ]
            if fresh:
                found[mark] = fresh
        return found

    def refuses(self, mark: str, now_seconds: float) -> bool:
        """Returns whether a request must not run again."""
        runners = self._losses.get(mark)
        if runners is None:
            return False
        held = [
            at_seconds
            for at_seconds in runners.values()
            if now_seconds - at_seconds <= MEMORY_SECONDS
        ]
        return len(held) >= RUNNERS_ALLOWED
