"""Membership view and message bus between daemons, with an in-memory bus."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from msgspec import Struct

from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PeerTimeoutError

M = TypeVar("M", bound=Struct)
R = TypeVar("R", bound=Struct)
Handler = Callable[[str, Any], Awaitable[Struct | None]]


class Member(Struct, frozen=True, array_like=True):
    """A daemon, as known by its peers.

    Attributes:
        instance_id: Name of the instance.
        incarnation: Identifier of this start of the process; a restart or pause makes a new one.
        zone: Availability zone.
        control: Address of its listener for peer messages.
        http: Address of its listener for forwarded requests.
        leaving: Whether it is shutting down.
        revision: Configuration revision that it last reported as in force.
    """

    instance_id: str
    incarnation: str
    zone: str
    control: Address
    http: Address
    leaving: bool = False
    revision: int = 0


def may_be_process(member: Member, process_incarnation: str) -> bool:
    """Return whether a member may be the process that started with an incarnation.

    A process that was paused goes on as a new incarnation: that of its start, a dot and the number
    of pauses. The incarnation of a member that is known only from the instance list is empty; such
    a member may be any process.
    """
    known = member.incarnation
    return not known or known == process_incarnation or known.startswith(f"{process_incarnation}.")


class MembershipView(Struct, frozen=True):
    """The live daemons known to this daemon, including itself, by instance id."""

    member_by_id: dict[str, Member] = {}

    def in_zone(self, zone: str) -> list[Member]:
        """Return the members of a zone, sorted by instance id."""
        members = (m for m in self.member_by_id.values() if m.zone == zone)
        return sorted(members, key=lambda member: member.instance_id)


class PeerBus(Protocol):
    """Sends typed messages to other daemons, without a delivery guarantee.

    A message type is a tagged Struct; its tag names it on the wire.
    """

    def set_address(self, instance_id: str, address: Address) -> None:
        """Set a peer's address; the id "@host:port" denotes a peer whose name is unknown."""
        ...

    def remove_address(self, instance_id: str) -> None:
        """Remove a peer's address."""
        ...

    def on_message(self, message_type: type[M], handler: Handler) -> None:
        """Register the handler of a message type.

        The handler receives the sender's instance id and the message. Its return value is the
        reply to a request; it is ignored for a message sent with `send`.
        """
        ...

    async def send(self, instance_id: str, message: Struct) -> None:
        """Send a message without a reply; it may be lost, duplicated or delayed."""
        ...

    async def request(
        self, instance_id: str, message: Struct, reply_type: type[R], timeout_s: float
    ) -> R:
        """Send a message and return its reply.

        Raises:
            PeerTimeoutError: If no reply came in time.
        """
        ...


class MemoryNetwork:
    """Connects in-memory buses; single links (sender, recipient) can be cut."""

    def __init__(self) -> None:
        self.bus_by_id: dict[str, MemoryBus] = {}
        self.cut: set[tuple[str, str]] = set()

    def join(self, instance_id: str) -> "MemoryBus":
        """Return a new bus for an instance."""
        bus = MemoryBus(self, instance_id)
        self.bus_by_id[instance_id] = bus
        return bus

    def reachable(self, sender: str, recipient: str) -> bool:
        """Return whether messages from one instance reach another."""
        return recipient in self.bus_by_id and (sender, recipient) not in self.cut


class MemoryBus:
    """In-memory message bus."""

    def __init__(self, network: MemoryNetwork, instance_id: str) -> None:
        self.instance_id = instance_id
        self._network = network
        self._handler_by_type: dict[type[Struct], Handler] = {}

    def set_address(self, instance_id: str, address: Address) -> None:
        """Do nothing: the network finds every bus by its id."""

    def remove_address(self, instance_id: str) -> None:
        """Do nothing."""

    def on_message(self, message_type: type[M], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handler_by_type[message_type] = handler

    async def send(self, instance_id: str, message: Struct) -> None:
        """Deliver a message unless the link is cut."""
        if self._network.reachable(self.instance_id, instance_id):
            await self._network.bus_by_id[instance_id].deliver(self.instance_id, message)

    async def request(
        self, instance_id: str, message: Struct, reply_type: type[R], timeout_s: float
    ) -> R:
        """Deliver a message and return its reply."""
        both = (instance_id, self.instance_id), (self.instance_id, instance_id)
        if not all(self._network.reachable(*pair) for pair in both):
            raise PeerTimeoutError(f"peer {instance_id} is not reachable")
        reply = await self._network.bus_by_id[instance_id].deliver(self.instance_id, message)
        if not isinstance(reply, reply_type):
            raise PeerTimeoutError(f"peer {instance_id} gave no reply")
        return reply

    async def deliver(self, sender: str, message: Struct) -> Struct | None:
        """Pass a message to its handler and return the reply."""
        handler = self._handler_by_type.get(type(message))
        return await handler(sender, message) if handler else None
