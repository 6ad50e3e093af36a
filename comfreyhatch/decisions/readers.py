"""Selection of the daemons that read the directory; the others poll one of these readers.

Calls to the platform's store would otherwise grow with the number of daemons. Rendezvous hashing
gives all daemons of a region the same readers without coordination. Daemons with wide links read
before others, since a reader sends what it reads to all its followers.
"""

from collections.abc import Collection, Mapping

from comfreyhatch.decisions.rendezvous import rendezvous_order

FOLLOWERS_PER_READER = 32
# Longest wait of a reader's long poll, as a share of the time after which a configuration is in
# force, and in any case: followers drop a reader whose data is older than they allow.
POLL_WAIT_SHARE = 0.3
MAX_POLL_WAIT_S = 1.6
# A link counts as wide from this share of the widest one of the region on.
WIDE_LINK_SHARE = 0.5


def reader_for(
    daemon: str,
    group: Collection[str],
    held_down: Collection[str],
    link_by_daemon: Mapping[str, float] | None = None,
) -> str | None:
    """Return the reader that a daemon polls; None if it reads the directory itself.

    Args:
        daemon: Name of this daemon.
        group: All known daemons of its region, with or without itself.
        held_down: Readers in hold-down, since they did not answer or were out of date.
        link_by_daemon: Bandwidth of each link; None or absent if unknown.
    """
    daemons = set(group) | {daemon}
    readers = readers_of(daemons, set(held_down) - {daemon}, link_by_daemon)
    if daemon in readers:
        return None
    return rendezvous_order(daemon, readers)[0]


def poll_wait_s(config_s: float) -> float:
    """Return how long a reader waits for anything newer in one poll of the directory, in seconds.

    Args:
        config_s: Time after which a configuration is in force, in seconds.
    """
    return min(MAX_POLL_WAIT_S, POLL_WAIT_SHARE * config_s)


def readers_of(
    group: Collection[str],
    held_down: Collection[str],
    link_by_daemon: Mapping[str, float] | None = None,
) -> list[str]:
    """Return the readers of a region.

    Args:
        group: All known daemons of the region; not empty.
        held_down: Readers in hold-down, which others replace.
        link_by_daemon: Bandwidth of each link; None or absent if unknown.
    """
    links = link_by_daemon or {}
    count = 1 + (len(group) - 1) // (FOLLOWERS_PER_READER + 1)
    widest = max(links.get(name, 0.0) for name in group)
    ranked = rendezvous_order("readers", set(group) - set(held_down))
    return sorted(ranked, key=lambda n: links.get(n, 0.0) < WIDE_LINK_SHARE * widest)[:count]
