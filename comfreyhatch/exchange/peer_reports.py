"""Spreads reports between daemons: to the readers, and from these to their followers."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

from msgspec.structs import replace

from comfreyhatch.domain.part_report import PartReport
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.errors import PeerError

# Reports that a reader keeps for its followers.
MAX_KEPT_REPORTS = 256
# Reports that wait to be sent; older ones are dropped beyond this.
MAX_UNSENT_REPORTS = 256
# Times that reports are sent to the readers in force, until one has them.
MAX_SENDS = 4
RESEND_PAUSE_S = 0.3
# Reports that say the same within this time are one, whichever way they came.
SAME_REPORT_S = 1.0
MS_PER_S = 1000.0

Report = PartReport | SessionReport
Send = Callable[[str, tuple[Report, ...]], Awaitable[None]]

log = logging.getLogger("comfreyhatch.reports")


class PeerReports:
    """Reports of this daemon and of others, in the order in which they came.

    Attributes:
        revision: Number of the last report.
        learn_part: Called with a new report of another daemon on prompt parts, and the time.
        learn_session: Called with a new report of another daemon on a session, and the time.
        send: Sends reports of this daemon to others, with the time.
    """

    def __init__(self, started_at: float) -> None:
        """Create it without any report.

        Args:
            started_at: Monotonic time in seconds. Revisions of a later start are higher, so that
                followers don't take the reports of a restarted reader for those they know.
        """
        self.revision = max(1, int(started_at * MS_PER_S))
        self.learn_part: Callable[[PartReport, float], None] = lambda report, now: None
        self.learn_session: Callable[[SessionReport, float], None] = lambda report, now: None
        self.send: Callable[[list[Report], float], None] = lambda reports, now: None
        self._entries: deque[tuple[int, float, Report]] = deque(maxlen=MAX_KEPT_REPORTS)

    def publish(self, reports: Iterable[Report], now: float) -> None:
        """Tell other daemons what this one has seen."""
        found = list(reports)
        if found:
            self._add(found, now)
            self.send(found, now)

    def receive(self, reports: Iterable[Report], now: float) -> None:
        """Learn from reports of other daemons, and keep them for followers."""
        for report in self._add(reports, now):
            if isinstance(report, PartReport):
                self.learn_part(report, now)
            else:
                self.learn_session(report, now)

    def since(self, revision: int, now: float) -> tuple[Report, ...]:
        """Return the reports after a revision, with their ages; all if it is not of this start.

        Args:
            revision: Revision up to which they are known; 0 for none.
            now: Monotonic time in seconds.
        """
        known = revision if revision <= self.revision else 0
        return tuple(
            replace(report, age_s=now - at)
            for number, at, report in self._entries
            if number > known
        )

    def _add(self, reports: Iterable[Report], now: float) -> list[Report]:
        """Add reports, and return the new ones: each comes back from the readers it was sent to."""
        new = [report for report in reports if not self._has(report, now)]
        for report in new:
            self.revision += 1
            self._entries.append((self.revision, now - report.age_s, replace(report, age_s=0.0)))
        return new

    def _has(self, report: Report, now: float) -> bool:
        said = replace(report, age_s=0.0)
        at = now - report.age_s
        return any(
            known == said and abs(known_at - at) < SAME_REPORT_S
            for _, known_at, known in self._entries
        )


class ReportSender:
    """Sends this daemon's reports to the daemons that pass them on."""

    def __init__(self, readers: Callable[[float], list[str]], send: Send) -> None:
        """Create a sender.

        Args:
            readers: Returns the control addresses of the other readers at a monotonic time.
            send: Sends reports to an address.
        """
        self._readers = readers
        self._send = send
        self._unsent: deque[tuple[float, Report]] = deque(maxlen=MAX_UNSENT_REPORTS)
        self._task: asyncio.Task[None] | None = None

    def submit(self, reports: Iterable[Report], now: float) -> None:
        """Send reports soon."""
        self._unsent.extend((now - report.age_s, report) for report in reports)
        if self._unsent and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while self._unsent:
            reports = tuple(self._unsent)
            self._unsent.clear()
            await self._send_to_readers(reports)

    async def _send_to_readers(self, reports: tuple[tuple[float, Report], ...]) -> None:
        """Send reports to all readers; those that fail are tried again, or replaced by others."""
        loop = asyncio.get_running_loop()
        reached: set[str] = set()
        for _ in range(MAX_SENDS):
            now = loop.time()
            aged = tuple(replace(report, age_s=now - at) for at, report in reports)
            missing = [address for address in self._readers(now) if address not in reached]
            results = await asyncio.gather(*(self._try_send(a, aged) for a in missing))
            reached |= {address for address, sent in zip(missing, results, strict=True) if sent}
            if all(results):
                return
            await asyncio.sleep(RESEND_PAUSE_S)
        log.warning("event=reports_not_sent count=%d", len(reports))

    async def _try_send(self, address: str, reports: tuple[Report, ...]) -> bool:
        try:
            await self._send(address, reports)
        except PeerError as error:
            log.info("event=reports_unsent peer=%s reason=%r", address, str(error))
            return False
        return True
