"""Estimates of quality by customer, task and version, from noisy and rate-limited ratings."""

from collections import OrderedDict
from math import sqrt
from random import Random

from msgspec import Struct

CONFIDENCE_Z = 1.645
MAX_TALLY_COUNT = 400
MAX_ENTRIES = 4096
SAMPLE_SHARE = 0.1
EARLY_SAMPLES = 60
MAX_OTHER_CUSTOMERS_WEIGHT = 200.0
MIN_COUNT = 1e-6


class QualityKey(Struct, frozen=True, array_like=True):
    """What an estimate is kept for; the target is the contract's, in hundredths."""

    customer: str
    task: str
    version_id: str
    target: int = 80


class CrossCustomerKey(Struct, frozen=True, array_like=True):
    """What customers have in common: the task, the version and the target."""

    task: str
    version_id: str
    target: int


def quality_key(customer: str, task: str, version_id: str, target: float) -> QualityKey:
    """Return the key of an estimate."""
    return QualityKey(customer, task, version_id, round(100 * target))


class Tally(Struct, frozen=True, array_like=True):
    """Ratings counted by one daemon.

    Attributes:
        count: Ratings.
        hits: Ratings at or above the contract's quality target.
        total: Sum of the ratings.
    """

    count: float = 0.0
    hits: float = 0.0
    total: float = 0.0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(self.count + other.count, self.hits + other.hits, self.total + other.total)

    def scaled(self, factor: float) -> "Tally":
        """Return the tally with its weight changed."""
        return Tally(self.count * factor, self.hits * factor, self.total * factor)


class QualityEntry(Struct, frozen=True, array_like=True):
    """One daemon's tally of one key, as sent to peers."""

    key: QualityKey
    tally: Tally
    sequence: int


class QualityDigest(Struct, frozen=True, tag="quality-digest"):
    """Tallies that changed at one incarnation of a daemon since its last digest."""

    incarnation: str
    entries: tuple[QualityEntry, ...]


class Estimate(Struct, frozen=True):
    """What is known of a version's quality for a customer's task.

    Attributes:
        samples: Ratings behind it.
        share: Estimated share of answers at the quality target.
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
    """Return Wilson's lower confidence bound of a share."""
    if count <= 0:
        return 0.0
    share = hits / count
    centre = share + z * z / (2 * count)
    spread = z * sqrt(share * (1 - share) / count + z * z / (4 * count * count))
    return max(0.0, (centre - spread) / (1 + z * z / count))


def _common(key: QualityKey) -> CrossCustomerKey:
    return CrossCustomerKey(key.task, key.version_id, key.target)


class QualityEstimator:
    """Tallies of this daemon and, by incarnation, of its peers; bounded.

    A peer's tally replaces the one with a lower sequence of the same incarnation, so that
    doubled, late and reordered digests change nothing.
    """

    def __init__(self, incarnation: str, max_entries: int = MAX_ENTRIES) -> None:
        self._incarnation = incarnation
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[QualityKey, str], QualityEntry] = OrderedDict()
        self._sources_by_key: dict[QualityKey, set[str]] = {}
        self._common_by_key: dict[CrossCustomerKey, Tally] = {}
        self._changed: dict[QualityKey, None] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: QualityKey, rating: float, target: float) -> None:
        """Count a rating given to an answer that this daemon served.

        Args:
            key: What was rated.
            rating: The rating, 0 to 1.
            target: The contract's quality target.
        """
        held = self._entries.get((key, self._incarnation))
        tally = (held.tally if held else Tally()).plus(Tally(1, float(rating >= target), rating))
        if tally.count > MAX_TALLY_COUNT:
            tally = tally.scaled(0.5)
        self._sequence += 1
        self._put(self._incarnation, QualityEntry(key, tally, self._sequence))
        self._changed[key] = None

    def digest(self, limit: int) -> QualityDigest | None:
        """Return the tallies changed since the last digest, the longest unsent first."""
        keys = list(self._changed)[:limit]
        for key in keys:
            del self._changed[key]
        entries = [self._entries.get((key, self._incarnation)) for key in keys]
        found = tuple(entry for entry in entries if entry is not None)
        return QualityDigest(self._incarnation, found) if found else None

    def merge(self, digest: QualityDigest) -> None:
        """Take in a peer's digest."""
        if digest.incarnation == self._incarnation:
            return
        for entry in digest.entries:
            held = self._entries.get((entry.key, digest.incarnation))
            if held is None or held.sequence < entry.sequence:
                self._put(digest.incarnation, entry)

    def estimate(self, key: QualityKey) -> Estimate:
        """Return the estimate of a key.

        Ratings of other customers' answers to the same task count up to a bounded weight, so
        that they help a customer with few ratings and hardly move one with many.
        """
        own = Tally()
        for incarnation in self._sources_by_key.get(key, ()):
            own = own.plus(self._entries[key, incarnation].tally)
        others = self._common_by_key.get(_common(key), Tally()).plus(own.scaled(-1))
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
        """Return the ratings of this customer's answers alone."""
        sources = self._sources_by_key.get(key, ())
        return sum(self._entries[key, incarnation].tally.count for incarnation in sources)

    def forget_version(self, version_id: str) -> None:
        """Drop all tallies of a version, as when it turned bad."""
        for slot in [s for s in self._entries if s[0].version_id == version_id]:
            self._remove(slot)

    def _put(self, incarnation: str, entry: QualityEntry) -> None:
        slot = (entry.key, incarnation)
        held = self._entries.get(slot)
        if held:
            self._add_common(entry.key, held.tally.scaled(-1))
        self._add_common(entry.key, entry.tally)
        self._entries[slot] = entry
        self._entries.move_to_end(slot)
        self._sources_by_key.setdefault(entry.key, set()).add(incarnation)
        while len(self._entries) > self._max_entries:
            self._remove(next(iter(self._entries)))

    def _remove(self, slot: tuple[QualityKey, str]) -> None:
        key, incarnation = slot
        self._add_common(key, self._entries.pop(slot).tally.scaled(-1))
        self._changed.pop(key, None)
        sources = self._sources_by_key[key]
        sources.discard(incarnation)
        if not sources:
            del self._sources_by_key[key]

    def _add_common(self, key: QualityKey, tally: Tally) -> None:
        common = _common(key)
        total = self._common_by_key.get(common, Tally()).plus(tally)
        if total.count > MIN_COUNT:
            self._common_by_key[common] = total
        else:
            self._common_by_key.pop(common, None)


class RatingRateLimiter:
    """Token bucket that keeps this daemon within its part of the rating service's rate.

    A reserve is kept for ratings that a caller waits for or that test a canary.
    """

    def __init__(self, rate_hz: float, burst: float) -> None:
        self._rate_hz = rate_hz
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0

    def set_rate(self, rate_hz: float) -> None:
        """Change the rate; the burst stays."""
        self._rate_hz = rate_hz

    def take(self, now: float, urgent: bool) -> bool:
        """Return whether a rating may be asked for now, and count it."""
        if not self.available(now, urgent):
            return False
        self._tokens -= 1
        return True

    def available(self, now: float, urgent: bool) -> bool:
        """Return whether a rating could be asked for now."""
        elapsed = max(0.0, now - self._updated)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_hz)
        self._updated = now
        return self._tokens >= (1 if urgent else 1 + self._burst / 2)


def sample_for_rating(canary: bool, samples: float, rng: Random) -> bool:
    """Return whether an answer that was delivered should be rated afterwards.

    Args:
        canary: Whether its version is being rolled out.
        samples: Ratings that this customer's answers have.
        rng: Seeded source of the sample.
    """
    return canary or samples < EARLY_SAMPLES or rng.random() < SAMPLE_SHARE
