"""Sequential test for regressions of a version against the version that it replaces.

Daemons count the outcomes of answers in time buckets and pool the counts with peers. The test is
a Shiryaev-Roberts test. It sums likelihood ratios over all starting buckets, so that a long good
run does not delay the detection of a later regression.
"""

from collections import OrderedDict
from enum import Enum
from math import exp, log

from msgspec import Struct

from comfreyhatch.decisions.quality import lower_bound

BUCKET_S = 10.0
MAX_BUCKETS = 32
MAX_ENTRIES = 8192
# Upper bound of the false alarms for each signal and bucket.
FALSE_ALARMS_PER_BUCKET = 1e-5
# Normal quantile of the one-sided 99 % confidence bound on the replaced version's bad outcomes.
REFERENCE_CONFIDENCE_Z = 2.326
# Alternative hypotheses, as fractions of the way from the reference share to 1.
ALTERNATIVE_FRACTIONS = (0.1, 0.4, 0.9)
# With a cap of 0.5, a version no worse than a failing predecessor would be quarantined.
MAX_REFERENCE_SHARE = 0.98
MIN_GROWTH_OUTCOMES = 30
MIN_GROWTH_RATINGS = 10
# At low traffic 30 s never contain enough outcomes.
GROWTH_EVIDENCE_MAX_AGE_S = 300.0


class Signal(Enum):
    """Kind of outcome that a version is tested on."""

    ERRORS = "errors"
    LATENCY = "latency"
    RATINGS = "ratings"


# Shares of bad outcomes that always count as normal.
REFERENCE_FLOOR_BY_SIGNAL = {Signal.ERRORS: 0.02, Signal.LATENCY: 0.10, Signal.RATINGS: 0.10}


class VersionKey(Struct, frozen=True, array_like=True):
    """A version and the number of its trial."""

    version_id: str
    trial: int = 0


class Outcomes(Struct, frozen=True, array_like=True):
    """Counts of a version's outcomes.

    Attributes:
        count: Answers and failures.
        errors: Failures attributed to the version.
        slow: Answers whose first token or token gap was late.
        rated: Answers with a rating.
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

    def bad_and_total(self, signal: Signal) -> tuple[int, int]:
        """Return the numbers of bad outcomes and of all outcomes that a signal counts."""
        match signal:
            case Signal.ERRORS:
                return self.errors, self.count
            case Signal.LATENCY:
                return self.slow, self.count - self.errors
            case Signal.RATINGS:
                return self.low, self.rated


class OutcomeEntry(Struct, frozen=True, array_like=True):
    """One daemon's counts for a version in one bucket, as sent to peers.

    Counts of a bucket only grow, so the larger of two entries is the later one.
    """

    key: VersionKey
    bucket: int
    outcomes: Outcomes


class OutcomeDigest(Struct, frozen=True, tag="outcome-digest"):
    """Counts that changed at one incarnation of a daemon since its last digest."""

    incarnation: str
    entries: tuple[OutcomeEntry, ...]


class Regression(Struct, frozen=True):
    """Detected regression of a version.

    Attributes:
        signal: Signal that failed the test.
        evidence: Shiryaev-Roberts sum of likelihood ratios.
        bad: Number of bad outcomes in the retained buckets.
        count: Number of all outcomes in the retained buckets.
        reference: Highest share of bad outcomes that counts as normal.
    """

    signal: Signal
    evidence: float
    bad: int
    count: int
    reference: float

    def describe(self) -> str:
        """Return the reason as a phrase for operators."""
        return (
            f"{self.signal.value}: {self.bad} of {self.count} bad, normal up to"
            f" {self.reference:.3f}, evidence {self.evidence:.3g}"
        )


class OutcomeCounts:
    """Counts of outcomes by version, bucket and incarnation, pooled with peers.

    Beyond a maximum number of entries, those that were updated longest ago are dropped.
    """

    def __init__(self, incarnation: str, max_entries: int = MAX_ENTRIES) -> None:
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[VersionKey, int, str], Outcomes] = OrderedDict()
        self._entry_ids_by_key: dict[VersionKey, set[tuple[int, str]]] = {}
        self._changed: dict[tuple[VersionKey, int], None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: VersionKey, outcomes: Outcomes, now: float) -> None:
        """Add outcomes of answers that this daemon served.

        Args:
            key: The version and its trial.
            outcomes: Counts to add.
            now: Wall-clock time, in seconds since the epoch; buckets align over all daemons.
        """
        bucket = int(now // BUCKET_S)
        entry_id = (key, bucket, self._incarnation)
        self._put(entry_id, self._entries.get(entry_id, Outcomes()).plus(outcomes))
        self._changed[key, bucket] = None
        self._expire(key, bucket)

    def digest(self, keys: frozenset[VersionKey], limit: int) -> OutcomeDigest | None:
        """Return the counts that changed since the last call.

        Args:
            keys: Versions to include; changes of other versions are dropped.
            limit: Maximum number of entries; the latest changes are preferred.

        Returns:
            The digest; None if nothing changed.
        """
        changed = [pair for pair in self._changed if pair[0] in keys][-limit:]
        entries = []
        for key, bucket in changed:
            outcomes = self._entries.get((key, bucket, self._incarnation))
            if outcomes:
                entries.append(OutcomeEntry(key, bucket, outcomes))
        self._changed.clear()
        return OutcomeDigest(self._incarnation, tuple(entries)) if entries else None

    def merge(self, digest: OutcomeDigest) -> None:
        """Merge a peer's digest; duplicates and older digests have no effect."""
        if digest.incarnation == self._incarnation:
            return
        for entry in digest.entries:
            entry_id = (entry.key, entry.bucket, digest.incarnation)
            present = self._entries.get(entry_id, Outcomes())
            if entry.outcomes.count + entry.outcomes.rated > present.count + present.rated:
                self._put(entry_id, entry.outcomes)

    def by_bucket(self, key: VersionKey, now: float) -> dict[int, Outcomes]:
        """Return the pooled outcomes of a version by bucket, oldest bucket first."""
        oldest = int(now // BUCKET_S) - MAX_BUCKETS
        pooled: dict[int, Outcomes] = {}
        for bucket, incarnation in sorted(self._entry_ids_by_key.get(key, ())):
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

    def _put(self, entry_id: tuple[VersionKey, int, str], outcomes: Outcomes) -> None:
        self._entries[entry_id] = outcomes
        self._entries.move_to_end(entry_id)
        self._entry_ids_by_key.setdefault(entry_id[0], set()).add(entry_id[1:])
        while len(self._entries) > self._max_entries:
            self._remove(next(iter(self._entries)))

    def _expire(self, key: VersionKey, bucket: int) -> None:
        for old_bucket, incarnation in list(self._entry_ids_by_key[key]):
            if old_bucket <= bucket - MAX_BUCKETS:
                self._remove((key, old_bucket, incarnation))

    def _remove(self, entry_id: tuple[VersionKey, int, str]) -> None:
        del self._entries[entry_id]
        self._changed.pop(entry_id[:2], None)
        entry_ids = self._entry_ids_by_key[entry_id[0]]
        entry_ids.discard(entry_id[1:])
        if not entry_ids:
            del self._entry_ids_by_key[entry_id[0]]


def reference_share(signal: Signal, replaced: Outcomes) -> float:
    """Return the highest share of bad outcomes that counts as normal.

    The share is an upper confidence bound on that of the replaced version, so that few outcomes
    of the replaced version make the test slower and not more prone to false alarms.

    Args:
        signal: The signal.
        replaced: Outcomes of the replaced version.
    """
    bad, count = replaced.bad_and_total(signal)
    floor = REFERENCE_FLOOR_BY_SIGNAL[signal]
    if count == 0:
        return 2 * floor
    return min(
        MAX_REFERENCE_SHARE, max(floor, 1 - lower_bound(count - bad, count, REFERENCE_CONFIDENCE_Z))
    )


def shiryaev_roberts_sum(signal: Signal, by_bucket: dict[int, Outcomes], reference: float) -> float:
    """Return the Shiryaev-Roberts sum of likelihood ratios over all starting buckets.

    Each ratio averages over several alternative shares of bad outcomes above the reference.
    While the true share is at most the reference, the sum grows by at most one for each bucket
    on average.
    """
    alternatives = [reference + (1 - reference) * step for step in ALTERNATIVE_FRACTIONS]
    total = 0.0
    logs = [0.0 for _ in alternatives]
    for outcomes in reversed(by_bucket.values()):
        bad, count = outcomes.bad_and_total(signal)
        for index, share in enumerate(alternatives):
            good_step = log((1 - share) / (1 - reference))
            logs[index] += bad * log(share / reference) + (count - bad) * good_step
        # exp() raises OverflowError above about 709.
        total += sum(exp(min(value, 600.0)) for value in logs) / len(logs)
    return total


def find_regression(
    by_bucket: dict[int, Outcomes],
    replaced: Outcomes,
    false_alarms_per_bucket: float = FALSE_ALARMS_PER_BUCKET,
) -> Regression | None:
    """Return the regression of a version against the one it replaces, or None if there is none.

    The probability that a version that is no worse than its reference fails within N buckets is
    at most N times `false_alarms_per_bucket` for each signal.

    Args:
        by_bucket: Outcomes of the version by bucket, oldest bucket first.
        replaced: Outcomes of the replaced version.
        false_alarms_per_bucket: Upper bound of the false alarm rate.
    """
    total = Outcomes()
    for outcomes in by_bucket.values():
        total = total.plus(outcomes)
    for signal in Signal:
        reference = reference_share(signal, replaced)
        evidence = shiryaev_roberts_sum(signal, by_bucket, reference)
        if evidence >= 1 / false_alarms_per_bucket:
            return Regression(signal, evidence, *total.bad_and_total(signal), reference)
    return None


def growth_blocker(by_bucket: dict[int, Outcomes], now: float) -> str:
    """Return why a roll-out may not grow now; empty if it may.

    A roll-out doesn't grow without enough recent outcomes and ratings.

    Args:
        by_bucket: Outcomes of the new version by bucket.
        now: Wall-clock time, in seconds since the epoch.
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
