"""Steps of a roll-out and the verdict on its version."""

from msgspec.structs import replace

from comfreyhatch.decisions.version_trial import (
    canary_share,
    evidence_is_news,
    fault_of,
    next_step,
    pool,
)
from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutState,
    TrialRecord,
    VersionOutcomes,
)

ORDER = RolloutOrder("s", "v2", 24.0, 7)
CANARY = canary_share(0.15)
OTHER = {"a": VersionOutcomes(400, 6, 2), "b": VersionOutcomes(100, 14, 0)}


def evidence(daemon: str, target: dict[str, VersionOutcomes]) -> Evidence:
    return Evidence("s", 7, daemon, target, OTHER)


def step(trial: TrialRecord | None, store_ms: int, *found: Evidence) -> TrialRecord | None:
    return next_step(ORDER, trial, pool(found), CANARY, True, store_ms)


def test_canary_stays_below_the_exposure() -> None:
    assert 0 < CANARY < 0.15


def test_first_half_keeps_the_canary_share_and_the_rest_grows_to_the_end_in_time() -> None:
    trial = step(None, 1000)
    assert trial and trial.state is RolloutState.RUNNING and trial.share == CANARY
    now_ms = 1000
    while trial.state is RolloutState.RUNNING:
        now_ms += 400
        following = step(trial, now_ms)
        if following and now_ms < 1000 + 12000:
            raise AssertionError("the share grew in the first half")
        trial = following or trial
    assert trial.state is RolloutState.COMPLETED
    assert now_ms - 1000 <= 0.9 * 24000


def test_growth_waits_for_endpoints_of_the_version() -> None:
    trial = step(None, 0)
    assert next_step(ORDER, trial, pool([]), CANARY, False, 20000) is None


def test_evidence_of_several_daemons_adds_up_to_a_verdict() -> None:
    trial = step(None, 0)
    one = evidence("d1", {"a": VersionOutcomes(4, 2, 0)})
    two = evidence("d2", {"a": VersionOutcomes(5, 3, 0)})
    assert step(trial, 3000, one) is None
    verdict = step(trial, 3000, one, two)
    assert verdict and verdict.state is RolloutState.ROLLED_BACK and verdict.reason


def test_version_bad_on_one_route_only_is_found() -> None:
    target = {"a": VersionOutcomes(60, 0, 0), "b": VersionOutcomes(10, 8, 0)}
    assert fault_of(pool([evidence("d1", target)])).startswith("b:")


def test_failures_that_the_replaced_version_has_too_are_no_fault() -> None:
    other = {"b": VersionOutcomes(100, 30, 0)}
    found = Evidence("s", 7, "d1", {"b": VersionOutcomes(40, 13, 0)}, other)
    assert fault_of(pool([found])) == ""


def test_slow_version_is_found() -> None:
    assert fault_of(pool([evidence("d1", {"a": VersionOutcomes(12, 0, 8)})]))


def test_ended_rollout_is_left_alone_and_a_new_order_starts_anew() -> None:
    trial = replace(step(None, 0), state=RolloutState.ROLLED_BACK, revision=5)
    assert step(trial, 30000) is None
    newer = replace(ORDER, version="v3", revision=9)
    following = next_step(newer, trial, pool([]), CANARY, True, 40000)
    assert following and following.version == "v3" and following.revision == 5


def test_bad_outcomes_are_told_sooner_than_good_ones() -> None:
    before = evidence("d1", {"a": VersionOutcomes(4, 0, 0)})
    good = evidence("d1", {"a": VersionOutcomes(9, 0, 0)})
    bad = evidence("d1", {"a": VersionOutcomes(5, 1, 0)})
    assert not evidence_is_news(before, good, 1.0)
    assert evidence_is_news(before, good, 4.0)
    assert evidence_is_news(before, bad, 1.0)
    assert not evidence_is_news(before, before, 99.0)
