"""Spreads reports between daemons: to the readers, and from these to their followers.

Each kind of report has a room of its own, so that none pushes out another or holds it up.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Coroutine, Hashable, Iterable
from typing import Any, TypeVar

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.full_report import FullReport
from comfreyhatch.domain.leaving_report import LeavingReport
from comfreyhatch.domain.limit_report import LimitReport
from comfreyhatch.domain.part_report import PartReport, ReportKind
from comfreyhatch.domain.request_report import RequestReport
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.errors import PeerError

Report = PartReport | RequestReport | SessionReport | LimitReport | LeavingReport | FullReport
# Reports that a daemon keeps for others in each room, and that wait to be sent; older ones are
# dropped beyond this. Sessions are told of all at once as a roll-out begins.
MAX_REPORTS_BY_ROOM: dict[str, int] = {
    **{f"part-{kind.value}": 256 for kind in ReportKind},
    f"request-{ReportKind.CRASHED.value}": 128,  # each of many requests
    f"request-{ReportKind.SOUND.value}": 1024,
    f"request-{ReportKind.BLOCKED.value}": 1024,
    "session": 4096,
    "limit": 8192,
    "leaving": 8192,
    "full": 1024,
}
# Times that a report is sent to a reader that does not answer.
MAX_SENDS = 4
RESEND_PAUSE_S = 0.3
# Rounds of sending again that may run at the same time.
MAX_RESENDS = 8
# Reports that say the same within this time are one, whichever way they came.
SAME_REPORT_S = 1.0
MS_PER_S = 1000.0

R = TypeVar("R", bound=Report)
Send = Callable[[str, tuple[Report, ...]], Awaitable[None]]

log = logging.getLogger("comfreyhatch.reports")


class _Entry(Struct, frozen=True):
    """A report with its number and the monotonic time at which what it says was seen."""

    number: int
    at: float
    report: Report


class PeerReports:
    """Latest report on each subject, of this daemon and of others.

    Attributes:
        start: Revision before the first report, which tells one start of this daemon from another.
        revision: Number of the last report.
        send: Sends reports of this daemon to others, with the time.
    """

    def __init__(self, started_at: float) -> None:
        """Create it without any report.

        Args:
            started_at: Monotonic time in seconds. Revisions of a later start are higher, so that
                followers don't take the reports of a restarted reader for those they know.
        """
        self.start = max(1, int(started_at * MS_PER_S))
        self.revision = self.start
        self.send: Callable[[list[Report], float], None] = lambda reports, now: None
        self._learn_by_kind: dict[type[Any], Callable[[Any, float], None]] = {}
        self._entries_by_room: dict[str, OrderedDict[Hashable, _Entry]] = {
            room: OrderedDict() for room in MAX_REPORTS_BY_ROOM
        }

    def subscribe(self, kind: type[R], learn: Callable[[R, float], None]) -> None:
        """Call a function with each new report of one kind from other daemons, and the time."""
        self._learn_by_kind[kind] = learn

    def publish(self, reports: Iterable[Report], now: float) -> None:
        """Tell other daemons what this one has seen."""
        found = list(reports)
        if found:
            self._add(found, now)
            self.send(found, now)

    def receive(self, reports: Iterable[Report], now: float) -> None:
        """Learn from reports of other daemons, and keep them for followers."""
        for report in self._add(reports, now):
            learn = self._learn_by_kind.get(type(report))
            if learn is not None:
                learn(report, now)

    def since(self, revision: int, now: float) -> tuple[Report, ...]:
        """Return the reports after a revision, with their ages; all if it is not of this start.

        Args:
            revision: Revision up to which they are known; 0 for none.
            now: Monotonic time in seconds.
        """
        known = revision if revision <= self.revision else 0
        found: list[_Entry] = []
        for entries in self._entries_by_room.values():
            for entry in reversed(entries.values()):
                if entry.number <= known:
                    break
                found.append(entry)
        found.sort(key=lambda entry: entry.number)
        return tuple(replace(entry.report, age_s=now - entry.at) for entry in found)

    def _add(self, reports: Iterable[Report], now: float) -> list[Report]:
        """Add reports, and return the new ones: each comes back from the readers it was sent to."""
        return [report for report in reports if self._add_if_new(report, now)]

    def _add_if_new(self, report: Report, now: float) -> bool:
        entries = self._entries_by_room[report.room]
        at, said = now - report.age_s, replace(report, age_s=0.0)
        known = entries.get(report.subject)
        if known is not None and known.report == said and at - known.at < SAME_REPORT_S:
            return False
        if known is not None and at < known.at:
            return False
        self.revision += 1
        entries[report.subject] = _Entry(self.revision, at, said)
        entries.move_to_end(report.subject)
        if len(entries) > MAX_REPORTS_BY_ROOM[report.room]:
            entries.popitem(last=False)
        return True


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
        self._unsent_by_room: dict[str, OrderedDict[Hashable, tuple[float, Report]]] = {
            room: OrderedDict() for room in MAX_REPORTS_BY_ROOM
        }
        self._task: asyncio.Task[None] | None = None
        self._resends: set[asyncio.Task[None]] = set()

    def submit(self, reports: Iterable[Report], now: float) -> None:
        """Send reports soon."""
        for report in reports:
            unsent = self._unsent_by_room[report.room]
            unsent[report.subject] = (now - report.age_s, report)
            if len(unsent) > MAX_REPORTS_BY_ROOM[report.room]:
                unsent.popitem(last=False)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def hand_over(self, address: str, reports: Iterable[Report]) -> None:
        """Send reports to a daemon that has started anew and lost those that it kept."""
        found = tuple(report for report in reports if not isinstance(report, SessionReport))
        if found and len(self._resends) < MAX_RESENDS:
            log.info("event=reports_handed_over peer=%s count=%d", address, len(found))
            self._start_resend(self._hand_over(address, found))

    async def _hand_over(self, address: str, reports: tuple[Report, ...]) -> None:
        await self._try_send(address, reports)

    async def stop(self) -> None:
        """Stop sending."""
        tasks = [*self._resends, *([self._task] if self._task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        while reports := self._take_unsent():
            reached = await self._send_to_missing(reports, set())
            if reached is not None:
                self._resend(reports, reached)

    def _take_unsent(self) -> tuple[tuple[float, Report], ...]:
        found = tuple(r for unsent in self._unsent_by_room.values() for r in unsent.values())
        for unsent in self._unsent_by_room.values():
            unsent.clear()
        return found

    def _resend(self, reports: tuple[tuple[float, Report], ...], reached: set[str]) -> None:
        """Send reports again to readers that did not answer, beside reports that come later."""
        if len(self._resends) >= MAX_RESENDS:
            log.warning("event=reports_not_sent count=%d", len(reports))
            return
        self._start_resend(self._send_again(reports, reached))

    def _start_resend(self, sending: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(sending)
        self._resends.add(task)
        task.add_done_callback(self._resends.discard)

    async def _send_again(
        self, reports: tuple[tuple[float, Report], ...], reached: set[str]
    ) -> None:
        for _ in range(MAX_SENDS - 1):
            await asyncio.sleep(RESEND_PAUSE_S)
            missing = await self._send_to_missing(reports, reached)
            if missing is None:
                return
            reached = missing
        log.warning("event=reports_not_sent count=%d", len(reports))

    async def _send_to_missing(
        self, reports: tuple[tuple[float, Report], ...], reached: set[str]
    ) -> set[str] | None:
        """Send reports to the readers in force that don't have them.

        Returns:
            Addresses that have them by now; None if no reader is missing.
        """
        now = asyncio.get_running_loop().time()
        aged = tuple(replace(report, age_s=now - at) for at, report in reports)
        missing = [address for address in self._readers(now) if address not in reached]
        results = await asyncio.gather(*(self._try_send(a, aged) for a in missing))
        if all(results):
            return None
        return reached | {address for address, sent in zip(missing, results, strict=True) if sent}

    async def _try_send(self, address: str, reports: tuple[Report, ...]) -> bool:
        try:
            await self._send(address, reports)
        except PeerError as error:
            log.info("event=reports_unsent peer=%s reason=%r", address, str(error))
            return False
        return True
