"""Estimates of quality, their pooling, and the rating rate."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.quality import (
    EARLY_SAMPLES,
    MAX_OTHER_CUSTOMERS_WEIGHT,
    MAX_TALLY_COUNT,
    Estimate,
    QualityDigest,
    QualityEstimator,
    QualityKey,
    RatingRateLimiter,
    lower_bound,
    sample_for_rating,
)

KEY = QualityKey("trackline", "plan", "coach-small@1")


def rated(incarnation: str, ratings: list[float], key: QualityKey = KEY) -> QualityEstimator:
    book = QualityEstimator(incarnation)
    for rating in ratings:
        book.add(key, rating, 0.8)
    return book


@given(st.lists(st.lists(st.floats(0, 1), min_size=1, max_size=8), min_size=1, max_size=5))
def test_doubled_late_and_reordered_digests_pool_to_the_same_estimate(
    ratings: list[list[float]],
) -> None:
    digests: list[QualityDigest] = []
    for number, given_ratings in enumerate(ratings):
        book = QualityEstimator(f"i{number}")
        for rating in given_ratings:
            book.add(KEY, rating, 0.8)
            digest = book.digest(10)
            assert digest
            digests.append(digest)
    pooled = QualityEstimator("reader")
    for digest in [*digests, *reversed(digests)]:
        pooled.merge(digest)
    flat = [rating for part in ratings for rating in part]
    estimate = pooled.estimate(KEY)
    assert estimate.samples == len(flat)
    assert estimate.share == sum(rating >= 0.8 for rating in flat) / len(flat)
    assert estimate.lower <= estimate.share


def test_own_digest_sent_back_is_not_counted_again() -> None:
    book = rated("a", [0.9])
    digest = book.digest(10)
    assert digest
    book.merge(QualityDigest("a", (*digest.entries,)))
    assert book.estimate(KEY).samples == 1
    assert book.digest(10) is None


@given(st.integers(1, 40), st.integers(1, 200))
def test_memory_stays_bounded(bound: int, keys: int) -> None:
    book = QualityEstimator("a", bound)
    for number in range(keys):
        book.add(QualityKey("c", "t", f"v@{number}"), 0.5, 0.8)
        assert len(book) <= bound
    assert book.estimate(QualityKey("c", "t", f"v@{keys - 1}")).samples == 1


def test_old_ratings_lose_weight() -> None:
    book = rated("a", [1.0] * MAX_TALLY_COUNT + [0.0] * MAX_TALLY_COUNT)
    assert book.estimate(KEY).share < 0.3


def test_ratings_of_other_customers_count_up_to_a_bounded_weight() -> None:
    book = QualityEstimator("a")
    for number in range(10):
        for _ in range(100):
            book.add(QualityKey(f"c{number}", "plan", "coach-small@1"), 0.9, 0.8)
    newcomer = book.estimate(KEY)
    assert newcomer.samples == MAX_OTHER_CUSTOMERS_WEIGHT and newcomer.lower > 0.95
    for _ in range(int(MAX_OTHER_CUSTOMERS_WEIGHT)):
        book.add(KEY, 0.1, 0.8)
    assert book.estimate(KEY).share == 0.5
    assert book.own_samples(KEY) == MAX_OTHER_CUSTOMERS_WEIGHT
    assert book.estimate(QualityKey("trackline", "chat", "coach-small@1")) == Estimate()
    assert book.estimate(QualityKey("trackline", "plan", "coach-small@1", 90)) == Estimate()


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.sampled_from("xyz"), st.booleans()), max_size=40)
)
def test_common_sums_follow_the_entries_through_eviction(
    events: list[tuple[str, str, bool]],
) -> None:
    book = QualityEstimator("own", max_entries=2)
    for customer, task, good in events:
        book.add(QualityKey(customer, task, "v@1"), float(good), 0.8)
    for task in "xyz":
        held = [e.tally.count for (k, _), e in book._entries.items() if k.task == task]
        common = book.estimate(QualityKey("other", task, "v@1"))
        assert abs(common.samples - sum(held)) < 1e-6


def test_version_is_forgotten() -> None:
    book = rated("a", [0.9])
    book.forget_version("coach-small@1")
    assert book.estimate(KEY) == Estimate()
    assert len(book) == 0


@given(st.integers(1, 500), st.data())
def test_lower_bound_grows_with_evidence(count: int, data: st.DataObject) -> None:
    hits = data.draw(st.integers(0, count))
    bound = lower_bound(hits, count)
    assert 0 <= bound <= hits / count
    assert lower_bound(4 * hits, 4 * count) >= bound


def test_lower_bound_covers_the_true_share() -> None:
    rng = Random(5)
    misses = 0
    for _ in range(1000):
        hits = sum(rng.random() < 0.9 for _ in range(60))
        misses += lower_bound(hits, 60) > 0.9
    assert misses <= 80


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_ratings_keep_to_their_rate(steps: list[tuple[float, bool]]) -> None:
    rate = RatingRateLimiter(10.0, 4.0)
    now = 0.0
    taken = 0
    for wait, urgent in steps:
        now += wait
        taken += rate.take(now, urgent)
        assert taken <= 4.0 + 10.0 * now + 1e-6


def test_reserve_is_kept_for_urgent_ratings() -> None:
    rate = RatingRateLimiter(1.0, 4.0)
    assert [rate.take(0.0, False) for _ in range(4)] == [True, True, False, False]
    assert [rate.take(0.0, True) for _ in range(3)] == [True, True, False]


def test_canaries_are_rated_always_and_known_versions_by_sample() -> None:
    rng = Random(1)
    assert all(sample_for_rating(True, EARLY_SAMPLES, rng) for _ in range(100))
    assert all(sample_for_rating(False, 0, rng) for _ in range(100))
    assert 60 < sum(sample_for_rating(False, EARLY_SAMPLES, rng) for _ in range(1000)) < 140
