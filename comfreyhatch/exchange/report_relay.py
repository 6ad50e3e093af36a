"""Carries reports between this daemon and its peers, with the queries that they make anyway."""

import asyncio
from bisect import bisect
from collections.abc import Awaitable, Callable

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
        self._passed_over = 0
        self._start_by_address: dict[str, int] = {}
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
        self.note_start(address, update.reports_start)
        if update.reports_revision:
            _remember(self._seen_by_address, address, update.reports_revision)
        self.receive(update.reports)

    def note_start(self, address: str, start: int) -> None:
        """Note which start of a peer has answered; one that has started anew gets the reports.

        Args:
            address: Address of the peer.
            start: Revision of the peer's reports at its start; 0 if it keeps none.
        """
        if not start:
            return
        known = self._start_by_address.get(address, start)
        _remember(self._start_by_address, address, start)
        if known < start:
            now = asyncio.get_running_loop().time()
            self._sender.hand_over(address, self._reports.since(0, now))

    async def pull(self, own_address: str, query: Callable[[str], Awaitable[bool]]) -> None:
        """Ask the readers that follow this daemon in the order of addresses for reports.

        Each reader gets a report from two others, however many there are. Those that do not answer
        are passed over the next time.

        Args:
            own_address: Control address of this daemon.
            query: Queries a peer, applies its answer and returns whether there was one.
        """
        readers = sorted(self._readers(asyncio.get_running_loop().time()))
        first = bisect(readers, own_address) + self._passed_over
        count = min(READERS_PER_PULL, len(readers))
        chosen = [readers[(first + n) % len(readers)] for n in range(count)]
        answered = await asyncio.gather(*(query(address) for address in chosen))
        self._passed_over += answered.count(False)

    async def stop(self) -> None:
        """Stop sending."""
        await self._sender.stop()

    def _submit(self, reports: list[Report], now: float) -> None:
        """Send reports of this daemon to the readers, or to its followers if it is one."""
        self._sender.submit(reports, now)
        self._wake()


def _remember(value_by_address: dict[str, int], address: str, value: int) -> None:
    """Set the value of a peer; the peers heard of longest ago are forgotten."""
    value_by_address.pop(address, None)
    value_by_address[address] = value
    while len(value_by_address) > MAX_KNOWN_READERS:
        value_by_address.pop(next(iter(value_by_address)))
