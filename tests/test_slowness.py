"""Slow answers of a new version."""

from comfreyhatch.decisions.slowness import BaselineTimes

RUNNING = 4


def usual(*values: float, running: int = RUNNING, load_dominated: bool = False) -> BaselineTimes:
    found = BaselineTimes(load_dominated)
    for number, value in enumerate(values):
        found.add(value, running, number / 100)
    return found


def test_answer_eight_times_slower_is_slow() -> None:
    times = usual(*[0.04, 0.05, 0.06] * 20)
    assert times.is_slow(0.4, RUNNING, 1.0)
    assert not times.is_slow(0.1, RUNNING, 1.0)


def test_spread_of_the_usual_times_counts() -> None:
    times = usual(*[0.04] * 50, *[0.5] * 10)
    assert not times.is_slow(0.4, RUNNING, 1.0)


def test_load_that_slows_both_versions_does_not_count() -> None:
    times = usual(*[0.05] * 30)
    for _ in range(256):
        times.add(0.3, RUNNING, 2.0)
    assert not times.is_slow(0.4, RUNNING, 2.0)


def test_idle_endpoint_should_be_among_the_fast_ones() -> None:
    # The old version is loaded, the new one has a few sessions only: its slow answers are no slower
    # than the old version's loaded ones.
    times = usual(*[0.03] * 10, *[0.06] * 20, *[0.12] * 10)
    assert times.is_slow(0.15, 1, 1.0)
    assert not times.is_slow(0.15, RUNNING, 1.0)
    assert not times.is_slow(0.08, 1, 1.0)


def test_endpoint_with_less_to_do_should_be_faster_than_the_loaded_ones() -> None:
    # Found by hunting: sundar-buoy, deploy/days/slow-under-rollout.toml, seed 335123080264. The
    # times of both versions are of that day, in seconds for each event.
    times = usual(*[0.033] * 10, *[0.05] * 30, *[0.09] * 10, running=16, load_dominated=True)
    assert times.is_slow(0.098, 1, 1.0)
    assert not times.is_slow(0.098, 16, 1.0)
    assert not times.is_slow(0.06, 1, 1.0)


def test_nothing_is_slow_without_fresh_answers_to_compare_with() -> None:
    assert not BaselineTimes().is_slow(9.0, 1, 0.0)
    assert not usual(*[0.05] * 30).is_slow(9.0, 1, 10.0)
