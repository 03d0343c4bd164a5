"""Attribution of runner crashes to parts of prompts.

A part of a prompt may crash each runner that begins to answer a request with
it, in requests that otherwise differ and arrive at any router. A crash cuts all
requests of the runner, most of which are harmless.

The suspects of a crash are the shared parts of the requests whose answers had
only just begun. A later answer that goes on clears its parts. Parts that stay
suspects of several separate crashes are quarantined: requests with them are
refused, except for a trial now and then, which ends the quarantine if its
answer goes on. Crashes that a quarantine explains count against no other part.

Routers report crashes and the parts that they saw answered to one another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

# Separate crashes after which a part is quarantined: one that no router has
# seen answered, and any other. Reports of a crash arrive one after the other,
# so that a common part may be its only known suspect for a moment.
MIN_CRASHES = 3
MIN_CRASHES_IF_ANSWERED = 5

# Runners that end within this time count as one crash: they may share a power
# supply or a switch.
SIMULTANEOUS_SECONDS = 0.15

# Events after which an answer no longer counts as just begun, and those after
# which it clears the parts of its prompt.
MAX_STARTING_EVENTS = 1
CLEARING_EVENTS = 3

# How long a crash counts. It covers as many of the longest intervals between
# trials as there are crashes in a quarantine, which thus lasts while its trials
# crash runners.
RETENTION_SECONDS = 600.0

# Time without a crash after which one request with quarantined parts is let
# through; it doubles with each further crash, up to the maximum.
FIRST_TRIAL_SECONDS = 30.0
MAX_TRIAL_SECONDS = 120.0

# How much later than a crash an answer must be that another router reports, as
# reports are delayed.
PEER_REPORT_MARGIN_SECONDS = 0.5

# Time in which the end of a runner is confirmed after its answers broke off.
CONFIRMATION_SECONDS = 6.0

# Least time between two probes of a runner whose answers go on breaking off. A
# runner that crashed is back later than that.
PROBE_INTERVAL_SECONDS = 0.5

# Bounds of what is remembered: callers choose the ids of parts.
MAX_CRASHES = 256
MAX_PARTS_PER_CRASH = 64
MAX_CLEARED_PARTS = 4_096

# Crashes in one report to other routers.
MAX_REPORTED_CRASHES = 24

# Most characters of ids of suspects, and of ids of answered parts, in one
# report: a report is part of a datagram.
MAX_REPORTED_CHARACTERS = 16_384

# How long answers with the suspects of a crash are reported after some router
# has last reported the crash.
REPORT_CLEARED_SECONDS = 3.0

# A runner's id and its start time in milliseconds; see `RunnerEntry`.
Incarnation = tuple[str, int | None]

# Age of an answer, in seconds or milliseconds.
Age = TypeVar("Age", int, float)


class Interruption:
    """A runner whose answers broke off and that may have crashed.

    Attributes:
        incarnation: Incarnation of the runner.
        address: Address of the runner, as host:port.
        at_seconds: Monotonic time at which the first answer broke off.
        latest_at_seconds: The same of the last one.
        parts: Parts of the prompts whose answers had only just begun.
        probed_at_seconds: Monotonic time at which the last probe of the runner
            was started; None before the first.
    """

    __slots__ = (
        "address",
        "at_seconds",
        "incarnation",
        "latest_at_seconds",
        "parts",
        "probed_at_seconds",
    )

    def __init__(
        self, incarnation: Incarnation, *, address: str, at_seconds: float
    ) -> None:
        self.incarnation = incarnation
        self.address = address
        self.at_seconds = at_seconds
        self.latest_at_seconds = at_seconds
        self.parts: set[str] = set()
        self.probed_at_seconds: float | None = None

    def is_probe_due(self, now_seconds: float) -> bool:
        """Returns whether to probe the runner.

        Each time that an answer broke off after the last probe: the runner may
        have gone on then and have crashed since. One that crashes mostly
        returns under another id, so that only a probe can confirm it.
        """
        if self.probed_at_seconds is None:
            return True
        return (
            self.latest_at_seconds >= self.probed_at_seconds
            and now_seconds - self.probed_at_seconds >= PROBE_INTERVAL_SECONDS
        )


class CrashReport:
    """A crash as routers report it to one another.

    Attributes:
        name: Identifies the incarnation of the runner that crashed.
        age_seconds: Time since the crash.
        parts: Its suspects.
    """

    __slots__ = ("age_seconds", "name", "parts")

    def __init__(
        self, name: str, *, age_seconds: float, parts: Iterable[str]
    ) -> None:
        self.name = name
        self.age_seconds = age_seconds
        self.parts = frozenset(parts)


class Quarantine:
    """Parts that together explain several crashes.

    Attributes:
        parts: Parts that were suspects of the same crashes. A request that
            has all of them is refused; those with only some are not known to
            crash runners.
        crashes: Number of separate crashes.
        min_crashes: Number of crashes at which the quarantine began.
        last_crash_at_seconds: Monotonic time of the last crash.
    """

    __slots__ = ("crashes", "last_crash_at_seconds", "min_crashes", "parts")

    def __init__(
        self,
        parts: frozenset[str],
        *,
        crashes: int,
        min_crashes: int,
        last_crash_at_seconds: float,
    ) -> None:
        self.parts = parts
        self.crashes = crashes
        self.min_crashes = min_crashes
        self.last_crash_at_seconds = last_crash_at_seconds

    @property
    def trial_interval_seconds(self) -> float:
        """Returns the time without a crash after which a trial is due."""
        return min(
            MAX_TRIAL_SECONDS,
            FIRST_TRIAL_SECONDS * 2.0 ** (self.crashes - self.min_crashes),
        )


class _Crash:
    """A runner that crashed.

    Attributes:
        at_seconds: Monotonic time of the crash.
        parts: Its suspects, including those that were cleared since.
        mentioned_at_seconds: Monotonic time at which it was recorded or last
            reported by another router.
    """

    __slots__ = ("at_seconds", "mentioned_at_seconds", "parts")

    def __init__(self, at_seconds: float) -> None:
        self.at_seconds = at_seconds
        self.mentioned_at_seconds = at_seconds
        self.parts: set[str] = set()


class CrashAttribution:
    """Finds the prompt parts that crash runners.

    Attributes:
        may_try: Whether this router may let trials through. Only one router of
            the fleet should, so that a trial costs one runner.
    """

    __slots__ = (
        "_cleared_at_seconds",
        "_crashes",
        "_interruptions",
        "_is_outdated",
        "_peers_cleared_at_seconds",
        "_quarantines",
        "_suspects",
        "_tried_at_seconds",
        "may_try",
    )

    def __init__(self) -> None:
        self.may_try = False
        self._interruptions: dict[Incarnation, Interruption] = {}
        self._crashes: dict[str, _Crash] = {}
        # Monotonic time of the last answer that cleared a part, as this router
        # saw it and as others reported it, by part.
        self._cleared_at_seconds: dict[str, float] = {}
        self._peers_cleared_at_seconds: dict[str, float] = {}
        self._tried_at_seconds: dict[frozenset[str], float] = {}
        # Results of `_evaluate`, and whether the evidence has changed since.
        self._quarantines: list[Quarantine] = []
        self._suspects: set[str] = set()
        self._is_outdated = False

    # Evidence.

    def record_interruption(
        self,
        incarnation: Incarnation,
        *,
        address: str,
        parts: Iterable[str],
        now_seconds: float,
    ) -> None:
        """Records that an answer broke off when it had only just begun.

        It counts once `confirm_crash` is called for the runner.

        Args:
            incarnation: Incarnation of the runner.
            address: Address of the runner, as host:port.
            parts: Shared parts of the prompt.
            now_seconds: Monotonic time.
        """
        crash = self._crashes.get(incarnation_name(incarnation))
        if crash is not None:
            self._add_suspects(crash, parts)
            return
        known = self._interruptions.get(incarnation)
        interruption = known
        if (
            interruption is None
            or now_seconds - interruption.at_seconds > CONFIRMATION_SECONDS
        ):
            interruption = Interruption(
                incarnation, address=address, at_seconds=now_seconds
            )
            if known is not None:
                interruption.probed_at_seconds = known.probed_at_seconds
            self._interruptions[incarnation] = interruption
        interruption.latest_at_seconds = now_seconds
        interruption.parts.update(parts)

    def interruptions(self, now_seconds: float) -> list[Interruption]:
        """Returns the runners that may have crashed; forgets older ones."""
        for interruption in list(self._interruptions.values()):
            silent_seconds = now_seconds - interruption.latest_at_seconds
            if silent_seconds > CONFIRMATION_SECONDS:
                del self._interruptions[interruption.incarnation]
        return list(self._interruptions.values())

    def confirm_crash(
        self, incarnation: Incarnation, now_seconds: float
    ) -> None:
        """Records that the process of an interrupted runner has ended."""
        interruption = self._interruptions.pop(incarnation, None)
        if interruption is None:
            return
        self._record_crash(
            incarnation_name(incarnation),
            interruption.parts,
            at_seconds=interruption.at_seconds,
            now_seconds=now_seconds,
        )

    def dismiss(self, incarnation: Incarnation) -> None:
        """Drops an interruption that was no crash of the runner's process."""
        self._interruptions.pop(incarnation, None)

    def record_answer(self, parts: Iterable[str], now_seconds: float) -> None:
        """Records an answer that went on, which clears the prompt's parts."""
        for part in parts:
            self._cleared_at_seconds.pop(part, None)
            self._cleared_at_seconds[part] = now_seconds
            if part in self._suspects:
                self._is_outdated = True
        while len(self._cleared_at_seconds) > MAX_CLEARED_PARTS:
            del self._cleared_at_seconds[next(iter(self._cleared_at_seconds))]

    # Decisions.

    def is_suspected(self, parts: Iterable[str]) -> bool:
        """Returns whether a part of a prompt is a suspect of some crash."""
        self._evaluate_if_outdated()
        return not self._suspects.isdisjoint(parts)

    def quarantine_of(self, parts: Iterable[str]) -> Quarantine | None:
        """Returns the quarantine that a prompt falls under, or None."""
        matching = self._matching(parts)
        return matching[0] if matching else None

    def try_acquire_trial(
        self, parts: Iterable[str], now_seconds: float
    ) -> bool:
        """Returns whether a quarantined request may be sent as a trial.

        If so, the next trial is due after another interval.
        """
        if not self.may_try:
            return False
        matching = self._matching(parts)
        for quarantine in matching:
            if now_seconds < self.trial_due_at_seconds(quarantine):
                return False
        for quarantine in matching:
            self._tried_at_seconds[quarantine.parts] = now_seconds
        return True

    def trial_due_at_seconds(self, quarantine: Quarantine) -> float:
        """Returns the monotonic time at which the next trial is due."""
        last_at_seconds = max(
            quarantine.last_crash_at_seconds,
            self._tried_at_seconds.get(quarantine.parts, 0.0),
        )
        return last_at_seconds + quarantine.trial_interval_seconds

    def quarantines(self) -> list[Quarantine]:
        """Returns the quarantines in force."""
        self._evaluate_if_outdated()
        return self._quarantines

    # Reports of routers to one another.

    def crash_reports(self, now_seconds: float) -> list[CrashReport]:
        """Returns the crashes with suspects, to be reported to other routers.

        Those that explain a quarantine come first, then the latest, up to
        `MAX_REPORTED_CRASHES` and `MAX_REPORTED_CHARACTERS`. They are reported
        as long as they count, since routers that start know none.
        """
        self._expire(now_seconds)
        self._evaluate_if_outdated()
        quarantined: set[str] = set()
        for quarantine in self._quarantines:
            quarantined |= quarantine.parts
        names = sorted(
            self._crashes,
            key=lambda name: (
                quarantined.isdisjoint(self._crashes[name].parts),
                -self._crashes[name].at_seconds,
            ),
        )
        reports: list[CrashReport] = []
        characters = 0
        for name in names:
            crash = self._crashes[name]
            parts = self._uncleared_parts(crash)
            if not parts:
                continue
            characters += sum(map(len, parts))
            if characters > MAX_REPORTED_CHARACTERS:
                break
            reports.append(
                CrashReport(
                    name,
                    age_seconds=now_seconds - crash.at_seconds,
                    parts=parts,
                )
            )
            if len(reports) == MAX_REPORTED_CRASHES:
                break
        return reports

    def cleared_ages(self, now_seconds: float) -> dict[str, float]:
        """Returns the time since this router saw suspects answered, by part.

        Answers before the crash are included: of two parts that were always
        suspects together, the one that was answered before is less likely to
        be the cause.
        """
        ages: dict[str, float] = {}
        for crash in self._crashes.values():
            silent_seconds = now_seconds - crash.mentioned_at_seconds
            if silent_seconds > REPORT_CLEARED_SECONDS:
                continue
            for part in crash.parts:
                cleared_at_seconds = self._cleared_at_seconds.get(part)
                if cleared_at_seconds is not None:
                    ages[part] = now_seconds - cleared_at_seconds
        return latest_ages(ages)

    def apply_peer_report(
        self,
        reports: Iterable[CrashReport],
        cleared_ages_seconds: dict[str, float],
        now_seconds: float,
    ) -> None:
        """Merges what another router reports.

        Args:
            reports: Crashes that it knows.
            cleared_ages_seconds: Time since it saw a suspect answered, by part.
            now_seconds: Monotonic time.
        """
        for report in reports:
            if report.age_seconds <= RETENTION_SECONDS:
                self._record_crash(
                    report.name,
                    report.parts,
                    at_seconds=now_seconds - report.age_seconds,
                    now_seconds=now_seconds,
                )
        for part, age_seconds in cleared_ages_seconds.items():
            cleared_at_seconds = now_seconds - age_seconds
            known_seconds = self._peers_cleared_at_seconds.get(part)
            if known_seconds is None or known_seconds < cleared_at_seconds:
                self._peers_cleared_at_seconds[part] = cleared_at_seconds
                if part in self._suspects:
                    self._is_outdated = True

    # Evaluation.

    def _record_crash(
        self,
        name: str,
        parts: Iterable[str],
        *,
        at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Records a crash, or merges it with what is known of it."""
        crash = self._crashes.get(name)
        if crash is None:
            while len(self._crashes) >= MAX_CRASHES:
                del self._crashes[next(iter(self._crashes))]
            crash = _Crash(at_seconds)
            self._crashes[name] = crash
            self._is_outdated = True
        crash.at_seconds = min(at_seconds, crash.at_seconds)
        crash.mentioned_at_seconds = now_seconds
        self._add_suspects(crash, parts)

    def _add_suspects(self, crash: _Crash, parts: Iterable[str]) -> None:
        """Adds suspects to a crash, up to `MAX_PARTS_PER_CRASH`."""
        for part in parts:
            if part in crash.parts or len(crash.parts) >= MAX_PARTS_PER_CRASH:
                continue
            crash.parts.add(part)
            self._is_outdated = True

    def _is_cleared(self, part: str, crash: _Crash) -> bool:
        """Returns whether a part was answered after a crash."""
        if self._cleared_at_seconds.get(part, 0.0) > crash.at_seconds:
            return True
        reported_at_seconds = self._peers_cleared_at_seconds.get(part, 0.0)
        return reported_at_seconds > (
            crash.at_seconds + PEER_REPORT_MARGIN_SECONDS
        )

    def _uncleared_parts(self, crash: _Crash) -> set[str]:
        """Returns the suspects of a crash that were not cleared since."""
        return {
            part for part in crash.parts if not self._is_cleared(part, crash)
        }

    def _was_answered(self, part: str) -> bool:
        """Returns whether any router is known to have seen a part answered."""
        return (
            part in self._cleared_at_seconds
            or part in self._peers_cleared_at_seconds
        )

    def _min_crashes(self, part: str) -> int:
        """Returns the separate crashes after which a part is quarantined."""
        if self._was_answered(part):
            return MIN_CRASHES_IF_ANSWERED
        return MIN_CRASHES

    def _matching(self, parts: Iterable[str]) -> list[Quarantine]:
        """Returns the quarantines that a prompt falls under."""
        self._evaluate_if_outdated()
        if not self._quarantines:
            return []
        prompt = frozenset(parts)
        return [
            quarantine
            for quarantine in self._quarantines
            if quarantine.parts <= prompt
        ]

    def _expire(self, now_seconds: float) -> None:
        """Forgets crashes that no longer count."""
        oldest_seconds = now_seconds - RETENTION_SECONDS
        for name, crash in list(self._crashes.items()):
            if crash.at_seconds < oldest_seconds:
                del self._crashes[name]
                self._is_outdated = True

    def _evaluate_if_outdated(self) -> None:
        """Evaluates the evidence again if it has changed."""
        if self._is_outdated:
            self._is_outdated = False
            self._evaluate()

    def _evaluate(self) -> None:
        """Determines the suspects and the quarantines from the evidence."""
        uncleared: dict[str, set[str]] = {}
        for name, crash in self._crashes.items():
            suspects = self._uncleared_parts(crash)
            if suspects:
                uncleared[name] = suspects
        self._suspects = set().union(*uncleared.values())
        self._forget_irrelevant()
        moments = self._moments(uncleared)
        self._quarantines = []
        while True:
            quarantine = self._strongest(uncleared, moments)
            if quarantine is None:
                break
            self._quarantines.append(quarantine)
            for name in list(uncleared):
                if not quarantine.parts.isdisjoint(uncleared[name]):
                    del uncleared[name]
        in_force = {quarantine.parts for quarantine in self._quarantines}
        for parts in self._tried_at_seconds.keys() - in_force:
            del self._tried_at_seconds[parts]

    def _forget_irrelevant(self) -> None:
        """Drops what other routers reported of parts that are no suspects."""
        known: set[str] = set()
        for crash in self._crashes.values():
            known |= crash.parts
        for part in self._peers_cleared_at_seconds.keys() - known:
            del self._peers_cleared_at_seconds[part]

    def _moments(self, names: Iterable[str]) -> dict[str, int]:
        """Numbers the moments at which crashes happened, by crash.

        Crashes within `SIMULTANEOUS_SECONDS` of the first one share a number.
        """
        moments: dict[str, int] = {}
        number = 0
        began_at_seconds: float | None = None
        for name in sorted(
            names, key=lambda name: self._crashes[name].at_seconds
        ):
            at_seconds = self._crashes[name].at_seconds
            if (
                began_at_seconds is None
                or at_seconds - began_at_seconds > SIMULTANEOUS_SECONDS
            ):
                number += 1
                began_at_seconds = at_seconds
            moments[name] = number
        return moments

    def _strongest(
        self, uncleared: dict[str, set[str]], moments: dict[str, int]
    ) -> Quarantine | None:
        """Returns the quarantine that explains most crashes, or None.

        A part that was never answered precedes all that were.

        Args:
            uncleared: Suspects of each crash that is not explained yet.
            moments: Number of the moment of each crash.
        """
        crashes_by_part: dict[str, set[str]] = {}
        for name, parts in uncleared.items():
            for part in parts:
                crashes_by_part.setdefault(part, set()).add(name)
        best: tuple[bool, int] | None = None
        best_names: set[str] = set()
        for part, names in crashes_by_part.items():
            count = len({moments[name] for name in names})
            if count < self._min_crashes(part):
                continue
            rank = (not self._was_answered(part), count)
            if best is None or rank > best:
                best = rank
                best_names = names
        if best is None:
            return None
        tied = frozenset(
            part
            for part, names in crashes_by_part.items()
            if names == best_names and self._was_answered(part) != best[0]
        )
        return Quarantine(
            tied,
            crashes=best[1],
            min_crashes=(MIN_CRASHES if best[0] else MIN_CRASHES_IF_ANSWERED),
            last_crash_at_seconds=max(
                self._crashes[name].at_seconds for name in best_names
            ),
        )


def latest_ages(ages: dict[str, Age]) -> dict[str, Age]:
    """Returns the lowest ages of parts that a report has room for, by part."""
    kept: dict[str, Age] = {}
    characters = 0
    for part in sorted(ages, key=lambda part: ages[part]):
        characters += len(part)
        if characters > MAX_REPORTED_CHARACTERS:
            break
        kept[part] = ages[part]
    return kept


def incarnation_name(incarnation: Incarnation) -> str:
    """Returns the name of an incarnation in reports to other routers."""
    runner_id, started_at_ms = incarnation
    return f"{runner_id}@{started_at_ms or 0}"
