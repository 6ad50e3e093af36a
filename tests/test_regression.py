"""Sequential test for regressions: false alarms, detection, pooling and growth."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.regression import (
    BUCKET_S,
    GROWTH_EVIDENCE_MAX_AGE_S,
    MAX_BUCKETS,
    OutcomeCounts,
    OutcomeDigest,
    Outcomes,
    Signal,
    VersionKey,
    find_regression,
    growth_blocker,
    reference_share,
)

KEY = VersionKey("coach-large@2")
NORMAL = (0.01, 0.05, 0.05)


def draw(rng: Random, count: int, shares: tuple[float, float, float]) -> Outcomes:
    """Return the outcomes of answers with given shares of errors, slow and low ratings."""
    total = Outcomes()
    for _ in range(count):
        error = rng.random() < shares[0]
        slow = not error and rng.random() < shares[1]
        low = not error and rng.random() < shares[2]
        total = total.plus(Outcomes(1, int(error), int(slow), int(not error), int(low)))
    return total


def test_false_alarms_stay_under_the_stated_rate() -> None:
    rng = Random(11)
    rate, buckets, runs = 2e-3, 20, 400
    alarms = 0
    for _ in range(runs):
        replaced = draw(rng, 300, NORMAL)
        by_bucket: dict[int, Outcomes] = {}
        for bucket in range(buckets):
            by_bucket[bucket] = draw(rng, 8, NORMAL)
            if find_regression(by_bucket, replaced, rate):
                alarms += 1
                break
    assert alarms <= rate * buckets * len(Signal) * runs


def test_no_false_alarms_while_the_reference_is_at_the_true_share() -> None:
    rng = Random(12)
    alarms = 0
    for _ in range(60):
        by_bucket = {b: draw(rng, 20, (0.0, 0.10, 0.10)) for b in range(20)}
        alarms += find_regression(by_bucket, Outcomes(100000, 0, 10000, 100000, 10000)) is not None
    assert alarms == 0


def test_regression_is_detected_soon_after_a_long_good_run() -> None:
    cases = {
        Signal.ERRORS: (0.9, 0.05, 0.05),
        Signal.LATENCY: (0.01, 0.95, 0.05),
        Signal.RATINGS: (0.01, 0.05, 0.95),
    }
    for signal, bad in cases.items():
        for seed in range(20):
            rng = Random(seed)
            replaced = draw(rng, 500, NORMAL)
            by_bucket = {b: draw(rng, 100, NORMAL) for b in range(MAX_BUCKETS - 1)}
            assert find_regression(by_bucket, replaced) is None
            seen = Outcomes()
            while (regression := find_regression(by_bucket, replaced)) is None and seen.count < 30:
                seen = seen.plus(draw(rng, 1, bad))
                by_bucket[MAX_BUCKETS] = seen
            assert regression and regression.signal is signal
            assert seen.count <= 20
            assert regression.describe().startswith(signal.value)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 5), st.integers(0, 3), st.booleans()),
        min_size=1,
        max_size=30,
    )
)
def test_duplicated_and_reordered_digests_pool_to_the_sum(
    events: list[tuple[int, int, int, bool]],
) -> None:
    counts_by_daemon = [OutcomeCounts(f"i{n}") for n in range(4)]
    digests: list[OutcomeDigest] = []
    expected = Outcomes()
    for source, bucket, errors, rated in events:
        outcomes = Outcomes(3, errors, 0, int(rated), 0)
        expected = expected.plus(outcomes)
        counts_by_daemon[source].add(KEY, outcomes, bucket * BUCKET_S)
        digest = counts_by_daemon[source].digest(frozenset([KEY]), 50)
        assert digest
        digests.append(digest)
    pooled = OutcomeCounts("reader")
    for digest in [*digests, *reversed(digests)]:
        pooled.merge(digest)
    assert pooled.total(KEY, 5 * BUCKET_S) == expected


@given(st.integers(1, 50), st.lists(st.tuples(st.integers(0, 9), st.integers(0, 99))))
def test_number_of_entries_is_bounded(bound: int, events: list[tuple[int, int]]) -> None:
    counts = OutcomeCounts("a", bound)
    for version, bucket in events:
        counts.add(VersionKey(f"v@{version}"), Outcomes(1), bucket * BUCKET_S)
        assert len(counts) <= bound
        assert len(counts._entry_ids_by_key) <= 10


def test_old_buckets_expire() -> None:
    counts = OutcomeCounts("a")
    counts.add(KEY, Outcomes(1), 0.0)
    counts.add(KEY, Outcomes(1), MAX_BUCKETS * BUCKET_S)
    assert len(counts) == 1


def test_only_versions_under_test_are_sent() -> None:
    counts = OutcomeCounts("a")
    counts.add(KEY, Outcomes(1), 0.0)
    assert counts.digest(frozenset([VersionKey("other@1")]), 10) is None


def test_few_outcomes_of_the_replaced_version_raise_the_reference() -> None:
    for signal in Signal:
        none = reference_share(signal, Outcomes())
        few = reference_share(signal, draw(Random(1), 10, NORMAL))
        many = reference_share(signal, draw(Random(1), 2000, NORMAL))
        assert few > many and none > many


def test_growth_is_blocked_without_recent_evidence() -> None:
    outcomes = {10: Outcomes(100, 0, 0, 50, 0)}
    assert growth_blocker(outcomes, 11 * BUCKET_S) == ""
    assert growth_blocker(outcomes, 11 * BUCKET_S + GROWTH_EVIDENCE_MAX_AGE_S) == ""
    assert "outcomes" in growth_blocker(outcomes, 12 * BUCKET_S + GROWTH_EVIDENCE_MAX_AGE_S)
    assert "outcomes" in growth_blocker({}, 0.0)
    assert "ratings" in growth_blocker({10: Outcomes(100, 0, 0, 5, 0)}, 11 * BUCKET_S)
