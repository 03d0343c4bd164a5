"""Strikes of one service: which content is to blame for lost runners.

Requests that died together share the blame. An event that took several
runners of a fabric domain at once blames nobody, unless one content was on
all of them. Where content that is suspect already died with others, only
the suspects share the blame.
"""

from __future__ import annotations

# Losses of one runner, or of one fabric domain, within this are one event.
EVENT_SECONDS = 2.0
# A domain that lost several runners for no content's fault goes on failing.
DARK_SECONDS = 10.0
# Content is quarantined on this blame, collected in so many events.
CONVICTING_BLAME = 1.0
CONVICTING_EVENTS = 2
QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 4 * 3600.0
# A suspect without another loss is forgotten after this.
RECORD_SECONDS = 3600.0
# Late reports of the same event may still share the blame until then.
SETTLE_SECONDS = 0.2
# A lost runner that has not answered until then counts as lost.
VERIFY_SECONDS = 2.0
# How exactly a runner's uptime tells when it started.
START_SLACK_SECONDS = 0.5
MAX_RECORDS = 1024
MAX_EVENTS = 256


class LossEvent:
    """Runners lost together, and the content that was on each.

    Attributes:
        at_seconds: Monotonic time of the first report.
        fabric_domain: Of the first runner; may be empty.
        by_runner: Fingerprints by runner id.
        suspects: Fingerprints that were suspect before.
        started_at_seconds: Monotonic time at which the earliest attempt began.
        unverified: Runners that are being asked whether they live.
        refuted: Runners that turned out to have lived on.
    """

    __slots__ = (
        "_shares_blame",
        "at_seconds",
        "by_runner",
        "fabric_domain",
        "refuted",
        "started_at_seconds",
        "suspects",
        "unverified",
    )

    def __init__(
        self,
        at_seconds: float,
        fabric_domain: str,
        *,
        shares_blame: bool = True,
    ) -> None:
        self._shares_blame = shares_blame
        self.at_seconds = at_seconds
        self.fabric_domain = fabric_domain
        self.by_runner: dict[str, set[bytes]] = {}
        self.suspects: set[bytes] = set()
        self.started_at_seconds = at_seconds
        self.unverified: set[str] = set()
        self.refuted: set[str] = set()

    def is_settled(self, now_seconds: float) -> bool:
        """Returns whether reports and answers of its runners are in."""
        age_seconds = now_seconds - self.at_seconds
        if age_seconds >= VERIFY_SECONDS:
            return True
        return age_seconds >= SETTLE_SECONDS and not self.unverified

    def verify(
        self, runner_id: str, *, started_at_seconds: float | None
    ) -> None:
        """Takes note of when a runner that was asked had started.

        Args:
            runner_id: The runner.
            started_at_seconds: Monotonic time; None if it doesn't answer.
        """
        self.unverified.discard(runner_id)
        if started_at_seconds is None:
            return
        if started_at_seconds < self.started_at_seconds - START_SLACK_SECONDS:
            self.refuted.add(runner_id)

    def takes(
        self,
        runner_id: str,
        fabric_domain: str,
        *,
        started_at_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Returns whether a loss belongs to this event.

        An attempt that started after the first loss died of its own, unless
        the whole domain is dark.
        """
        beside = bool(fabric_domain) and fabric_domain == self.fabric_domain
        if not beside and runner_id not in self.by_runner:
            return False
        age_seconds = now_seconds - self.at_seconds
        if len(self.by_runner) > 1 and not self._blamed():
            return age_seconds <= DARK_SECONDS
        if age_seconds > EVENT_SECONDS:
            return False
        return started_at_seconds <= self.at_seconds

    def blame(self, fingerprint: bytes) -> float:
        """Returns one content's share of the blame, from 0 to 1."""
        if not self._shares_blame:
            return 1.0 if len(self.by_runner) > len(self.refuted) else 0.0
        blamed = self._blamed()
        if fingerprint not in blamed:
            return 0.0
        return 1.0 / len(blamed)

    def _blamed(self) -> set[bytes]:
        contents = []
        for runner_id, fingerprints in self.by_runner.items():
            if runner_id not in self.refuted:
                contents.append(fingerprints)
        if not contents:
            return set()
        common = set.intersection(*contents)
        if len(contents) > 1:
            return common
        return common & self.suspects or common


class _Record:
    """What is held against one content."""

    __slots__ = ("events", "quarantined_until_seconds", "quarantines")

    def __init__(self) -> None:
        self.events: list[LossEvent] = []
        self.quarantines = 0
        self.quarantined_until_seconds = float("-inf")

    def last_seconds(self) -> float:
        return self.events[-1].at_seconds


class StrikeBook:
    """Everything held against the content sent to one service.

    Args:
        shares_blame: Whether content that died together shares the blame;
            only tests switch it off.
    """

    def __init__(self, *, shares_blame: bool = True) -> None:
        self._shares_blame = shares_blame
        self._records: dict[bytes, _Record] = {}
        self._events: list[LossEvent] = []

    def add(
        self,
        fingerprint: bytes,
        *,
        runner_id: str,
        fabric_domain: str,
        started_at_seconds: float,
        now_seconds: float,
    ) -> LossEvent:
        """Takes note of an attempt that ended with the loss of its runner.

        Returns:
            The event that the loss belongs to.
        """
        event = self._event_of(
            runner_id, fabric_domain, started_at_seconds, now_seconds
        )
        if self.is_suspect(fingerprint, now_seconds):
            event.suspects.add(fingerprint)
        event.started_at_seconds = min(
            event.started_at_seconds, started_at_seconds
        )
        event.by_runner.setdefault(runner_id, set()).add(fingerprint)
        record = self._records.pop(fingerprint, None) or _Record()
        if event not in record.events:
            record.events.append(event)
        self._records[fingerprint] = record
        while len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return event

    def clear(self, fingerprint: bytes, now_seconds: float) -> None:
        """Forgets a suspect that ran without loss."""
        if self.quarantined_seconds(fingerprint, now_seconds) <= 0:
            self._records.pop(fingerprint, None)

    def adopt(
        self, fingerprint: bytes, quarantined_seconds: float, now_seconds: float
    ) -> None:
        """Takes over a suspect that an earlier owner told of."""
        if fingerprint in self._records:
            return
        event = LossEvent(now_seconds - EVENT_SECONDS, "")
        event.by_runner[""] = {fingerprint}
        record = _Record()
        record.events.append(event)
        if quarantined_seconds > 0:
            record.quarantines = 1
            record.quarantined_until_seconds = now_seconds + quarantined_seconds
        self._records[fingerprint] = record

    def is_suspect(self, fingerprint: bytes, now_seconds: float) -> bool:
        """Returns whether content is to blame for a loss."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if now_seconds - record.last_seconds() > RECORD_SECONDS:
            return False
        return _blame(record, fingerprint) > 0

    def is_settled(self, fingerprint: bytes, now_seconds: float) -> bool:
        """Returns whether every report of its last loss should be in."""
        record = self._records.get(fingerprint)
        if record is None:
            return True
        return record.events[-1].is_settled(now_seconds)

    def runners_lost(self, fingerprint: bytes) -> set[str]:
        """Returns the runners that were lost with this content."""
        record = self._records.get(fingerprint)
        lost: set[str] = set()
        if record is None:
            return lost
        for event in record.events:
            for runner_id, contents in event.by_runner.items():
                if fingerprint in contents:
                    lost.add(runner_id)
        return lost

    def quarantined_seconds(
        self, fingerprint: bytes, now_seconds: float
    ) -> float:
        """Returns how long content stays in quarantine; zero if it is not."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        self._judge(record, fingerprint, now_seconds)
        return max(0.0, record.quarantined_until_seconds - now_seconds)

    def suspects(self, now_seconds: float) -> list[bytes]:
        """Returns all suspects, and drops records that have lapsed."""
        found = []
        for fingerprint, record in list(self._records.items()):
            quarantined = now_seconds < record.quarantined_until_seconds
            lapsed = now_seconds - record.last_seconds() > RECORD_SECONDS
            if lapsed and not quarantined:
                del self._records[fingerprint]
                continue
            if quarantined or self.is_suspect(fingerprint, now_seconds):
                found.append(fingerprint)
        return found

    def _event_of(
        self,
        runner_id: str,
        fabric_domain: str,
        started_at_seconds: float,
        now_seconds: float,
    ) -> LossEvent:
        for event in reversed(self._events):
            if event.takes(
                runner_id,
                fabric_domain,
                started_at_seconds=started_at_seconds,
                now_seconds=now_seconds,
            ):
                return event
        event = LossEvent(
            now_seconds, fabric_domain, shares_blame=self._shares_blame
        )
        self._events.append(event)
        del self._events[:-MAX_EVENTS]
        return event

    def _judge(
        self, record: _Record, fingerprint: bytes, now_seconds: float
    ) -> None:
        if now_seconds < record.quarantined_until_seconds:
            return
        unpunished = 0
        events = 0
        for event in record.events:
            if event.blame(fingerprint) <= 0:
                continue
            events += 1
            if event.at_seconds > record.quarantined_until_seconds:
                unpunished += 1
        if not unpunished or events < CONVICTING_EVENTS:
            return
        if _blame(record, fingerprint) < CONVICTING_BLAME:
            return
        length_seconds = QUARANTINE_SECONDS * 2**record.quarantines
        record.quarantines += 1
        record.quarantined_until_seconds = now_seconds + min(
            length_seconds, MAX_QUARANTINE_SECONDS
        )


def _blame(record: _Record, fingerprint: bytes) -> float:
    return sum(event.blame(fingerprint) for event in record.events)
