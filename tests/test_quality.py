"""Quality estimates, their merging over daemons, and the rate limit of ratings."""

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
    estimator = QualityEstimator(incarnation)
    for rating in ratings:
        estimator.add(key, rating, 0.8)
    return estimator


@given(st.lists(st.lists(st.floats(0, 1), min_size=1, max_size=8), min_size=1, max_size=5))
def test_duplicate_delayed_and_reordered_digests_give_the_same_estimate(
    ratings: list[list[float]],
) -> None:
    digests: list[QualityDigest] = []
    for number, given_ratings in enumerate(ratings):
        estimator = QualityEstimator(f"i{number}")
        for rating in given_ratings:
            estimator.add(KEY, rating, 0.8)
            digest = estimator.digest(10)
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
    estimator = rated("a", [0.9])
    digest = estimator.digest(10)
    assert digest
    estimator.merge(QualityDigest("a", (*digest.entries,)))
    assert estimator.estimate(KEY).samples == 1
    assert estimator.digest(10) is None


@given(st.integers(1, 40), st.integers(1, 200))
def test_memory_is_bounded(bound: int, keys: int) -> None:
    estimator = QualityEstimator("a", bound)
    for number in range(keys):
        estimator.add(QualityKey("c", "t", f"v@{number}"), 0.5, 0.8)
        assert len(estimator) <= bound
    assert estimator.estimate(QualityKey("c", "t", f"v@{keys - 1}")).samples == 1


def test_old_ratings_lose_weight() -> None:
    estimator = rated("a", [1.0] * MAX_TALLY_COUNT + [0.0] * MAX_TALLY_COUNT)
    assert estimator.estimate(KEY).share < 0.3


def test_ratings_of_other_customers_count_up_to_a_bounded_weight() -> None:
    estimator = QualityEstimator("a")
    for number in range(10):
        for _ in range(100):
            estimator.add(QualityKey(f"c{number}", "plan", "coach-small@1"), 0.9, 0.8)
    newcomer = estimator.estimate(KEY)
    assert newcomer.samples == MAX_OTHER_CUSTOMERS_WEIGHT and newcomer.lower > 0.95
    for _ in range(int(MAX_OTHER_CUSTOMERS_WEIGHT)):
        estimator.add(KEY, 0.1, 0.8)
    assert estimator.estimate(KEY).share == 0.5
    assert estimator.own_samples(KEY) == MAX_OTHER_CUSTOMERS_WEIGHT
    assert estimator.estimate(QualityKey("trackline", "chat", "coach-small@1")) == Estimate()
    assert estimator.estimate(QualityKey("trackline", "plan", "coach-small@1", 90)) == Estimate()


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.sampled_from("xyz"), st.booleans()), max_size=40)
)
def test_sums_over_customers_match_the_entries_after_eviction(
    events: list[tuple[str, str, bool]],
) -> None:
    estimator = QualityEstimator("own", max_entries=2)
    for customer, task, good in events:
        estimator.add(QualityKey(customer, task, "v@1"), float(good), 0.8)
    for task in "xyz":
        counts = [e.tally.count for (k, _), e in estimator._entries.items() if k.task == task]
        estimate = estimator.estimate(QualityKey("other", task, "v@1"))
        assert abs(estimate.samples - sum(counts)) < 1e-6


def test_forgotten_version_has_no_estimate() -> None:
    estimator = rated("a", [0.9])
    estimator.forget_version("coach-small@1")
    assert estimator.estimate(KEY) == Estimate()
    assert len(estimator) == 0


@given(st.integers(1, 500), st.data())
def test_lower_bound_increases_with_the_number_of_samples(count: int, data: st.DataObject) -> None:
    hits = data.draw(st.integers(0, count))
    bound = lower_bound(hits, count)
    assert 0 <= bound <= hits / count
    assert lower_bound(4 * hits, 4 * count) >= bound


def test_lower_bound_is_rarely_above_the_true_share() -> None:
    rng = Random(5)
    misses = 0
    for _ in range(1000):
        hits = sum(rng.random() < 0.9 for _ in range(60))
        misses += lower_bound(hits, 60) > 0.9
    assert misses <= 80


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans()), max_size=300))
def test_ratings_stay_within_their_rate(steps: list[tuple[float, bool]]) -> None:
    limiter = RatingRateLimiter(10.0, 4.0)
    now = 0.0
    taken = 0
    for wait, urgent in steps:
        now += wait
        taken += limiter.take(now, urgent)
        assert taken <= 4.0 + 10.0 * now + 1e-6


def test_part_of_the_burst_is_reserved_for_urgent_ratings() -> None:
    limiter = RatingRateLimiter(1.0, 4.0)
    assert [limiter.take(0.0, False) for _ in range(4)] == [True, True, False, False]
    assert [limiter.take(0.0, True) for _ in range(3)] == [True, True, False]


def test_canaries_are_always_rated_and_known_versions_are_sampled() -> None:
    rng = Random(1)
    assert all(sample_for_rating(True, EARLY_SAMPLES, rng) for _ in range(100))
    assert all(sample_for_rating(False, 0, rng) for _ in range(100))
    assert 60 < sum(sample_for_rating(False, EARLY_SAMPLES, rng) for _ in range(1000)) < 140
