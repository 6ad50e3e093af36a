"""Evidence on the versions of a roll-out: sums over daemons, and its publication."""

from msgspec.structs import replace

from comfreyhatch.decisions.trial_evidence import (
    UNKNOWN_ENDPOINT,
    awaited_evidence_interval_s,
    failures_text,
    pool_evidence,
    should_publish_evidence,
)
from comfreyhatch.decisions.version_comparison import compare_versions
from comfreyhatch.domain.operations import VersionOutcomes
from tests.trial_values import SOUND_OTHER, evidence, on_endpoints


def test_outcomes_are_summed_by_route_and_endpoint() -> None:
    one, two = VersionOutcomes(4, 1), VersionOutcomes(5, 0, 2)
    pooled = pool_evidence(
        [
            evidence("d1", {"a": one}, by_endpoint={"a": {"e1": one}}),
            evidence("d2", {"a": two}, by_endpoint={"a": {"e1": two}}),
        ]
    )
    assert pooled.target_by_route == {"a": VersionOutcomes(9, 1, 2)}
    assert pooled.target_by_endpoint == {"a": {"e1": VersionOutcomes(9, 1, 2)}}
    assert pooled.other_by_route["a"].answers == 800


def test_reason_of_a_roll_back_names_how_answers_failed() -> None:
    failed = VersionOutcomes(8, 6)
    one = replace(
        evidence("d1", {"a": failed}, SOUND_OTHER, {"a": on_endpoints(failed, 4)}),
        target_by_failure={"status 503": 2, "cut answer": 1},
    )
    two = replace(one, daemon="d2", target_by_failure={"status 503": 3})
    pooled = pool_evidence([one, two])
    assert failures_text(pooled.target_by_failure) == "status 503: 5, cut answer: 1"
    assert "(status 503: 5, cut answer: 1)" in compare_versions(pooled).fault
    assert failures_text({}) == "none"


def test_outcomes_that_were_published_without_endpoints_are_kept_apart() -> None:
    pooled = pool_evidence([evidence("d1", {"a": VersionOutcomes(4, 1)})])
    assert pooled.target_by_endpoint == {"a": {UNKNOWN_ENDPOINT: VersionOutcomes(4, 1)}}


def test_awaited_outcomes_are_published_soon_but_not_by_all_of_many_daemons_at_once() -> None:
    assert awaited_evidence_interval_s(6) == 1.0
    # 420 daemons write 50 rows a second.
    assert 420 / awaited_evidence_interval_s(420) <= 50
    before = evidence("d1", {"a": VersionOutcomes(4)})
    good = evidence("d1", {"a": VersionOutcomes(9)})
    assert not should_publish_evidence(before, good, 1.0)
    assert should_publish_evidence(before, good, 1.0, awaited_evidence_interval_s(6))


def test_bad_outcomes_are_published_sooner_than_good_ones() -> None:
    before = evidence("d1", {"a": VersionOutcomes(4, 0, 0)})
    good = evidence("d1", {"a": VersionOutcomes(9, 0, 0)})
    bad = evidence("d1", {"a": VersionOutcomes(5, 1, 0)})
    assert not should_publish_evidence(before, good, 1.0)
    assert should_publish_evidence(before, good, 4.0)
    assert should_publish_evidence(before, bad, 1.0)
    assert not should_publish_evidence(before, before, 99.0)


def test_bad_outcomes_are_published_at_once_while_the_verdict_waits() -> None:
    # A version was completed 0.07 s before its failures at two other daemons were known
    # (review/4, seed 5).
    before = evidence("d1", {"a": VersionOutcomes(4)})
    bad = evidence("d1", {"a": VersionOutcomes(5, 1)})
    assert not should_publish_evidence(before, bad, 0.2)
    assert should_publish_evidence(before, bad, 0.2, awaited_evidence_interval_s(420))
