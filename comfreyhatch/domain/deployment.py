"""What a daemon's settings say of its instance and of the bounds that it has to keep."""

from msgspec import Struct

from comfreyhatch.domain.instance import Address


class Bounds(Struct, frozen=True):
    """Bounds of the deployment; times in seconds.

    Attributes:
        contact_s: How long an instance is without trouble before time bounds hold for it.
        drain_s: Time after which a draining endpoint gets nothing more.
        grace_s: Time from SIGTERM to SIGKILL.
        config_s: Time after which a configuration is in force.
        retry_ratio: Further arrivals allowed at a service, as a share of its requests.
        retry_slack: Further arrivals allowed beside that share.
        retry_window_s: Window in which arrivals are counted.
        expose_share: Share of a service's requests that a bad version may get.
        rollback_s: Time in which a bad version has to be rolled back.
        cold_over: Factor on what a cold endpoint bears.
        cold_slack: Requests a second that a cold endpoint bears beside that.
        session_s: Longest pause between two requests of one session.
        prefix_life_s: Time within which reading a shared part of a prompt again costs.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    config_s: float = 2.0
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    expose_share: float = 0.1
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
        control: Address where peers ask; None when the instance serves no peers.
        seeds: Control addresses of some peers; may be stale.
        store: Address of the platform's store.
        heartbeat_s: Interval at which endpoints renew their records.
        memory_mb: Memory of the instance.
        max_fds: Descriptors that the process may have.
        bounds: Bounds to keep.
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
