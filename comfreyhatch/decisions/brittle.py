"""How much is sent to endpoints that fall over when they have to refuse too much in a second.

Daemons share the slots of such an endpoint evenly, so that it need not refuse. After a refusal no
daemon sends it anything for a pause, so long that refusals stay below what it has named even if no
daemon hears of the others'.
"""

# Share of the refusals that an endpoint names which all daemons together cause at most.
REFUSALS_SHARE = 0.5
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0


def slots_share(slots: int, daemons: int) -> int:
    """Return the number of requests that one of some daemons may have at a brittle endpoint."""
    return max(1, slots // max(1, daemons))


def refused_pause_s(refusals_per_s: float, daemons: int) -> float:
    """Return how long a brittle endpoint gets nothing after a refusal, in seconds.

    Args:
        refusals_per_s: Refusals in a second beyond which it falls over.
        daemons: Number of daemons that may be refused.
    """
    allowed_per_s = REFUSALS_SHARE * refusals_per_s
    if allowed_per_s <= 0:
        return MAX_PAUSE_S
    return min(MAX_PAUSE_S, max(MIN_PAUSE_S, daemons / allowed_per_s))
