"""Quality estimates by customer, task and version, from noisy and rate-limited ratings.

Each daemon counts the ratings of the answers that it served and sends its tallies to its peers. The
estimates of all daemons converge, since tallies are merged by incarnation and sequence number.
"""

from collections import OrderedDict
from math import sqrt
from random import Random

from msgspec import Struct

# One-sided confidence of 95%.
CONFIDENCE_Z = 1.645
# Above this number of ratings a tally is halved, so that old ratings lose weight.
MAX_TALLY_COUNT = 400
MAX_ENTRIES = 4096
# Share of delivered answers that are rated once a customer has EARLY_SAMPLES ratings.
SAMPLE_SHARE = 0.1
EARLY_SAMPLES = 60
# Ratings of other customers count at most as much as this number of a customer's own ratings.
MAX_OTHER_CUSTOMERS_WEIGHT = 200.0
# Smaller sums are rounding errors of sums that are zero.
MIN_COUNT = 1e-6


class QualityKey(Struct, frozen=True, array_like=True):
    """Key of an estimate.

    Attributes:
        customer: Customer whose answers are rated.
        task: Task of the requests.
        version_id: Version that answered.
        target: Quality target of the contract, in hundredths.
    """

    customer: str
    task: str
    version_id: str
    target: int = 80


class SharedKey(Struct, frozen=True, array_like=True):
    """Key of the ratings of all customers for one task, version and target."""

    task: str
    version_id: str
    target: int


def quality_key(customer: str, task: str, version_id: str, target: float) -> QualityKey:
    """Return the key of an estimate.

    Args:
        customer: Customer whose answers are rated.
        task: Task of the requests.
        version_id: Version that answered.
        target: Quality target of the contract, 0 to 1.
    """
    return QualityKey(customer, task, version_id, round(100 * target))


class Tally(Struct, frozen=True, array_like=True):
    """Ratings counted by one daemon.

    Attributes:
        count: Number of ratings.
        hits: Number of ratings at or above the contract's quality target.
        total: Sum of the ratings.
    """

    count: float = 0.0
    hits: float = 0.0
    total: float = 0.0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(self.count + other.count, self.hits + other.hits, self.total + other.total)

    def scaled(self, factor: float) -> "Tally":
        """Return the tally with all its figures multiplied by a factor."""
        return Tally(self.count * factor, self.hits * factor, self.total * factor)


class QualityEntry(Struct, frozen=True, array_like=True):
    """One daemon's tally of one key, as sent to peers.

    Attributes:
        key: Key of the tally.
        tally: The ratings counted.
        sequence: Number of the daemon's change; a higher one replaces a lower one.
    """

    key: QualityKey
    tally: Tally
    sequence: int


class QualityDigest(Struct, frozen=True, tag="quality-digest"):
    """Tallies of one incarnation of a daemon that have changed since its last digest."""

    incarnation: str
    entries: tuple[QualityEntry, ...]


class Estimate(Struct, frozen=True):
    """Estimated quality of a version for a customer's task.

    Attributes:
        samples: Number of ratings that it is based on, weighted.
        share: Estimated share of answers that meet the quality target.
        lower: Lower confidence bound of the share; 0 without ratings.
        upper: Upper confidence bound of the share; 1 without ratings.
        mean: Mean rating; None without ratings.
    """

    samples: float = 0.0
    share: float = 0.0
    lower: float = 0.0
    mean: float | None = None
    upper: float = 1.0


def lower_bound(hits: float, count: float, z: float = CONFIDENCE_Z) -> float:
    """Return the lower bound of the Wilson score interval of a share.

    Args:
        hits: Number of successes.
        count: Number of samples.
        z: Quantile of the normal distribution for the confidence wanted.
    """
    if count <= 0:
        return 0.0
    share = hits / count
    centre = share + z * z / (2 * count)
    spread = z * sqrt(share * (1 - share) / count + z * z / (4 * count * count))
    return max(0.0, (centre - spread) / (1 + z * z / count))


def _shared_key(key: QualityKey) -> SharedKey:
    return SharedKey(key.task, key.version_id, key.target)


class QualityEstimator:
    """Estimates quality from the tallies of this daemon and of its peers, in bounded memory.

    A peer's tally replaces one of the same incarnation with a lower sequence number, so that
    duplicated, delayed and reordered digests have no effect.
    """

    def __init__(self, incarnation: str, max_entries: int = MAX_ENTRIES) -> None:
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[QualityKey, str], QualityEntry] = OrderedDict()
        self._sources_by_key: dict[QualityKey, set[str]] = {}
        self._sum_by_shared_key: dict[SharedKey, Tally] = {}
        self._changed: dict[QualityKey, None] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: QualityKey, rating: float, target: float) -> None:
        """Count the rating of an answer that this daemon served.

        Args:
            key: Key of the estimate that it counts for.
            rating: The rating, 0 to 1.
            target: The contract's quality target, 0 to 1.
        """
        existing = self._entries.get((key, self._incarnation))
        tally = (existing.tally if existing else Tally()).plus(
            Tally(1, float(rating >= target), rating)
        )
        if tally.count > MAX_TALLY_COUNT:
            tally = tally.scaled(0.5)
        self._sequence += 1
        self._put(self._incarnation, QualityEntry(key, tally, self._sequence))
        self._changed[key] = None

    def digest(self, limit: int) -> QualityDigest | None:
        """Return tallies that have changed since they were last sent, the longest unsent first.

        Args:
            limit: Most tallies to return.

        Returns:
            The digest, or None if nothing has changed.
        """
        keys = list(self._changed)[:limit]
        for key in keys:
            del self._changed[key]
        entries = [self._entries.get((key, self._incarnation)) for key in keys]
        found = tuple(entry for entry in entries if entry is not None)
        return QualityDigest(self._incarnation, found) if found else None

    def merge(self, digest: QualityDigest) -> None:
        """Merge a digest of a peer; one of this daemon itself is ignored."""
        if digest.incarnation == self._incarnation:
            return
        for entry in digest.entries:
            existing = self._entries.get((entry.key, digest.incarnation))
            if existing is None or existing.sequence < entry.sequence:
                self._put(digest.incarnation, entry)

    def estimate(self, key: QualityKey) -> Estimate:
        """Return the estimate of a key.

        Ratings of other customers' answers to the same task count up to a bounded weight. They
        help a customer with few ratings and hardly change the estimate of one with many.
        """
        own = Tally()
        for incarnation in self._sources_by_key.get(key, ()):
            own = own.plus(self._entries[key, incarnation].tally)
        others = self._sum_by_shared_key.get(_shared_key(key), Tally()).plus(own.scaled(-1))
        if others.count > 0:
            own = own.plus(others.scaled(min(1.0, MAX_OTHER_CUSTOMERS_WEIGHT / others.count)))
        if own.count <= 0:
            return Estimate()
        hits = min(own.count, max(0.0, own.hits))
        return Estimate(
            own.count,
            hits / own.count,
            lower_bound(hits, own.count),
            own.total / own.count,
            1 - lower_bound(own.count - hits, own.count),
        )

    def own_samples(self, key: QualityKey) -> float:
        """Return the number of ratings of this customer's own answers."""
        sources = self._sources_by_key.get(key, ())
        return sum(self._entries[key, incarnation].tally.count for incarnation in sources)

    def forget_version(self, version_id: str) -> None:
        """Drop all tallies of a version, for example when it is found bad."""
        for entry_key in [s for s in self._entries if s[0].version_id == version_id]:
            self._remove(entry_key)

    def _put(self, incarnation: str, entry: QualityEntry) -> None:
        entry_key = (entry.key, incarnation)
        existing = self._entries.get(entry_key)
        if existing:
            self._add_to_sum(entry.key, existing.tally.scaled(-1))
        self._add_to_sum(entry.key, entry.tally)
        self._entries[entry_key] = entry
        self._entries.move_to_end(entry_key)
        self._sources_by_key.setdefault(entry.key, set()).add(incarnation)
        while len(self._entries) > self._max_entries:
            self._remove(next(iter(self._entries)))

    def _remove(self, entry_key: tuple[QualityKey, str]) -> None:
        key, incarnation = entry_key
        self._add_to_sum(key, self._entries.pop(entry_key).tally.scaled(-1))
        self._changed.pop(key, None)
        sources = self._sources_by_key[key]
        sources.discard(incarnation)
        if not sources:
            del self._sources_by_key[key]

    def _add_to_sum(self, key: QualityKey, tally: Tally) -> None:
        shared_key = _shared_key(key)
        total = self._sum_by_shared_key.get(shared_key, Tally()).plus(tally)
        if total.count > MIN_COUNT:
            self._sum_by_shared_key[shared_key] = total
        else:
            self._sum_by_shared_key.pop(shared_key, None)


class RatingRateLimiter:
    """Token bucket that keeps this daemon within its share of the rating service's rate.

    Half of the burst is reserved for urgent ratings: those that a caller waits for or that test
    a canary.
    """

    def __init__(self, rate_hz: float, burst: float) -> None:
        self._rate_hz = rate_hz
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0

    def set_rate(self, rate_hz: float) -> None:
        """Change the rate, in ratings per second; the burst is unchanged."""
        self._rate_hz = rate_hz

    def take(self, now: float, urgent: bool) -> bool:
        """Take a token; return whether a rating may be requested now.

        Args:
            now: Monotonic time in seconds.
            urgent: Whether the rating may use the reserve.
        """
        if not self.available(now, urgent):
            return False
        self._tokens -= 1
        return True

    def available(self, now: float, urgent: bool) -> bool:
        """Return whether a rating could be requested now, without taking a token."""
        elapsed = max(0.0, now - self._updated)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_hz)
        self._updated = now
        return self._tokens >= (1 if urgent else 1 + self._burst / 2)


def sample_for_rating(canary: bool, samples: float, rng: Random) -> bool:
    """Return whether a delivered answer should be rated afterwards.

    Args:
        canary: Whether its version is being rolled out.
        samples: Number of ratings of this customer's answers so far.
        rng: Random source of the sample.
    """
    return canary or samples < EARLY_SAMPLES or rng.random() < SAMPLE_SHARE
