"""Turns of suspect requests: each content on one runner at a time."""

from __future__ import annotations

# A turn that was granted but not placed blocks the next for this long.
PLACING_SECONDS = 0.5
# A turn whose end was never told is over after this.
TURN_SECONDS = 60.0


class _Turn:
    """One suspect that may be sent."""

    __slots__ = ("fingerprint", "granted_at_seconds", "runner_id")

    def __init__(self, fingerprint: bytes, granted_at_seconds: float) -> None:
        self.fingerprint = fingerprint
        self.granted_at_seconds = granted_at_seconds
        self.runner_id = ""


class Turns:
    """The suspects of one service that are being sent.

    Two suspects on one runner could not be told apart when it is lost, so
    the next turn is granted once it is known where the last one went.
    """

    def __init__(self) -> None:
        self._turns: dict[str, _Turn] = {}

    def may_grant(
        self,
        turn_id: str,
        fingerprint: bytes,
        now_seconds: float,
        *,
        max_turns: int,
    ) -> bool:
        """Returns whether a suspect may be sent now.

        Args:
            turn_id: Id that the asking router gave.
            fingerprint: Content of the request.
            now_seconds: Monotonic time.
            max_turns: Most suspects that may run at once.
        """
        self._drop_old(now_seconds)
        if turn_id in self._turns:
            return True
        if len(self._turns) >= max_turns:
            return False
        for turn in self._turns.values():
            if turn.fingerprint == fingerprint:
                return False
            waited_seconds = now_seconds - turn.granted_at_seconds
            if not turn.runner_id and waited_seconds < PLACING_SECONDS:
                return False
        return True

    def grant(
        self, turn_id: str, fingerprint: bytes, now_seconds: float
    ) -> set[str]:
        """Grants a turn and returns the runners to avoid."""
        avoid = set()
        for other_id, turn in self._turns.items():
            if other_id != turn_id and turn.runner_id:
                avoid.add(turn.runner_id)
        if turn_id not in self._turns:
            self._turns[turn_id] = _Turn(fingerprint, now_seconds)
        return avoid

    def place(self, turn_id: str, runner_id: str) -> None:
        """Notes where the attempt of a turn was sent."""
        turn = self._turns.get(turn_id)
        if turn is not None:
            turn.runner_id = runner_id

    def end(self, turn_id: str) -> None:
        """Ends a turn."""
        self._turns.pop(turn_id, None)

    def _drop_old(self, now_seconds: float) -> None:
        for turn_id, turn in list(self._turns.items()):
            if now_seconds - turn.granted_at_seconds > TURN_SECONDS:
                del self._turns[turn_id]
