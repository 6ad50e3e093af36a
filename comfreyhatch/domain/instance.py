"""Instances that the platform lists: daemons, model engines and plain services."""

from enum import Enum

from msgspec import Struct


class Role(Enum):
    """What runs on an instance."""

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
    """One row of the platform's list.

    Attributes:
        instance_id: Unique name.
        role: What runs on it.
        zone: Availability zone.
        address: Where it serves requests (engines, services) or forwarded requests (daemons).
        control: Control address of a daemon; None for endpoints.
        leaving: Whether it is about to go.
        service: Name of the plain service; empty otherwise.
        checks_fencing: Whether an engine refuses orders with an old fencing number.
    """

    instance_id: str
    role: Role
    zone: str
    address: Address
    control: Address | None = None
    leaving: bool = False
    service: str = ""
    checks_fencing: bool = True
