"""Priority of a request in an engine's admission queue.

Engines are full in a burst or after others have crashed. Resumed streams then go first, since their
callers already hold part of the answer, followed by the other requests in the order of their rank.
"""

RESUMED_PRIORITY = 1
MOST_URGENT_PRIORITY = 3
LEAST_URGENT_PRIORITY = 9
PRIORITIES_PER_RANK = 2


def engine_priority(rank: int, resumes: bool) -> int:
    """Return the priority of a request, 0 to 9; the engine admits lower numbers first.

    Args:
        rank: Urgency of the request; 0 is the most urgent.
        resumes: Whether its caller already holds part of the answer.
    """
    if resumes:
        return RESUMED_PRIORITY
    return min(LEAST_URGENT_PRIORITY, MOST_URGENT_PRIORITY + PRIORITIES_PER_RANK * rank)
