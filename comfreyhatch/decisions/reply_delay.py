"""Delay of an answer to all daemons, so that few of those that know it give it.

When an endpoint crashes, the report reaches hundreds of daemons at nearly the same time, and many
of them know the same to its contrary. With delays of which few are short, the first answers reach
the others before these have given theirs.
"""

from math import log

# Longest delay. Answers reach all daemons in a fraction of it.
REPLY_SPREAD_S = 0.5


def reply_delay_s(daemons: int, point: float) -> float:
    """Return the delay of a daemon's answer, in seconds.

    Of all daemons one gets no delay on average, and the number of those with shorter delays than
    any time grows exponentially with that time.

    Args:
        daemons: Number of daemons that may know the answer.
        point: Random number above 0 and up to 1, drawn uniformly.
    """
    return max(0.0, REPLY_SPREAD_S * (1 + log(point) / log(max(2, daemons))))
