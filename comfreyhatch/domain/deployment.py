"""Settings of one daemon: its instance, its addresses and the limits that it guarantees."""

from msgspec import Struct

from comfreyhatch.domain.instance import Address


class Bounds(Struct, frozen=True):
    """Limits that every daemon of the deployment guarantees; times are in seconds.

    Attributes:
        contact_s: Time that an instance must run undisturbed before the time limits apply to it.
        drain_s: Time after which a draining endpoint receives no more requests.
        grace_s: Time from SIGTERM to SIGKILL.
        config_s: Time within which a published configuration takes effect.
        retry_ratio: Extra requests (retries, hedged requests and calls to the second model of a
            cascade) allowed per request of a service.
        retry_slack: Extra requests allowed per window in addition to that ratio.
        retry_window_s: Window in which requests and extra requests are counted.
        expose_share: Largest share of a service's requests that a bad version may receive.
        expose_slack: Number of requests that it may receive in addition.
        rollback_s: Time within which a bad version is rolled back.
        cold_over: Factor applied to the rate limit of an endpoint in cold start.
        cold_slack: Requests per second allowed in addition to that rate.
        session_s: Longest time between two requests of one session.
        prefix_life_s: Time within which processing a shared prompt prefix a second time counts as a
            cost.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    config_s: float = 2.0
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    expose_share: float = 0.1
    expose_slack: float = 0.0
    rollback_s: float = 5.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    session_s: float = 5.0
    prefix_life_s: float = 10.0


class Deployment(Struct, frozen=True):
    """Settings of one daemon.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone of the instance.
        zones: All availability zones.
        region: Region of the instance.
        callers: Address of the callers' listener.
        readiness: Address of the readiness check.
        control: Address of the listener for peers; None if the instance serves no peers.
        seeds: Control addresses of some peers; may be stale.
        store: Address of the platform's store.
        heartbeat_s: Interval at which endpoints renew their records, in seconds.
        memory_mb: Memory of the instance, in megabytes.
        max_fds: Largest number of file descriptors that the process may open.
        bounds: Limits to guarantee.
        link_mbps: Bandwidth of the instance's link, in megabits a second; 0 if unknown.
        relay: Address of the listener for requests of other daemons; None if it takes none.
        endpoints_crash_out_of_memory: Whether endpoints crash when the requests that they hold
            exceed their memory; then their load is sampled before requests are placed.
        source_connections: Callers' connections open at once from one address; 0 for no limit.
    """

    instance: str
    zone: str
    zones: tuple[str, ...]
    callers: Address
    readiness: Address
    control: Address | None
    seeds: tuple[Address, ...]
    store: Address
    heartbeat_s: float
    memory_mb: float
    max_fds: int
    bounds: Bounds
    region: str = ""
    link_mbps: float = 0.0
    relay: Address | None = None
    endpoints_crash_out_of_memory: bool = False
    source_connections: int = 0
