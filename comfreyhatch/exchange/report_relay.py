"""Carries reports between this daemon and its peers, with the queries that they make anyway."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from comfreyhatch.exchange.peer_reports import PeerReports, Report, ReportSender
from comfreyhatch.exchange.peers import PeerUpdate

# Readers that a daemon which follows none asks at a time; one of them may be silent.
READERS_PER_PULL = 2
# Peers whose last report is remembered; others send their reports once more.
MAX_KNOWN_READERS = 64

Send = Callable[[str, tuple[Report, ...]], Awaitable[None]]


class ReportRelay:
    """Sends this daemon's reports to the readers, and takes those of others from their answers."""

    def __init__(
        self,
        reports: PeerReports,
        readers: Callable[[float], list[str]],
        send: Send,
        wake: Callable[[], None],
    ) -> None:
        """Create a relay.

        Args:
            reports: Reports of this daemon and of others.
            readers: Returns the control addresses of the other readers at a monotonic time.
            send: Sends reports to an address with a query, and applies the answer.
            wake: Wakes the peers that wait for anything new.
        """
        self._reports = reports
        self._readers = readers
        self._send = send
        self._wake = wake
        self._sender = ReportSender(readers, send)
        self._seen_by_address: dict[str, int] = {}
        reports.send = self._submit

    def seen(self, address: str) -> int:
        """Return the revision up to which the reports of a peer are known; 0 for none."""
        return self._seen_by_address.get(address, 0)

    def receive(self, reports: tuple[Report, ...]) -> None:
        """Learn reports of other daemons, and wake the followers that wait for any."""
        if reports:
            self._reports.receive(reports, asyncio.get_running_loop().time())
            self._wake()

    def apply(self, update: PeerUpdate, address: str) -> None:
        """Take the reports of a peer's answer; a peer that has started anew gets this daemon's."""
        if update.reports_revision:
            seen = self._note_seen(address, update.reports_revision)
            if seen is not None and seen < update.reports_start:
                now = asyncio.get_running_loop().time()
                self._sender.hand_over(address, self._reports.since(0, now))
        self.receive(update.reports)

    async def pull(self, rng: Random, query: Callable[[str], Awaitable[None]]) -> None:
        """Ask random readers for reports.

        Args:
            rng: Source of the choice.
            query: Queries a peer and applies its answer.
        """
        readers = self._readers(asyncio.get_running_loop().time())
        chosen = rng.sample(readers, min(READERS_PER_PULL, len(readers)))
        await asyncio.gather(*(query(address) for address in chosen))

    async def stop(self) -> None:
        """Stop sending."""
        await self._sender.stop()

    def _submit(self, reports: list[Report], now: float) -> None:
        """Send reports of this daemon to the readers, or to its followers if it is one."""
        self._sender.submit(reports, now)
        self._wake()

    def _note_seen(self, address: str, revision: int) -> int | None:
        """Note up to which revision a peer's reports are known; return the one of before."""
        before = self._seen_by_address.pop(address, None)
        self._seen_by_address[address] = revision
        while len(self._seen_by_address) > MAX_KNOWN_READERS:
            self._seen_by_address.pop(next(iter(self._seen_by_address)))
        return before
