"""Place of a request in an engine's order of admission.

Answers engines that are full after others have crashed or in a burst: answers that have begun go on
first, since their callers are waiting in the middle of them, then the more urgent routes.
"""

RESUMED = 1
MOST_URGENT = 3
LEAST_URGENT = 9
PLACES_PER_RANK = 2


def engine_priority(rank: int, resumes: bool) -> int:
    """Return the place in the order, 0 to 9, 0 first.

    Args:
        rank: Urgency of the request; 0 is the most urgent.
        resumes: Whether its caller already holds part of the answer.
    """
    if resumes:
        return RESUMED
    return min(LEAST_URGENT, MOST_URGENT + PLACES_PER_RANK * rank)
