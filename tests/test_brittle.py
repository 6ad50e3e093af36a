"""Shares of brittle endpoints, and pauses after their refusals."""

import pytest

from comfreyhatch.decisions.brittle import MAX_PAUSE_S, MIN_PAUSE_S, refused_pause_s, slots_share


@pytest.mark.parametrize(("slots", "daemons"), [(6, 1), (6, 4), (6, 6), (128, 6), (64, 63)])
def test_shares_of_all_daemons_fit_into_the_slots(slots: int, daemons: int) -> None:
    assert 1 <= slots_share(slots, daemons) <= slots / daemons


def test_each_daemon_has_a_share_of_an_endpoint_with_fewer_slots() -> None:
    assert slots_share(6, 420) == 1


@pytest.mark.parametrize("daemons", [1, 3, 6])
def test_refusals_of_all_daemons_stay_below_what_the_endpoint_names(daemons: int) -> None:
    for refusals_per_s in range(2 * daemons, 40):
        pause_s = refused_pause_s(refusals_per_s, daemons)
        assert daemons / pause_s <= refusals_per_s
        assert MIN_PAUSE_S <= pause_s <= MAX_PAUSE_S


def test_endpoint_that_may_refuse_nothing_gets_the_longest_pause() -> None:
    assert refused_pause_s(0.0, 6) == MAX_PAUSE_S
