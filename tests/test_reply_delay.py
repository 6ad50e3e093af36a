"""Delays of answers that many daemons could give."""

from random import Random

import pytest

from comfreyhatch.decisions.reply_delay import REPLY_SPREAD_S, reply_delay_s

# Share of the longest delay in which an answer reaches all daemons.
REACH = 0.3


@pytest.mark.parametrize("daemons", [6, 65, 195, 420])
def test_few_daemons_answer_before_the_first_answer_has_reached_them(daemons: int) -> None:
    rng = Random(daemons)
    counts = []
    for _ in range(200):
        delays = [reply_delay_s(daemons, 1.0 - rng.random()) for _ in range(daemons)]
        assert all(0.0 <= delay <= REPLY_SPREAD_S for delay in delays)
        first = min(delays)
        counts.append(sum(delay <= first + REACH * REPLY_SPREAD_S for delay in delays))
    assert sum(counts) / len(counts) < 3 * daemons**REACH
