"""Idle connections of the HTTP client, by address."""

import logging

from comfreyhatch.adapters.answer_identity import RequestIdentity, id_text
from comfreyhatch.adapters.http_link import HttpLink
from comfreyhatch.domain.instance import Address

IDLE_PER_ADDRESS = 64

log = logging.getLogger("comfreyhatch.client")


class IdleLinks:
    """Keeps connections that wait for their next request; the one that came last goes first."""

    def __init__(self) -> None:
        self._links_by_address: dict[Address, list[HttpLink]] = {}

    def at(self, address: Address) -> tuple[HttpLink, ...]:
        """Return the connections to an address; the one that is used next is last."""
        return tuple(self._links_by_address.get(address, ()))

    def take(
        self, address: Address, identity: RequestIdentity | None, now: float
    ) -> HttpLink | None:
        """Return a connection that is likely to be open still; None without one.

        Connections that have carried the id of the request are passed over, whoever sent it.

        Args:
            address: Where it leads.
            identity: What the answer to the request says of it; None if it names no id.
            now: Present monotonic time in seconds.
        """
        links = self._links_by_address.get(address, [])
        for link in reversed(tuple(links)):
            if not link.fresh(now):
                links.remove(link)
                link.close()
            elif link.carried.allows(identity):
                links.remove(link)
                link.idle = False
                return link
        if links:
            text = "event=connections_passed_over address=%s id=%s count=%d"
            log.info(text, address, id_text(identity), len(links))
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
