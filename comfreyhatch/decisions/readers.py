"""Which daemons follow the directory themselves, and whom the others ask instead.

Answers a fleet whose calls to the platform's store would grow with its daemons: a few of each
region read, chosen by a hash that all compute alike, and each of the others asks one of them.
"""

from collections.abc import Collection

from comfreyhatch.decisions.rendezvous import rendezvous_order

FOLLOWERS_PER_READER = 16


def reader_for(daemon: str, group: Collection[str], avoided: Collection[str]) -> str | None:
    """Return the daemon to ask for news; None when this daemon reads the directory itself.

    Args:
        daemon: This daemon.
        group: All known daemons of its region, itself included.
        avoided: Daemons that did not answer lately.
    """
    others = set(group) | {daemon}
    count = 1 + (len(others) - 1) // (FOLLOWERS_PER_READER + 1)
    readers = rendezvous_order("readers", others - set(avoided) | {daemon})[:count]
    if daemon in readers:
        return None
    return rendezvous_order(daemon, readers)[0]
