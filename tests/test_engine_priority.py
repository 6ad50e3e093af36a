"""Priority of requests in the admission queue of an engine."""

from comfreyhatch.decisions.engine_priority import engine_priority


def test_resumed_streams_come_first_then_more_urgent_ranks() -> None:
    order = [engine_priority(2, resumes=True), *(engine_priority(r, False) for r in range(4))]
    assert order == sorted(set(order))


def test_priority_of_every_rank_is_in_range() -> None:
    assert {engine_priority(rank, False) for rank in range(50)} <= set(range(10))
