"""Replay protection: stamps are accepted once, while fresh, in bounded memory."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.replay import MAX_AGE_S, ReplayGuard

NOW = 1_000_000.0


def stamp(at: float, nonce: str = "w") -> str:
    return f"{int(at * 1000)}.{nonce}"


@given(st.lists(st.tuples(st.floats(0, 20), st.floats(-40, 40), st.sampled_from("abc"))))
def test_stamps_are_accepted_once_and_only_while_fresh(
    events: list[tuple[float, float, str]],
) -> None:
    guard, now, accepted = ReplayGuard(), NOW, set()
    sent: list[str] = []
    for step, age, nonce in events:
        now += step
        sent.append(stamp(now - age, nonce))
        for each in sent:
            fresh = abs(now - int(each.split(".")[0]) / 1000) <= MAX_AGE_S
            taken = guard.accept(each, now, now)
            assert taken == (fresh and each not in accepted)
            if taken:
                accepted.add(each)


@pytest.mark.parametrize("text", ["", "12", "x.y", f"{int(NOW * 1000)}.", stamp(NOW, "w" * 99)])
def test_malformed_stamps_are_refused(text: str) -> None:
    assert not ReplayGuard().accept(text, NOW, 0.0)


def test_memory_is_bounded_and_expired_stamps_are_dropped() -> None:
    guard = ReplayGuard(limit=2)
    assert [guard.accept(stamp(NOW, nonce), NOW, 0.0) for nonce in "abc"] == [True, True, False]
    later = NOW + 2 * MAX_AGE_S + 1
    assert guard.accept(stamp(later, "c"), later, later - NOW)


def test_stamp_is_not_accepted_again_after_the_time_of_day_jumped_forward_and_back() -> None:
    guard = ReplayGuard()
    assert guard.accept(stamp(NOW, "a"), NOW, 0.0)
    ahead = NOW + 3 * MAX_AGE_S
    assert guard.accept(stamp(ahead, "b"), ahead, 1.0)
    assert not guard.accept(stamp(NOW, "a"), NOW + 2.0, 2.0)
