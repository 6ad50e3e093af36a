from comfreyhatch.decisions.answer_times import MAX_TIMEOUT_S, MIN_TIMEOUT_S, AnswerTimes


def test_timeout_exceeds_what_a_slow_server_takes() -> None:
    times = AnswerTimes()
    assert times.timeout_s == MIN_TIMEOUT_S
    times.record(1.2)
    assert times.timeout_s > 1.2


def test_timeout_is_short_again_soon_after_a_slow_answer() -> None:
    times = AnswerTimes()
    times.record(30.0)
    assert times.timeout_s == MAX_TIMEOUT_S
    for _ in range(8):
        times.record(0.01)
    assert times.timeout_s == MIN_TIMEOUT_S
