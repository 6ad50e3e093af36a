"""Limits of a daemon's listeners for callers and for other daemons."""

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.decisions.connection_limits import (
    MIN_PEER_CONNECTIONS,
    caller_connections,
    listener_connections,
)
from comfreyhatch.domain.catalog import ListenerLimits
from comfreyhatch.domain.deployment import Deployment

# Room for the headers of a request that another daemon wants sent.
RELAY_MARGIN_BYTES = 65536
# Parts of the file descriptors for the connections of callers and of other daemons; what is left is
# for connections to endpoints.
CALLERS_FDS_SHARE = 2 / 3
RELAY_FDS_SHARE = 1 / 6
# Shortest time limit for callers, in seconds, whatever the configuration says.
MIN_TIMEOUT_S = 0.1


def caller_limits(deployment: Deployment) -> HttpLimits:
    """Return the limits for callers before any configuration is known."""
    return HttpLimits(
        connections=min(
            listener_connections(deployment.max_fds, CALLERS_FDS_SHARE),
            caller_connections(deployment.memory_mb),
        ),
        source_connections=deployment.source_connections,
    )


def configured_limits(limits: HttpLimits, configured: ListenerLimits) -> HttpLimits:
    """Return the limits for callers with those of the configuration."""
    return HttpLimits(
        header_bytes=max(1, configured.header_bytes),
        body_bytes=max(1, configured.body_bytes),
        connections=limits.connections,
        source_connections=limits.source_connections,
        header_timeout_s=max(MIN_TIMEOUT_S, configured.header_timeout_s),
        idle_timeout_s=max(MIN_TIMEOUT_S, configured.idle_timeout_s),
    )


def relay_limits(callers: HttpLimits, deployment: Deployment) -> HttpLimits:
    """Return the limits for other daemons, whose requests carry those of callers as bodies."""
    connections = listener_connections(deployment.max_fds, RELAY_FDS_SHARE, MIN_PEER_CONNECTIONS)
    return HttpLimits(connections=connections, body_bytes=callers.body_bytes + RELAY_MARGIN_BYTES)
