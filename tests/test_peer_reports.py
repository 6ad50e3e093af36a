"""How reports reach other daemons."""

import asyncio

from comfreyhatch.domain.part_report import PartReport, ReportKind
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.errors import PeerError
from comfreyhatch.exchange.peer_reports import (
    MAX_REPORTS_BY_ROOM,
    PeerReports,
    Report,
    ReportSender,
)
from comfreyhatch.exchange.report_relay import ReportRelay
from tests.platform_harness import BOUNDS, running_harness

REPORT = PartReport(ReportKind.BLOCKED, frozenset({"bad"}))


def test_follower_gets_each_report_once_with_its_age() -> None:
    log = PeerReports(1.0)
    log.publish([REPORT], 5.0)
    (known,) = log.since(0, 7.0)
    assert known.age_s == 2.0
    assert log.since(log.revision, 7.0) == ()


def test_report_that_comes_back_is_not_new() -> None:
    log = PeerReports(1.0)
    learned: list[float] = []
    log.subscribe(PartReport, lambda report, now: learned.append(now))
    log.publish([REPORT], 5.0)
    log.receive([PartReport(REPORT.kind, REPORT.part_ids, age_s=0.4)], 5.4)
    log.receive([REPORT], 9.0)
    assert learned == [9.0]


def test_reports_of_a_restarted_reader_are_new() -> None:
    before = PeerReports(1.0)
    for number in range(50):
        before.publish([PartReport(ReportKind.SOUND, frozenset({str(number)}))], 1.0)
    after = PeerReports(2.0)
    after.publish([REPORT], 3.0)
    assert len(after.since(before.revision, 3.0)) == 1


def test_log_is_bounded() -> None:
    log = PeerReports(1.0)
    log.publish([PartReport(REPORT.kind, frozenset({str(n)})) for n in range(1000)], 1.0)
    assert len(log.since(0, 1.0)) == MAX_REPORTS_BY_ROOM[REPORT.room]


def test_reports_of_one_kind_do_not_push_out_another() -> None:
    # Of one report of a crash and 300 of sessions, followers got the last 256.
    log = PeerReports(1.0)
    log.publish([REPORT], 1.0)
    sessions = [SessionReport("s", "v2", str(n)) for n in range(10_000)]
    log.publish(sessions, 1.0)
    kept = log.since(0, 1.0)
    assert kept[0] == REPORT
    assert kept[-1] == sessions[-1]


async def test_reports_of_one_kind_do_not_push_out_another_before_they_are_sent() -> None:
    sent: list[Report] = []

    async def send(address: str, reports: tuple[Report, ...]) -> None:
        sent.extend(reports)

    sender = ReportSender(lambda now: ["reader"], send)
    now = asyncio.get_running_loop().time()
    sender.submit([REPORT], now)
    sender.submit([SessionReport("s", "v2", str(n)) for n in range(10_000)], now)
    async with asyncio.timeout(5):
        while not sent:
            await asyncio.sleep(0.01)
    await sender.stop()
    assert any(isinstance(report, PartReport) for report in sent)


async def test_reports_do_not_wait_for_a_reader_that_is_silent_to_earlier_ones() -> None:
    # A round of sending tried a silent reader for up to 2.8 s before it took up the next report.
    heard: list[str] = []

    async def send(address: str, reports: tuple[Report, ...]) -> None:
        if address == "silent":
            await asyncio.sleep(0.2)
            raise PeerError("no answer")
        heard.extend(str(report.subject) for report in reports)

    sender = ReportSender(lambda now: ["silent", "reader"], send)
    now = asyncio.get_running_loop().time()
    sender.submit([REPORT], now)
    await asyncio.sleep(0.05)
    later = SessionReport("s", "v2", "later")
    sender.submit([later], now)
    async with asyncio.timeout(0.6):
        while str(later.subject) not in heard:
            await asyncio.sleep(0.01)
    await sender.stop()


def test_older_report_on_a_subject_does_not_replace_a_later_one() -> None:
    log = PeerReports(1.0)
    log.receive([REPORT], 9.0)
    before = log.revision
    log.receive([PartReport(REPORT.kind, REPORT.part_ids, age_s=5.0)], 9.1)
    assert log.revision == before


async def test_report_is_sent_again_to_the_reader_that_replaces_a_silent_one() -> None:
    sent: list[str] = []

    async def send(address: str, reports: tuple[Report, ...]) -> None:
        if address == "silent":
            raise PeerError("no answer")
        sent.append(address)

    readers = [["silent", "first"], ["second", "first"]]
    sender = ReportSender(lambda now: readers.pop(0) if len(readers) > 1 else readers[0], send)
    sender.submit([REPORT], asyncio.get_running_loop().time())
    async with asyncio.timeout(5):
        while "second" not in sent:
            await asyncio.sleep(0.01)
    await sender.stop()
    assert sent == ["first", "second"]


async def test_report_reaches_all_daemons_within_their_bound() -> None:
    async with running_harness() as harness:
        for _ in range(3):
            await harness.start_daemon(harness.store.address)
        names = {deployment.instance for deployment in harness.deployments}
        await harness.wait_until(lambda: all(names <= d.view.daemons() for d in harness.daemons))
        for daemon in harness.daemons:
            now = asyncio.get_running_loop().time()
            report = PartReport(ReportKind.BLOCKED, frozenset({f"bad-{id(daemon)}"}))
            daemon._reports.publish([report], now)
            async with asyncio.timeout(BOUNDS.contact_s):
                while not all(_has(d, report) for d in harness.daemons):
                    await asyncio.sleep(0.01)


def _has(daemon: object, report: PartReport) -> bool:
    reports: PeerReports = daemon._reports  # type: ignore[attr-defined]
    return any(known.subject == report.subject for known in reports.since(0, 0.0))


async def test_daemon_pulls_from_the_next_readers_while_those_behind_it_are_silent() -> None:
    asked: list[str] = []

    async def send(address: str, reports: tuple[Report, ...]) -> None:
        """Send nothing."""

    async def query(address: str) -> bool:
        asked.append(address)
        return address not in ("r2", "r3")

    relay = ReportRelay(PeerReports(1.0), lambda now: ["r0", "r2", "r3", "r4"], send, lambda: None)
    for _ in range(3):
        await relay.pull("r1", query)
    assert asked == ["r2", "r3", "r4", "r0", "r4", "r0"]
