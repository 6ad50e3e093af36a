"""Selection of the daemons that read the directory; the others poll one of these readers.

Calls to the platform's store would otherwise grow with the number of daemons. Rendezvous hashing
gives all daemons of a region the same readers without coordination.
"""

from collections.abc import Collection

from comfreyhatch.decisions.rendezvous import rendezvous_order

FOLLOWERS_PER_READER = 16


def reader_for(daemon: str, group: Collection[str], held_down: Collection[str]) -> str | None:
    """Return the reader that a daemon polls; None if it reads the directory itself.

    Args:
        daemon: Name of this daemon.
        group: All known daemons of its region, with or without itself.
        held_down: Readers in hold-down, since they did not answer or were out of date.
    """
    daemons = set(group) | {daemon}
    count = 1 + (len(daemons) - 1) // (FOLLOWERS_PER_READER + 1)
    readers = rendezvous_order("readers", daemons - set(held_down) | {daemon})[:count]
    if daemon in readers:
        return None
    return rendezvous_order(daemon, readers)[0]
