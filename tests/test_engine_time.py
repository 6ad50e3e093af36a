"""Estimates of engine time from earlier answers."""

from comfreyhatch.decisions.engine_time import EngineTimes


def test_models_have_separate_estimates() -> None:
    times = EngineTimes()
    for _ in range(20):
        times.record("small", 1000, 0.05)
        times.record("large", 1000, 0.5)
    assert times.first_event_s("large", 1000) > 5 * times.first_event_s("small", 1000)


def test_queueing_delay_does_not_raise_the_estimate() -> None:
    times = EngineTimes()
    for waited_s in [0.0] * 10 + [3.0] * 10:
        times.record("m", 1000, 0.1 + waited_s)
    assert times.first_event_s("m", 1000) < 0.2


def test_old_samples_are_dropped() -> None:
    times = EngineTimes()
    for took_s in [1.0] * 64 + [0.1] * 64:
        times.record("m", 1000, took_s)
    assert times.first_event_s("m", 1000) < 0.2


def test_default_estimate_grows_with_the_prompt() -> None:
    times = EngineTimes()
    assert times.first_event_s("m", 20000) > times.first_event_s("m", 100) > 0
