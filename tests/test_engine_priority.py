"""Order in which engines admit requests."""

from comfreyhatch.decisions.engine_priority import engine_priority


def test_answers_that_have_begun_go_first_then_the_more_urgent() -> None:
    order = [engine_priority(2, resumes=True), *(engine_priority(r, False) for r in range(4))]
    assert order == sorted(set(order))


def test_any_rank_has_a_place() -> None:
    assert {engine_priority(rank, False) for rank in range(50)} <= set(range(10))
