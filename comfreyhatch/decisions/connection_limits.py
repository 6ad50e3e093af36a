"""How many connections the listeners of a daemon may have open, by its resources."""

from comfreyhatch.decisions.memory_account import ACCOUNT_SHARE, BYTES_PER_MB, OWN_MEMORY_MB

# Descriptors reserved for other uses: files, the control plane, and connections to endpoints beside
# the part that is left for them.
RESERVED_FDS = 300
# A daemon with very few keeps this part for other uses.
RESERVED_SHARE = 1 / 2
# Connections of the listeners that only balancers, operators and scrapers use.
PROBE_CONNECTIONS = 32
# Other daemons keep connections open for a while.
MIN_PEER_CONNECTIONS = 64
# Memory of a connection whose client sends the head of a request and does not end it. An idle one
# takes 10 KB.
CONNECTION_BYTES = 65536
# Callers' connections for which there has to be memory.
MIN_CALLER_CONNECTIONS = 256


def shared_fds(max_fds: int) -> int:
    """Return the descriptors that the listeners and the connections to endpoints share."""
    return max_fds - min(RESERVED_FDS, int(max_fds * RESERVED_SHARE))


def listener_connections(max_fds: int, share: float, at_least: int = 1) -> int:
    """Return the largest number of connections of a listener by the descriptors.

    Args:
        max_fds: Largest number of descriptors of the process.
        share: Its part of what is shared.
        at_least: Number that it has in any case.
    """
    return max(at_least, int(shared_fds(max_fds) * share))


def caller_connections(memory_mb: float) -> int:
    """Return the largest number of callers' connections by the memory of the daemon.

    They share what the account of the memory held for clients leaves.

    Args:
        memory_mb: Memory of the daemon, in megabytes.
    """
    spare_bytes = (memory_mb - OWN_MEMORY_MB) * BYTES_PER_MB * (1 - ACCOUNT_SHARE)
    return max(MIN_CALLER_CONNECTIONS, int(spare_bytes / CONNECTION_BYTES))
