"""Choice of a request's plan: one version or a cascade."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.plan import (
    MIN_SAMPLES,
    AnswerTiming,
    PlanQuery,
    VersionOption,
    choose_plan,
    usable_versions,
)
from comfreyhatch.decisions.quality import Estimate
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.domain.version import Version, VersionState

CONTRACT = Contract(
    "trackline",
    allowed=("small", "large"),
    default_model="large",
    objectives=Objectives(quality=0.9),
)
KNOWN = 200.0


def option(model: str, price: int, lower: float, samples: float = KNOWN) -> VersionOption:
    share = min(1.0, lower + 0.02)
    estimate = Estimate(samples, share, lower, 0.8, share) if samples else Estimate()
    return VersionOption(Version(model, "1", price, price), estimate, AnswerTiming(0.3, 2.0))


def query(stream: bool = False, time_left_s: float = 30.0, **more: object) -> PlanQuery:
    fields: dict[str, object] = {"contract": CONTRACT, "rating_s": 0.1, **more}
    return PlanQuery(
        input_tokens=100, output_tokens=100, stream=stream, time_left_s=time_left_s, **fields
    )  # type: ignore[arg-type]


def steps(q: PlanQuery, *options: VersionOption, seed: int = 0) -> tuple[str, ...]:
    plan = choose_plan(q, list(options), Random(seed))
    assert plan
    return plan.steps


def test_cheapest_version_that_meets_the_target_runs_alone() -> None:
    assert steps(query(), option("large", 100, 0.97), option("small", 10, 0.92)) == ("small@1",)


def test_cascade_is_chosen_when_it_is_cheaper() -> None:
    options = option("large", 100, 0.97), option("small", 10, 0.7)
    assert steps(query(), *options) == ("small@1", "large@1")
    assert steps(query(rating_s=None), *options) == ("large@1",)
    assert steps(query(time_left_s=3.0), *options) == ("large@1",)


def test_one_version_is_chosen_when_the_cheap_version_mostly_fails() -> None:
    assert steps(query(), option("large", 100, 0.97), option("small", 60, 0.1)) == ("large@1",)


def test_stream_gets_no_cascade_that_delays_its_first_token() -> None:
    options = option("large", 100, 0.97), option("small", 10, 0.7)
    assert steps(query(stream=True), *options) == ("large@1",)


def test_default_model_runs_without_estimates_and_ratings() -> None:
    options = option("large", 100, 0, 0), option("small", 10, 0, 0)
    for seed in range(50):
        assert steps(query(rating_s=None), *options, seed=seed) == ("large@1",)


def test_version_with_the_best_bound_runs_when_none_meets_the_target() -> None:
    options = option("large", 100, 0.8), option("small", 10, 0.6)
    assert steps(query(stream=True), *options) == ("large@1",)


def test_exploration_is_bounded_and_spares_critical_requests() -> None:
    options = option("large", 100, 0.97), option("small", 10, 0, 0)
    taken = sum(steps(query(stream=True), *options, seed=s) == ("small@1",) for s in range(2000))
    assert 10 < taken < 80
    for seed in range(100):
        assert steps(query(critical=True), *options, seed=seed) == ("large@1",)
    enough = option("small", 10, 0.5, MIN_SAMPLES)
    for seed in range(100):
        assert steps(query(stream=True), options[0], enough, seed=seed) == ("large@1",)


def test_version_is_explored_while_its_estimate_is_inconclusive() -> None:
    large, small = option("large", 100, 0.97), option("small", 10, 0.7)
    inconclusive = VersionOption(
        Version("middle", "1", 30, 30), Estimate(50, 0.96, 0.88, 0.9, 0.99), AnswerTiming(0.3, 2.0)
    )
    buffered = [steps(query(), large, small, inconclusive, seed=s) for s in range(300)]
    assert 150 < buffered.count(("middle@1", "large@1")) < 270
    streams = [steps(query(stream=True), large, small, inconclusive, seed=s) for s in range(300)]
    assert streams.count(("middle@1",)) < 20
    critical = [steps(query(critical=True), large, small, inconclusive, seed=s) for s in range(50)]
    assert set(critical) == {("small@1", "middle@1")}


def test_version_that_costs_more_than_a_proven_one_is_not_explored() -> None:
    options = option("large", 100, 0.97), option("small", 10, 0.96), option("middle", 30, 0, 0)
    for seed in range(100):
        assert steps(query(), *options, seed=seed) == ("small@1",)


def test_baseline_policies() -> None:
    options = option("large", 100, 0.97), option("small", 10, 0.2)
    assert steps(query(policy="cheapest"), *options) == ("small@1",)
    assert steps(query(policy="dearest"), *options) == ("large@1",)


VERSIONS = st.builds(
    Version,
    model=st.sampled_from(["small", "large", "other"]),
    name=st.sampled_from("123"),
    input_price=st.integers(1, 99),
    output_price=st.integers(1, 99),
    state=st.sampled_from(VersionState),
)


@given(
    st.lists(VERSIONS, max_size=8, unique_by=lambda v: v.version_id),
    st.lists(st.sampled_from(["small", "large", "small@2", "other@1"]), max_size=3),
    st.sampled_from(["", "small", "large@2"]),
    st.frozensets(st.sampled_from(["small@1", "large@2", "other@1"])),
    st.lists(st.tuples(st.floats(0, 1), st.integers(0, 40)), min_size=8, max_size=8),
    st.sampled_from(["learned", "cheapest", "dearest"]),
    st.booleans(),
    st.integers(0, 99),
)
def test_plan_holds_only_versions_that_may_run(
    versions: list[Version],
    allowed: list[str],
    wanted: str,
    quarantined: frozenset[str],
    known: list[tuple[float, int]],
    policy: str,
    stream: bool,
    seed: int,
) -> None:
    contract = Contract("c", allowed=tuple(allowed), default_model="other")
    usable, refused = usable_versions(versions, contract, wanted, quarantined)
    assert {v.version_id for v in usable} | {c.name for c in refused} == {
        v.version_id for v in versions
    }
    options = [
        VersionOption(version, Estimate(samples, lower, lower, lower, lower))
        for version, (lower, samples) in zip(usable, known, strict=False)
    ]
    plan = choose_plan(query(stream, contract=contract, policy=policy), options, Random(seed))
    assert (plan is None) == (not options)
    by_id = {version.version_id: version for version in versions}
    for step in plan.steps if plan else ():
        assert step not in quarantined
        assert by_id[step].state is VersionState.ACTIVE
        assert by_id[step].model in allowed or step in allowed
        assert wanted in ("", by_id[step].model, step)


def test_running_session_stays_on_a_draining_version() -> None:
    draining = Version("small", "1", 1, 1, VersionState.DRAINING)
    usable, refused = usable_versions([draining], CONTRACT, "", frozenset())
    assert not usable and refused[0].passed_over == "draining"
    usable, _ = usable_versions([draining], CONTRACT, "", frozenset(), new_session=False)
    assert usable == [draining]
