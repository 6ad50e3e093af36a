"""How many connections the listeners of a daemon may have open, by its file descriptors."""

# Descriptors reserved for other uses: files, the control plane, and connections to endpoints beside
# the part that is left for them.
RESERVED_FDS = 300
# A daemon with very few keeps this part for other uses.
RESERVED_SHARE = 1 / 2
# Connections of the listeners that only balancers, operators and scrapers use.
PROBE_CONNECTIONS = 32
# Other daemons keep connections open for a while.
MIN_PEER_CONNECTIONS = 64


def shared_fds(max_fds: int) -> int:
    """Return the descriptors that the listeners and the connections to endpoints share."""
    return max_fds - min(RESERVED_FDS, int(max_fds * RESERVED_SHARE))


def listener_connections(max_fds: int, share: float, at_least: int = 1) -> int:
    """Return the largest number of connections of a listener.

    Args:
        max_fds: Largest number of descriptors of the process.
        share: Its part of what is shared.
        at_least: Number that it has in any case.
    """
    return max(at_least, int(shared_fds(max_fds) * share))
