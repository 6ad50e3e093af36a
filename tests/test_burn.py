"""Error budgets: counted requests, burn rates, alerts and the breakdown of misses."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.burn import (
    STORED_BUCKET_S,
    BurnCounts,
    BurnReport,
    BurnSegment,
    Objective,
    ObjectiveBurn,
    burn_report,
    downsample,
    merge_burn,
    sum_segments,
)
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.domain.record import Attempt, RequestRecord

NOW = 1_800_000_000.0
CONTRACT = Contract("trackline", quality_target=0.8, objectives=Objectives(0.99, 0.46, 0.9, 0.01))
BAD_VERSIONS = frozenset({"m@2"})


def record_of(
    age_s: float = 10,
    code: ResultCode = ResultCode.OK,
    version: str = "m@1",
    first_token_s: float | None = 0.1,
    rating: float | None = None,
    duration_s: float = 1,
) -> RequestRecord:
    attempt = Attempt("e-1", version, "d-1", "z1", code, Ran.UNKNOWN, NOW - age_s, 1.0)
    return RequestRecord(
        "r",
        "trackline",
        NOW - age_s,
        "d-1",
        "i",
        1,
        "chat",
        attempts=(attempt,),
        code=code,
        rating=rating,
        first_token_s=first_token_s,
        duration_s=duration_s,
        deadline_s=30,
    )


def report(records: list[RequestRecord], since_s: float = 30 * 86400) -> BurnReport:
    counts = BurnCounts()
    for record in records:
        counts.add_record(record, CONTRACT, BAD_VERSIONS)
    return burn_report(counts.counts(), {"trackline": CONTRACT}, NOW - since_s, NOW)


def burn_of(objective: Objective, records: list[RequestRecord]) -> ObjectiveBurn:
    (burn,) = [burn for burn in report(records).objectives if burn.objective is objective]
    return burn


def test_each_objective_counts_its_own_misses() -> None:
    records = [
        record_of(),
        record_of(code=ResultCode.ENDPOINT_FAILED, first_token_s=None),
        record_of(duration_s=31),
        record_of(first_token_s=0.5),
        record_of(rating=0.7),
        record_of(rating=0.8),
        record_of(version="m@2"),
        record_of(code=ResultCode.NOT_ALLOWED),
        record_of(code=ResultCode.BUDGET_EXHAUSTED),
    ]
    counted = {b.objective: (b.bad, b.total) for b in report(records).objectives}
    assert counted == {
        Objective.AVAILABILITY: (2, 7),
        Objective.FIRST_TOKEN: (1, 6),
        Objective.QUALITY: (1, 2),
        Objective.EXPOSURE: (1, 6),
    }


def test_budget_left_and_rate_follow_the_allowed_share() -> None:
    records = [record_of() for _ in range(199)] + [record_of(code=ResultCode.OVERLOADED)]
    burn = burn_of(Objective.AVAILABILITY, records)
    assert round(burn.budget_left, 6) == 0.5
    assert {name: round(rate, 6) for name, rate in burn.rate_by_window.items()} == {
        "fast-long": 0.5,
        "fast-short": 0.5,
        "slow-long": 0.5,
        "slow-short": 0.5,
    }


def failures(age_s: float, count: int) -> list[RequestRecord]:
    return [record_of(age_s, ResultCode.ENDPOINT_FAILED, first_token_s=None) for _ in range(count)]


def test_alert_needs_both_windows_to_burn() -> None:
    good = [record_of(age_s) for age_s in (5, 1000, 20000) for _ in range(50)]
    assert burn_of(Objective.AVAILABILITY, good).alerts == ()
    assert burn_of(Objective.AVAILABILITY, good + failures(2000, 60)).alerts == ()
    assert burn_of(Objective.AVAILABILITY, good + failures(60, 60)).alerts == ("fast", "slow")
    assert burn_of(Objective.AVAILABILITY, good + failures(1000, 13)).alerts == ("slow",)


def test_misses_are_broken_down_by_code_endpoint_version_and_zone() -> None:
    other = Attempt("e-2", "m@3", "d-1", "z2", ResultCode.OK, Ran.NO, NOW, 1.0)
    records = [*failures(10, 3), replace(failures(10, 1)[0], attempts=(other,))]
    parts = burn_of(Objective.AVAILABILITY, records).contributions
    assert [(p.axis, p.value, p.bad) for p in parts] == [
        ("code", "3005", 4),
        ("endpoint", "e-1", 3),
        ("version", "m@1", 3),
        ("zone", "z1", 3),
        ("endpoint", "e-2", 1),
        ("version", "m@3", 1),
        ("zone", "z2", 1),
    ]


def test_rating_of_an_answer_that_was_not_delivered_does_not_count() -> None:
    record = record_of(rating=0.2)
    escalated = replace(record.attempts[0], version_id="m@9")
    counts = BurnCounts()
    counts.add_record(
        replace(record, attempts=(*record.attempts, escalated)), CONTRACT, frozenset()
    )
    assert Objective.QUALITY not in {count.key.objective for count in counts.counts()}


def test_late_rating_counts_for_quality_only() -> None:
    counts = BurnCounts()
    counts.add_rating(CONTRACT, "m@1", 0.7, NOW)
    counts.add_rating(CONTRACT, "m@1", 0.8, NOW)
    (burn,) = burn_report(counts.counts(), {"trackline": CONTRACT}, 0, NOW).objectives
    assert (burn.objective, burn.bad, burn.total) == (Objective.QUALITY, 1, 2)


def test_number_of_counts_does_not_grow_with_the_endpoints() -> None:
    counts = BurnCounts()
    for number in range(50):
        record = record_of()
        attempt = replace(record.attempts[0], endpoint_id=f"e-{number}")
        counts.add_record(replace(record, attempts=(attempt,)), CONTRACT, frozenset())
    assert len(counts.counts()) == 3


def test_objective_that_allows_no_miss_is_overspent_by_one() -> None:
    strict = replace(CONTRACT, objectives=replace(CONTRACT.objectives, availability=1.0))
    counts = BurnCounts()
    counts.add_record(failures(10, 1)[0], strict, frozenset())
    (burn,) = burn_report(counts.counts(), {"trackline": strict}, 0, NOW).objectives
    assert burn.budget_left < 0 and burn.alerts == ("fast", "slow")


@given(
    ages=st.lists(st.tuples(st.floats(0, 40000), st.booleans(), st.integers(0, 2)), max_size=30),
    since_s=st.floats(60, 40000),
)
def test_counts_of_instances_add_up(ages: list[tuple[float, bool, int]], since_s: float) -> None:
    """Counts of several instances give the same report as those of a single instance."""
    records = [
        (record_of(age, ResultCode.OVERLOADED if bad else ResultCode.OK), instance)
        for age, bad, instance in ages
    ]
    split = [BurnCounts() for _ in range(3)]
    merged = BurnCounts()
    for record, instance in records:
        split[instance].add_record(record, CONTRACT, BAD_VERSIONS)
    for counts in split:
        for count in counts.counts():
            merged.add_count(count)
    contracts = {"trackline": CONTRACT}
    whole = report([record for record, _ in records], since_s)
    assert burn_report(merged.counts(), contracts, NOW - since_s, NOW) == whole
    segments = [BurnSegment("i", n, tuple(c.counts())) for n, c in enumerate(split)]
    stored = sum_segments(segments[:2])
    copies = merge_burn(stored, [segments[1], segments[2], segments[0]])
    assert burn_report(copies, contracts, NOW - since_s, NOW) == whole


@given(ages=st.lists(st.integers(0, 4000), min_size=1, max_size=20), window_s=st.integers(1, 4000))
def test_downsampled_buckets_keep_all_counts_and_all_recent_requests(
    ages: list[int], window_s: int
) -> None:
    counts = BurnCounts()
    for age_s in ages:
        counts.add_record(record_of(age_s, ResultCode.OVERLOADED), CONTRACT, BAD_VERSIONS)
    coarse = downsample(BurnSegment("i", 0, tuple(counts.counts()))).counts
    assert sum(count.total for count in coarse) == len(ages)
    recent = [count.total for count in coarse if count.key.end_s > NOW - window_s]
    in_window = sum(age_s < window_s for age_s in ages)
    in_window_and_bucket = sum(age_s < window_s + STORED_BUCKET_S for age_s in ages)
    assert in_window <= sum(recent) <= in_window_and_bucket
