"""Canary analysis of a roll-out: shares of sessions and the verdict on its version."""

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.version_trial import (
    COMPLETION_MARGIN_S,
    MIN_ANSWERS_TO_GROW,
    SHARE_STEPS,
    VersionsReady,
    canary_share,
    find_fault,
    next_trial_record,
    pool_evidence,
    should_publish_evidence,
)
from comfreyhatch.domain.operations import (
    Evidence,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    VersionOutcomes,
)

ORDER = RolloutOrder("s", "v2", 24.0, 7)
EXPOSE_SHARE = 0.15
CANARY = canary_share(EXPOSE_SHARE)
OTHER = {"a": VersionOutcomes(400, 6, 2), "b": VersionOutcomes(100, 14, 0)}
ENOUGH = VersionOutcomes(MIN_ANSWERS_TO_GROW)
BOTH_READY = VersionsReady(target=True, replaced=True)


def evidence(daemon: str, target: dict[str, VersionOutcomes]) -> Evidence:
    return Evidence("s", 7, daemon, target, OTHER)


def step(trial: RolloutRecord | None, store_ms: int, *found: Evidence) -> RolloutRecord | None:
    return next_trial_record(ORDER, trial, pool_evidence(found), EXPOSE_SHARE, BOTH_READY, store_ms)


def test_canary_share_is_below_the_allowed_exposure() -> None:
    assert 0 < CANARY < 0.15


@pytest.mark.parametrize("duration_s", [8.0, 12.0, 24.0, 60.0])
@pytest.mark.parametrize("expose_share", [0.05, 0.12, 0.15, 0.3])
def test_version_without_faults_completes_in_time_within_the_exposure(
    duration_s: float, expose_share: float
) -> None:
    # A version that would fail only under load got a third of the requests, because that load never
    # came (deploy/days/bad-under-load.toml).
    order = RolloutOrder("s", "v2", duration_s, 7)
    tick_ms = 50
    exposed_ms = 0.0
    good = pool_evidence([evidence("d1", {"a": ENOUGH})])
    trial = next_trial_record(order, None, good, expose_share, BOTH_READY, 1000)
    now_ms = 1000
    while trial.state is RolloutState.RUNNING:
        exposed_ms += trial.share * tick_ms
        now_ms += tick_ms
        following = next_trial_record(order, trial, good, expose_share, BOTH_READY, now_ms)
        if following and now_ms - 1000 <= duration_s * 500:
            raise AssertionError("the share grew in the first half")
        trial = following or trial
    assert trial.state is RolloutState.COMPLETED
    assert now_ms - 1000 <= duration_s * 1000
    exposed_ms += duration_s * 1000 - (now_ms - 1000)
    # From its completion on the new version gets all requests; the margin for storing the
    # completion is not part of the exposure.
    assert exposed_ms <= expose_share * duration_s * 1000 + COMPLETION_MARGIN_S * 1000


def test_version_without_enough_answers_gets_the_first_step_only() -> None:
    # A roll-out of 15 s was completed although none of the few answers of the bad version could be
    # compared with those of the replaced one (deploy/days/hasty.toml, trackline-th, seed 501).
    few = evidence("d1", {"a": VersionOutcomes(MIN_ANSWERS_TO_GROW - 1)})
    trial = step(None, 0)
    for now_ms in range(0, 60_000, 200):
        trial = step(trial, now_ms, few) or trial
    assert trial.state is RolloutState.RUNNING
    assert trial.share == SHARE_STEPS[0].share
    enough = evidence("d1", {"a": ENOUGH})
    grown = step(trial, 60_200, enough)
    assert grown and grown.share == 1.0
    completed = step(grown, 60_400, enough)
    assert completed and completed.state is RolloutState.COMPLETED


@pytest.mark.parametrize("duration_s", [8.0, 15.0, 24.0, 60.0])
def test_first_step_without_enough_answers_stays_within_the_exposure(duration_s: float) -> None:
    order = RolloutOrder("s", "v2", duration_s, 7)
    none = pool_evidence([])
    trial = next_trial_record(order, None, none, EXPOSE_SHARE, BOTH_READY, 0)
    exposed_ms = 0.0
    for now_ms in range(0, int(duration_s * 1000), 50):
        following = next_trial_record(order, trial, none, EXPOSE_SHARE, BOTH_READY, now_ms)
        trial = following or trial
        exposed_ms += trial.share * 50
    assert exposed_ms <= EXPOSE_SHARE * duration_s * 1000


def test_roll_out_ends_in_time_if_no_endpoint_of_the_replaced_version_is_left() -> None:
    # Without that version there is nothing to compare with, and most sessions have no endpoint.
    only_target = VersionsReady(target=True, replaced=False)
    trial = step(None, 0)
    none = pool_evidence([])
    grown = next_trial_record(ORDER, trial, none, EXPOSE_SHARE, only_target, 24_000)
    assert grown and grown.share == 1.0


def test_share_does_not_grow_while_the_version_is_in_doubt() -> None:
    # The canary phase gave only five answers, and the share grew before more were known.
    trial = step(None, 0)
    assert step(trial, 23_000, evidence("d1", {"a": VersionOutcomes(12, 0, 2)})) is None
    assert step(trial, 23_000, evidence("d1", {"a": VersionOutcomes(12, 0, 0)})) is not None


def test_doubt_after_the_share_has_grown_rolls_back() -> None:
    # The share stayed at half of the sessions for six seconds until the evidence sufficed, which
    # exceeded the exposure.
    grown = replace(step(None, 0), share=0.5)
    verdict = step(grown, 23_000, evidence("d1", {"a": VersionOutcomes(25, 1, 2)}))
    assert verdict and verdict.state is RolloutState.ROLLED_BACK


def test_version_in_doubt_is_rolled_back_when_its_completion_is_due() -> None:
    # A version with 5 slow answers of 13 got its verdict five seconds after the time for the
    # roll-out (deploy/days/hasty.toml, trackline-th, seed 501).
    trial = step(None, 0)
    other = {"a": VersionOutcomes(120, 0, 18)}
    doubtful = Evidence("s", 7, "d1", {"a": VersionOutcomes(13, 0, 5)}, other)
    assert find_fault(pool_evidence([doubtful])) == ""
    assert step(trial, 22_700, doubtful) is None
    verdict = step(trial, 22_800, doubtful)
    assert verdict and verdict.state is RolloutState.ROLLED_BACK and verdict.reason


def test_version_no_worse_than_the_replaced_one_is_not_rolled_back_at_the_end() -> None:
    trial = step(None, 0)
    other = {"a": VersionOutcomes(100, 0, 25)}
    as_slow = Evidence("s", 7, "d1", {"a": VersionOutcomes(13, 0, 4)}, other)
    assert step(trial, 23_000, as_slow) is None


def test_share_does_not_grow_without_endpoints_of_the_version() -> None:
    trial = step(None, 0)
    not_ready = VersionsReady(target=False, replaced=True)
    good = pool_evidence([evidence("d1", {"a": ENOUGH})])
    assert next_trial_record(ORDER, trial, good, EXPOSE_SHARE, not_ready, 23_000) is None
    assert next_trial_record(ORDER, trial, good, EXPOSE_SHARE, BOTH_READY, 23_000) is not None


def test_evidence_of_several_daemons_is_summed() -> None:
    trial = step(None, 0)
    one = evidence("d1", {"a": VersionOutcomes(4, 2, 0)})
    two = evidence("d2", {"a": VersionOutcomes(5, 3, 0)})
    assert step(trial, 3000, one) is None
    verdict = step(trial, 3000, one, two)
    assert verdict and verdict.state is RolloutState.ROLLED_BACK and verdict.reason


def test_version_that_is_bad_on_one_route_only_is_found() -> None:
    target = {"a": VersionOutcomes(60, 0, 0), "b": VersionOutcomes(10, 8, 0)}
    assert find_fault(pool_evidence([evidence("d1", target)])).startswith("b:")


def test_failures_of_both_versions_are_no_fault() -> None:
    other = {"b": VersionOutcomes(100, 30, 0)}
    found = Evidence("s", 7, "d1", {"b": VersionOutcomes(40, 13, 0)}, other)
    assert find_fault(pool_evidence([found])) == ""


def test_slow_version_is_found() -> None:
    assert find_fault(pool_evidence([evidence("d1", {"a": VersionOutcomes(12, 0, 8)})]))


def test_slow_streams_that_an_earlier_order_counted_as_answers_are_judged() -> None:
    # Streams that run when a version is ordered again count as slow, but no longer as answers.
    assert find_fault(pool_evidence([evidence("d1", {"a": VersionOutcomes(0, 0, 4)})]))
    assert find_fault(pool_evidence([evidence("d1", {"a": VersionOutcomes(2, 0, 5)})]))


def test_ended_rollout_does_not_change_and_a_new_order_starts_another() -> None:
    trial = replace(step(None, 0), state=RolloutState.ROLLED_BACK, revision=5)
    assert step(trial, 30000) is None
    newer = replace(ORDER, version="v3", revision=9)
    none = pool_evidence([])
    following = next_trial_record(newer, trial, none, EXPOSE_SHARE, BOTH_READY, 40_000)
    assert following and following.version == "v3" and following.revision == 5


def test_bad_outcomes_are_published_sooner_than_good_ones() -> None:
    before = evidence("d1", {"a": VersionOutcomes(4, 0, 0)})
    good = evidence("d1", {"a": VersionOutcomes(9, 0, 0)})
    bad = evidence("d1", {"a": VersionOutcomes(5, 1, 0)})
    assert not should_publish_evidence(before, good, 1.0)
    assert should_publish_evidence(before, good, 4.0)
    assert should_publish_evidence(before, bad, 1.0)
    assert not should_publish_evidence(before, before, 99.0)
