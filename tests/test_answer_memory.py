"""Limits on the memory of whole answers."""

from contextlib import ExitStack

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.answer_memory import (
    MIN_ANSWER_LIMIT_BYTES,
    SMALL_ANSWER_BYTES,
    AnswerMemory,
)


def test_one_answer_may_have_a_sixteenth_of_the_memory_but_4_mib_at_least() -> None:
    assert AnswerMemory(150.0).limit_bytes == 9_375_000
    assert AnswerMemory(20.0).limit_bytes == MIN_ANSWER_LIMIT_BYTES


def test_small_answers_pass_while_large_ones_use_all_memory() -> None:
    memory = AnswerMemory(150.0)
    with memory.hold() as large, memory.hold() as small:
        assert large(memory.total_bytes + SMALL_ANSWER_BYTES)
        assert not large(1)
        assert small(SMALL_ANSWER_BYTES)
        assert not small(1)
    assert memory.used_bytes == 0


@given(st.lists(st.lists(st.integers(0, 5_000_000), max_size=6), max_size=8))
def test_sum_of_answers_never_exceeds_the_total_and_is_given_back(sizes: list[list[int]]) -> None:
    memory = AnswerMemory(64.0)
    with ExitStack() as stack:
        for pieces in sizes:
            take = stack.enter_context(memory.hold())
            for size in pieces:
                take(size)
                assert 0 <= memory.used_bytes <= memory.total_bytes
    assert memory.used_bytes == 0
