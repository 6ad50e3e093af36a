"""Sequential test of a version against the version that it replaces."""

from collections import OrderedDict
from enum import Enum
from math import exp, log

from msgspec import Struct

from comfreyhatch.decisions.quality import lower_bound

BUCKET_S = 10.0
MAX_BUCKETS = 32
MAX_ENTRIES = 8192
FALSE_ALARMS_PER_BUCKET = 1e-5
REFERENCE_CONFIDENCE_Z = 2.326
ALTERNATIVE_FRACTIONS = (0.1, 0.4, 0.9)
MAX_REFERENCE = 0.98
MIN_GROWTH_OUTCOMES = 30
MIN_GROWTH_RATINGS = 10
GROWTH_EVIDENCE_MAX_AGE_S = 300.0


class Signal(Enum):
    """What a version is tested on."""

    ERRORS = "errors"
    LATENCY = "latency"
    RATINGS = "ratings"


FLOOR_BY_SIGNAL = {Signal.ERRORS: 0.02, Signal.LATENCY: 0.10, Signal.RATINGS: 0.10}


class VersionKey(Struct, frozen=True, array_like=True):
    """A version and the number of its trial."""

    version_id: str
    trial: int = 0


class Outcomes(Struct, frozen=True, array_like=True):
    """Outcomes of a version counted by one daemon in one time bucket.

    Attributes:
        count: Answers and failures.
        errors: Failures that speak against the version.
        slow: Answers whose first token or token gap was late.
        rated: Answers rated.
        low: Answers rated below the contract's target.
    """

    count: int = 0
    errors: int = 0
    slow: int = 0
    rated: int = 0
    low: int = 0

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Return the sum of two counts."""
        return Outcomes(
            self.count + other.count,
            self.errors + other.errors,
            self.slow + other.slow,
            self.rated + other.rated,
            self.low + other.low,
        )

    def trials(self, signal: Signal) -> tuple[int, int]:
        """Return the number of bad outcomes and of all outcomes of a signal."""
        match signal:
            case Signal.ERRORS:
                return self.errors, self.count
            case Signal.LATENCY:
                return self.slow, self.count - self.errors
            case Signal.RATINGS:
                return self.low, self.rated


class OutcomeEntry(Struct, frozen=True, array_like=True):
    """One daemon's outcomes of a version in one bucket, as sent to peers.

    Counts of one bucket only grow, so the larger of two entries is the later one.
    """

    key: VersionKey
    bucket: int
    outcomes: Outcomes


class OutcomeDigest(Struct, frozen=True, tag="outcome-digest"):
    """Outcomes that changed at one incarnation of a daemon since its last digest."""

    incarnation: str
    entries: tuple[OutcomeEntry, ...]


class Regression(Struct, frozen=True):
    """Result of a test.

    Attributes:
        signal: Signal that failed.
        evidence: Sum of the likelihood ratios.
        bad: Bad outcomes in the retained buckets.
        count: All outcomes in the retained buckets.
        reference: Highest share of bad outcomes held to be normal.
    """

    signal: Signal
    evidence: float
    bad: int
    count: int
    reference: float

    def describe(self) -> str:
        """Return the grounds as one phrase."""
        return (
            f"{self.signal.value}: {self.bad} of {self.count} bad, normal up to"
            f" {self.reference:.3f}, evidence {self.evidence:.3g}"
        )


class OutcomeCounts:
    """Outcomes by version, bucket and incarnation, pooled with peers; bounded."""

    def __init__(self, incarnation: str, max_entries: int = MAX_ENTRIES) -> None:
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[VersionKey, int, str], Outcomes] = OrderedDict()
        self._slots_by_key: dict[VersionKey, set[tuple[int, str]]] = {}
        self._changed: dict[tuple[VersionKey, int], None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: VersionKey, outcomes: Outcomes, now: float) -> None:
        """Count outcomes of an answer that this daemon served.

        Args:
            key: The version.
            outcomes: What to add.
            now: Time shared by daemons, in seconds since the epoch.
        """
        bucket = int(now // BUCKET_S)
        slot = (key, bucket, self._incarnation)
        self._put(slot, self._entries.get(slot, Outcomes()).plus(outcomes))
        self._changed[key, bucket] = None
        self._expire(key, bucket)

    def digest(self, keys: frozenset[VersionKey], limit: int) -> OutcomeDigest | None:
        """Return the counts of some versions that changed since the last digest."""
        changed = [pair for pair in self._changed if pair[0] in keys][-limit:]
        entries = []
        for key, bucket in changed:
            outcomes = self._entries.get((key, bucket, self._incarnation))
            if outcomes:
                entries.append(OutcomeEntry(key, bucket, outcomes))
        self._changed.clear()
        return OutcomeDigest(self._incarnation, tuple(entries)) if entries else None

    def merge(self, digest: OutcomeDigest) -> None:
        """Take in a peer's digest; an older one changes nothing."""
        if digest.incarnation == self._incarnation:
            return
        for entry in digest.entries:
            slot = (entry.key, entry.bucket, digest.incarnation)
            held = self._entries.get(slot, Outcomes())
            if entry.outcomes.count + entry.outcomes.rated > held.count + held.rated:
                self._put(slot, entry.outcomes)

    def by_bucket(self, key: VersionKey, now: float) -> dict[int, Outcomes]:
        """Return the pooled outcomes of a version by bucket, in order of time."""
        oldest = int(now // BUCKET_S) - MAX_BUCKETS
        pooled: dict[int, Outcomes] = {}
        for bucket, incarnation in sorted(self._slots_by_key.get(key, ())):
            if bucket > oldest:
                counted = self._entries[key, bucket, incarnation]
                pooled[bucket] = pooled.get(bucket, Outcomes()).plus(counted)
        return pooled

    def total(self, key: VersionKey, now: float) -> Outcomes:
        """Return the pooled outcomes of a version in the retained buckets."""
        total = Outcomes()
        for outcomes in self.by_bucket(key, now).values():
            total = total.plus(outcomes)
        return total

    def _put(self, slot: tuple[VersionKey, int, str], outcomes: Outcomes) -> None:
        self._entries[slot] = outcomes
        self._entries.move_to_end(slot)
        self._slots_by_key.setdefault(slot[0], set()).add(slot[1:])
        while len(self._entries) > self._max_entries:
            self._remove(next(iter(self._entries)))

    def _expire(self, key: VersionKey, bucket: int) -> None:
        for held, incarnation in list(self._slots_by_key[key]):
            if held <= bucket - MAX_BUCKETS:
                self._remove((key, held, incarnation))

    def _remove(self, slot: tuple[VersionKey, int, str]) -> None:
        del self._entries[slot]
        self._changed.pop(slot[:2], None)
        slots = self._slots_by_key[slot[0]]
        slots.discard(slot[1:])
        if not slots:
            del self._slots_by_key[slot[0]]


def reference_share(signal: Signal, replaced: Outcomes) -> float:
    """Return the highest share of bad outcomes that the replaced version makes normal.

    The share is an upper confidence bound, so that scant evidence on the replaced version
    makes the test slower and not more prone to false alarms.
    """
    bad, count = replaced.trials(signal)
    floor = FLOOR_BY_SIGNAL[signal]
    if count == 0:
        return 2 * floor
    return min(
        MAX_REFERENCE, max(floor, 1 - lower_bound(count - bad, count, REFERENCE_CONFIDENCE_Z))
    )


def shiryaev_roberts_sum(signal: Signal, by_bucket: dict[int, Outcomes], reference: float) -> float:
    """Return the Shiryaev-Roberts sum of likelihood ratios over all starting buckets.

    Each ratio compares several higher shares of bad outcomes with the reference. While the
    true share is at most the reference, the sum grows by at most one a bucket on average.
    """
    alternatives = [reference + (1 - reference) * step for step in ALTERNATIVE_FRACTIONS]
    total = 0.0
    logs = [0.0 for _ in alternatives]
    for outcomes in reversed(by_bucket.values()):
        bad, count = outcomes.trials(signal)
        for index, share in enumerate(alternatives):
            good_step = log((1 - share) / (1 - reference))
            logs[index] += bad * log(share / reference) + (count - bad) * good_step
        total += sum(exp(min(value, 600.0)) for value in logs) / len(logs)
    return total


def find_regression(
    by_bucket: dict[int, Outcomes],
    replaced: Outcomes,
    false_alarms_per_bucket: float = FALSE_ALARMS_PER_BUCKET,
) -> Regression | None:
    """Return why a version fails against the one it replaces, or None while it does not.

    The probability that a version no worse than its reference fails within N buckets is at
    most N times `false_alarms_per_bucket` for each signal.
    """
    total = Outcomes()
    for outcomes in by_bucket.values():
        total = total.plus(outcomes)
    for signal in Signal:
        reference = reference_share(signal, replaced)
        evidence = shiryaev_roberts_sum(signal, by_bucket, reference)
        if evidence >= 1 / false_alarms_per_bucket:
            return Regression(signal, evidence, *total.trials(signal), reference)
    return None


def growth_blocker(by_bucket: dict[int, Outcomes], now: float) -> str:
    """Return why a roll-out may not grow now; empty if it may.

    Missing evidence counts against growth: too few recent outcomes or ratings.
    """
    fresh = Outcomes()
    for bucket, outcomes in by_bucket.items():
        if now - (bucket + 1) * BUCKET_S <= GROWTH_EVIDENCE_MAX_AGE_S:
            fresh = fresh.plus(outcomes)
    if fresh.count < MIN_GROWTH_OUTCOMES:
        return f"only {fresh.count} outcomes in the last {GROWTH_EVIDENCE_MAX_AGE_S:g} s"
    if fresh.rated < MIN_GROWTH_RATINGS:
        return f"only {fresh.rated} ratings in the last {GROWTH_EVIDENCE_MAX_AGE_S:g} s"
    return ""
