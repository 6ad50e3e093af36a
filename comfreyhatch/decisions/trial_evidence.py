"""Outcomes of the versions of a roll-out, summed over daemons and published by each."""

from collections import Counter
from collections.abc import Iterable, Mapping

from msgspec import Struct

from comfreyhatch.domain.operations import Evidence, VersionOutcomes

# Bad outcomes are published soon, good ones seldom, to limit the writes to the store.
MIN_BAD_EVIDENCE_INTERVAL_S = 0.6
MIN_GOOD_EVIDENCE_INTERVAL_S = 4.0
# Good outcomes on which the verdict may depend are published sooner, in large fleets less so.
MIN_AWAITED_EVIDENCE_INTERVAL_S = 1.0
AWAITED_EVIDENCE_INTERVAL_PER_DAEMON_S = 0.02
# Endpoint of outcomes that a daemon has published without their endpoints.
UNKNOWN_ENDPOINT = ""


class PooledEvidence(Struct, frozen=True):
    """Outcomes of the target and the replaced versions by route, summed over daemons.

    Attributes:
        target_by_route: Outcomes of the target version by route.
        other_by_route: Outcomes of the replaced versions by route.
        target_by_endpoint: Outcomes of the target version by route, then by endpoint.
        target_by_failure: Number of failures of the target version by how they failed.
        other_by_failure: The same of the replaced versions.
        target_sent: Requests sent to the target version, answered or not.
    """

    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]
    target_by_endpoint: dict[str, dict[str, VersionOutcomes]]
    target_by_failure: Counter[str]
    other_by_failure: Counter[str]
    target_sent: int


def pool_evidence(evidence: Iterable[Evidence]) -> PooledEvidence:
    """Return the sum of the evidence of several daemons."""
    target: dict[str, VersionOutcomes] = {}
    other: dict[str, VersionOutcomes] = {}
    by_endpoint: dict[str, dict[str, VersionOutcomes]] = {}
    target_by_failure: Counter[str] = Counter()
    other_by_failure: Counter[str] = Counter()
    target_sent = 0
    for item in evidence:
        target_by_failure.update(item.target_by_failure)
        other_by_failure.update(item.other_by_failure)
        # Daemons of the build before tell only what was answered.
        answers = total_outcomes(item.target_by_route.values()).answers
        target_sent += max(item.target_sent, answers)
        _add_all(target, item.target_by_route)
        _add_all(other, item.other_by_route)
        for route, outcomes in item.target_by_route.items():
            found = item.target_by_endpoint.get(route) or {UNKNOWN_ENDPOINT: outcomes}
            _add_all(by_endpoint.setdefault(route, {}), found)
    return PooledEvidence(
        target, other, by_endpoint, target_by_failure, other_by_failure, target_sent
    )


def add_outcomes(one: VersionOutcomes, two: VersionOutcomes) -> VersionOutcomes:
    """Return the sum of two outcome counts."""
    return VersionOutcomes(
        one.answers + two.answers, one.failures + two.failures, one.slow + two.slow
    )


def total_outcomes(outcomes: Iterable[VersionOutcomes]) -> VersionOutcomes:
    """Return the sum of outcome counts."""
    total = VersionOutcomes()
    for item in outcomes:
        total = add_outcomes(total, item)
    return total


def failures_text(by_failure: Mapping[str, int]) -> str:
    """Return how answers failed, the most frequent first, such as "status 503: 5, timeout: 1"."""
    ordered = sorted(by_failure.items(), key=lambda found: (-found[1], found[0]))
    return ", ".join(f"{text}: {count}" for text, count in ordered) or "none"


def answers_on(pooled: PooledEvidence, route: str) -> int:
    """Return the number of answers of all versions on a route."""
    none = VersionOutcomes()
    target = pooled.target_by_route.get(route, none)
    return target.answers + pooled.other_by_route.get(route, none).answers


def awaited_evidence_interval_s(daemons: int) -> float:
    """Return the interval at which outcomes that the verdict waits for are published, in seconds.

    Args:
        daemons: Number of daemons that publish.
    """
    return max(MIN_AWAITED_EVIDENCE_INTERVAL_S, AWAITED_EVIDENCE_INTERVAL_PER_DAEMON_S * daemons)


def should_publish_evidence(
    published: Evidence | None,
    found: Evidence,
    age_s: float,
    awaited_interval_s: float | None = None,
) -> bool:
    """Return whether a daemon should write its evidence to the store now.

    Bad outcomes are published soon, since a bad version has to be rolled back soon; good ones
    seldom. While the verdict waits for outcomes, good ones are published at an interval, and bad
    ones at once: one that comes after the completion is of no use.

    Args:
        published: Evidence published last; None if there was none.
        found: Evidence counted until now.
        age_s: Time since evidence was published last, in seconds.
        awaited_interval_s: Shortest interval between good outcomes while the verdict waits for
            them, in seconds; None while it does not.
    """
    before = total_outcomes(published.target_by_route.values()) if published else VersionOutcomes()
    if published and published.order_revision != found.order_revision:
        before = VersionOutcomes()
    after = total_outcomes(found.target_by_route.values())
    is_awaited = awaited_interval_s is not None
    is_worse = after.failures + after.slow > before.failures + before.slow
    if is_worse or after.failures > before.failures:
        return is_awaited or age_s >= MIN_BAD_EVIDENCE_INTERVAL_S
    interval_s = MIN_GOOD_EVIDENCE_INTERVAL_S if awaited_interval_s is None else awaited_interval_s
    return after != before and age_s >= interval_s


def _add_all(sums: dict[str, VersionOutcomes], found: dict[str, VersionOutcomes]) -> None:
    for key, outcomes in found.items():
        sums[key] = add_outcomes(sums.get(key, VersionOutcomes()), outcomes)
