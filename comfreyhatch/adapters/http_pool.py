"""Idle connections of the HTTP client, by address."""

from comfreyhatch.adapters.http_link import HttpLink
from comfreyhatch.domain.instance import Address

IDLE_PER_ADDRESS = 64


class IdleLinks:
    """Keeps connections that wait for their next request; the one that came last goes first."""

    def __init__(self) -> None:
        self._links_by_address: dict[Address, list[HttpLink]] = {}

    def at(self, address: Address) -> tuple[HttpLink, ...]:
        """Return the connections to an address; the one that is used next is last."""
        return tuple(self._links_by_address.get(address, ()))

    def take(self, address: Address, now: float) -> HttpLink | None:
        """Return a connection to an address that is likely to be open still; None without one.

        Args:
            address: Where it leads.
            now: Present monotonic time in seconds.
        """
        links = self._links_by_address.get(address, [])
        while links:
            link = links.pop()
            if link.fresh(now):
                link.idle = False
                return link
            link.close()
        return None

    def keep(self, address: Address, link: HttpLink, now: float) -> None:
        """Keep a connection for later requests, unless there are many already.

        Args:
            address: Where it leads.
            link: The connection.
            now: Present monotonic time in seconds.
        """
        links = self._links_by_address.setdefault(address, [])
        if len(links) >= IDLE_PER_ADDRESS:
            link.close()
            return
        link.idle = True
        link.idle_since = now
        links.append(link)

    def drop(self, address: Address) -> None:
        """Close the connections to an address at once."""
        for link in self._links_by_address.pop(address, []):
            link.drop()

    def close(self) -> None:
        """Close all connections."""
        for links in self._links_by_address.values():
            for link in links:
                link.close()
        self._links_by_address.clear()
