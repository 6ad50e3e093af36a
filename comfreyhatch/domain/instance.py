"""Entries of the platform's instance list: daemons, model engines and plain services."""

from enum import Enum

from msgspec import Struct


class Role(Enum):
    """Kind of process that runs on an instance."""

    DAEMON = "daemon"
    ENGINE = "engine"
    SERVICE = "service"


class Address(Struct, frozen=True, order=True):
    """Host and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Instance(Struct, frozen=True):
    """One entry of the platform's instance list.

    Attributes:
        instance_id: Unique name.
        role: Kind of process that runs on it.
        zone: Availability zone.
        address: Address for requests (engines, services) or forwarded requests (daemons).
        control: Control address of a daemon; None for endpoints.
        leaving: Whether it is shutting down.
        service: Name of the plain service; empty for daemons and engines.
        checks_fencing: Whether an engine refuses orders with an outdated fencing number.
    """

    instance_id: str
    role: Role
    zone: str
    address: Address
    control: Address | None = None
    leaving: bool = False
    service: str = ""
    checks_fencing: bool = True
