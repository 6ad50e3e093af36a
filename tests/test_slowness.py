"""Detection of slow answers of a new version."""

import pytest

from comfreyhatch.decisions.slowness import BaselineTimes, slowdown

RUNNING = 4


def baseline(*values: float, running: int = RUNNING, load_dominated: bool = False) -> BaselineTimes:
    found = BaselineTimes(load_dominated)
    for number, value in enumerate(values):
        found.add(value, running, number / 100)
    return found


def test_answer_eight_times_slower_is_slow() -> None:
    times = baseline(*[0.04, 0.05, 0.06] * 20)
    assert times.is_slow(0.4, RUNNING, 1.0)
    assert not times.is_slow(0.1, RUNNING, 1.0)


def test_spread_of_the_baseline_raises_the_threshold() -> None:
    times = baseline(*[0.04] * 50, *[0.5] * 10)
    assert not times.is_slow(0.4, RUNNING, 1.0)


def test_load_that_slows_down_both_versions_does_not_count() -> None:
    times = baseline(*[0.05] * 30)
    for _ in range(256):
        times.add(0.3, RUNNING, 2.0)
    assert not times.is_slow(0.4, RUNNING, 2.0)


def test_idle_endpoint_is_compared_with_the_fast_answers() -> None:
    # The replaced version is loaded and the new one has few sessions, so that the new one's slow
    # answers take no longer than those of the loaded endpoints.
    times = baseline(*[0.03] * 10, *[0.06] * 20, *[0.12] * 10)
    assert times.is_slow(0.15, 1, 1.0)
    assert not times.is_slow(0.15, RUNNING, 1.0)
    assert not times.is_slow(0.08, 1, 1.0)


def test_less_busy_endpoint_is_expected_to_be_faster_than_loaded_ones() -> None:
    # A version eight times slower was not found: its endpoint ran one request and was no slower
    # than endpoints of the replaced version with 16. Gaps between events, in seconds, of
    # deploy/days/slow-under-rollout.toml, sundar-buoy, seed 335123080264.
    times = baseline(*[0.033] * 10, *[0.05] * 30, *[0.09] * 10, running=16, load_dominated=True)
    assert times.is_slow(0.098, 1, 1.0)
    assert not times.is_slow(0.098, 16, 1.0)
    assert not times.is_slow(0.06, 1, 1.0)


def test_few_times_of_a_young_daemon_are_a_baseline() -> None:
    # A roll-out four seconds after the start was completed with a version whose events came several
    # times more slowly: a daemon had 14 times of the replaced version, and 20 were needed. Gaps
    # between events, in seconds, of deploy/days/hasty.toml, trackline-th, seed 501.
    times = baseline(*[0.03] * 4, *[0.032] * 9, 0.092, running=10, load_dominated=True)
    assert times.is_slow(0.102, 1, 1.0) is True
    assert times.is_slow(0.031, 1, 1.0) is False


def test_answer_is_neither_slow_nor_usual_without_a_recent_baseline() -> None:
    assert BaselineTimes().is_slow(9.0, 1, 0.0) is None
    assert baseline(*[0.05] * 7).is_slow(9.0, 1, 0.1) is None
    assert baseline(*[0.05] * 30).is_slow(9.0, 1, 10.0) is None


def test_delays_of_a_busy_daemon_do_not_make_very_fast_answers_slow() -> None:
    # A good version was rolled back on a busy machine: its answers took 5 ms in place of 1 ms.
    found = baseline(*[0.001] * 30, running=1)
    assert found.is_slow(0.005, 1, 0.3) is False
    assert found.is_slow(0.05, 1, 0.3) is False
    assert found.is_slow(0.1, 1, 0.3) is True
    assert slowdown(0.005, 0.001) == 1.0
    assert slowdown(0.2, 0.02) == pytest.approx(10.0)
