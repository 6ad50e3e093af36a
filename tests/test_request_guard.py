"""Which requests are blamed for crashes of endpoints, and when they are let go."""

import asyncio

import pytest

from comfreyhatch.decisions.crashing_requests import (
    BLAME_S,
    BLOCK_REPORT_INTERVAL_S,
    CRASH_MEMORY_S,
    FIRST_TRIAL_S,
    MAX_ATTEMPTS,
    MAX_BLOCKS,
    MAX_CANDIDATES,
    MAX_COMPLETE,
    MAX_SUSPECTS,
    MIN_CRASHES,
    SAME_CRASH_S,
    TRIAL_FACTOR,
    TRIAL_TURN_S,
    CrashingRequests,
)
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.part_report import ReportKind
from comfreyhatch.domain.request_report import RequestReport
from comfreyhatch.errors import AnswerBrokenError, EndpointUnreachableError, RequestBlockedError
from comfreyhatch.exchange.crash_guard import CrashGuard
from tests.exchange_values import crash_guard, crash_probe, job, record

BAD = b"bad"


def first(request: bytes, trials: int) -> int:
    return 0


def third(request: bytes, trials: int) -> int:
    return 2


def crash(found: CrashingRequests, start: str, at: float, request: bytes = BAD) -> None:
    """Let an endpoint crash under a request."""
    attempt = found.begin(request, start, at - 0.05)
    found.leave(attempt, at)
    found.note_crash(start, at, at)


def is_blocked(found: CrashingRequests, now: float, request: bytes = BAD) -> bool:
    return found.is_blocked(request, first, now)


@pytest.fixture
def found() -> CrashingRequests:
    """A request that three crashes have in common, the last of them at 3 s."""
    requests = CrashingRequests()
    for number in range(MIN_CRASHES):
        crash(requests, f"e{number}/1", 1.0 + number)
    return requests


def test_request_is_blocked_at_its_third_crash(found: CrashingRequests) -> None:
    assert is_blocked(found, 3.1)
    assert not is_blocked(found, 3.1, b"other")


def test_fewer_crashes_block_nothing() -> None:
    requests = CrashingRequests()
    for number in range(MIN_CRASHES - 1):
        crash(requests, f"e{number}/1", 1.0)
    assert not is_blocked(requests, 2.0)


def test_crash_that_several_daemons_have_seen_counts_once() -> None:
    requests = CrashingRequests()
    crash(requests, "e1/1", 1.0)
    for age_s in (0.0, 0.3, 0.6):
        report = RequestReport(ReportKind.CRASHED, frozenset({BAD}), "e1/1", age_s=age_s)
        requests.merge(report, 2.0)
    assert requests.crashes(BAD) == 1


def test_endpoint_that_crashes_again_before_it_registers_counts_again() -> None:
    # While the store is away, no new start is known.
    requests = CrashingRequests()
    for number in range(MIN_CRASHES):
        crash(requests, "e1/1", 1.0 + 1.1 * number * SAME_CRASH_S)
    assert is_blocked(requests, 8.0)


def test_complete_answer_clears_the_request_and_is_told(found: CrashingRequests) -> None:
    (report,) = found.note_complete(BAD, 3.5)
    assert (report.kind, report.requests) == (ReportKind.SOUND, {BAD})
    assert not is_blocked(found, 3.6)
    assert found.crashes(BAD) == 0
    assert found.note_complete(BAD, 3.7) == []


def test_complete_answer_of_another_daemon_clears_the_request(found: CrashingRequests) -> None:
    found.merge(RequestReport(ReportKind.SOUND, frozenset({BAD}), age_s=0.1), 3.5)
    assert not is_blocked(found, 3.6)


def test_crash_from_before_a_complete_answer_counts_nothing_and_is_answered() -> None:
    requests = CrashingRequests()
    requests.note_complete(BAD, 5.0)
    report = RequestReport(ReportKind.CRASHED, frozenset({BAD}), "e1/1", age_s=0.5)
    (answer,) = requests.complete_reports(requests.merge(report, 5.2), 5.2)
    assert answer.kind is ReportKind.SOUND and answer.age_s == pytest.approx(0.2)
    assert requests.crashes(BAD) == 0


def test_block_told_late_does_not_outlive_a_complete_answer(found: CrashingRequests) -> None:
    found.note_complete(BAD, 10.0)
    late = RequestReport(ReportKind.BLOCKED, frozenset({BAD}), age_s=8.0)
    found.merge(late, 11.0)
    assert not is_blocked(found, 11.1)


def test_request_that_was_not_run_is_no_suspect() -> None:
    requests = CrashingRequests()
    for number in range(MIN_CRASHES):
        start = f"e{number}/1"
        requests.discard(requests.begin(BAD, start, 1.0))
        assert requests.note_crash(start, 1.1, 1.1) == []
    assert not is_blocked(requests, 2.0)


def test_request_whose_caller_has_left_is_a_suspect_for_some_time() -> None:
    requests = CrashingRequests()
    requests.leave(requests.begin(BAD, "e1/1", 1.0), 1.2)
    requests.leave(requests.begin(BAD, "e2/1", 1.0), 1.2)
    assert requests.note_crash("e1/1", 1.2 + 0.9 * BLAME_S, 4.0)
    assert not requests.note_crash("e2/1", 1.2 + 1.1 * BLAME_S, 4.0)


def test_trials_come_ever_later_and_by_one_daemon_first(found: CrashingRequests) -> None:
    due_at = 3.0 + FIRST_TRIAL_S
    assert is_blocked(found, due_at - 0.1)
    assert not is_blocked(found, due_at)
    assert found.is_blocked(BAD, third, due_at)
    assert not found.is_blocked(BAD, third, due_at + 2 * TRIAL_TURN_S)
    (told,) = found.note_sent(BAD, due_at)
    assert told.trials == 1
    crash(found, "e9/1", due_at + 0.1)
    assert is_blocked(found, due_at + FIRST_TRIAL_S * TRIAL_FACTOR - 0.1)
    assert not is_blocked(found, due_at + FIRST_TRIAL_S * TRIAL_FACTOR + 0.1)


def test_trial_of_another_daemon_puts_off_the_next(found: CrashingRequests) -> None:
    at = 3.0 + FIRST_TRIAL_S
    found.merge(RequestReport(ReportKind.BLOCKED, frozenset({BAD}), trials=1, age_s=0.2), at + 0.2)
    assert is_blocked(found, at + 0.3)
    assert not is_blocked(found, at + FIRST_TRIAL_S * TRIAL_FACTOR)


def test_daemon_that_learns_of_a_block_refuses() -> None:
    requests = CrashingRequests()
    requests.merge(RequestReport(ReportKind.BLOCKED, frozenset({BAD}), age_s=1.0), 9.0)
    assert is_blocked(requests, 9.0)


def test_block_is_told_again_while_it_refuses(found: CrashingRequests) -> None:
    told = [found.note_refused(BAD, 3.0 + number) for number in range(31)]
    assert sum(map(len, told)) == int(30 / BLOCK_REPORT_INTERVAL_S)


def test_block_is_forgotten_when_the_request_does_not_come(found: CrashingRequests) -> None:
    assert not is_blocked(found, 3.0 + 1.1 * CRASH_MEMORY_S)
    assert found.crashes(BAD) == 0


def test_memory_is_bounded() -> None:
    requests = CrashingRequests()
    for number in range(MAX_ATTEMPTS + 10):
        requests.begin(b"%d" % number, "e1/1", 1.0)
    (report,) = requests.note_crash("e1/1", 1.1, 1.1)
    assert len(report.requests) == MAX_CANDIDATES
    for number in range(MAX_SUSPECTS + 10):
        report = RequestReport(ReportKind.CRASHED, frozenset({b"s%d" % number}), "e2/1")
        requests.merge(report, 2.0)
    for number in range(MAX_BLOCKS + 10):
        requests.merge(RequestReport(ReportKind.BLOCKED, frozenset({b"b%d" % number})), 2.0)
    for number in range(MAX_COMPLETE + 10):
        requests.note_complete(b"c%d" % number, 2.0)
    assert len(requests._crashes_by_request) == MAX_SUSPECTS
    assert len(requests._block_by_request) == MAX_BLOCKS
    assert len(requests._complete_at_by_request) == MAX_COMPLETE


def test_attempts_that_were_left_are_forgotten() -> None:
    requests = CrashingRequests()
    for number in range(1000):
        requests.leave(requests.begin(b"%d" % number, f"e{number}/1", 1.0), 1.1)
    requests.begin(BAD, "e/1", 1.2 + BLAME_S)
    assert len(requests._attempts_by_start) == 1


async def _break_attempts(guard: CrashGuard, error: Exception) -> None:
    """Let attempts of one request at several endpoints fail."""
    for number in range(MIN_CRASHES):
        now = asyncio.get_running_loop().time()
        endpoint = EndpointTracker(record(f"e{number}"), now)
        attempt = guard.begin(job(), endpoint, now)
        await guard.end_failed(attempt, error)


async def test_request_is_refused_as_soon_as_its_third_attempt_has_failed() -> None:
    guard = crash_guard(crash_probe(down=True))
    await _break_attempts(guard, AnswerBrokenError("reset"))
    refusal = guard.refusal(job(), asyncio.get_running_loop().time())
    assert isinstance(refusal, RequestBlockedError) and refusal.retry_after_s
    assert guard.refusal(job(request_id="r2"), asyncio.get_running_loop().time()) is None


async def test_endpoint_that_has_crashed_is_not_probed_by_each_attempt_that_fails_there() -> None:
    probes = 0

    async def is_down(endpoint: EndpointTracker) -> bool:
        nonlocal probes
        probes += 1
        return True

    guard = crash_guard(is_down)
    endpoint = EndpointTracker(record("e1"), 0.0)
    now = asyncio.get_running_loop().time()
    running = [guard.begin(job(request_id=f"r{n}"), endpoint, now) for n in range(10)]
    for attempt in running:
        await guard.end_failed(attempt, AnswerBrokenError("reset"))
    assert probes == 1


@pytest.mark.parametrize(
    ("down", "error"),
    [(False, AnswerBrokenError("reset")), (True, EndpointUnreachableError("refused"))],
)
async def test_attempts_that_crash_nothing_or_do_not_run_blame_nothing(
    down: bool, error: Exception
) -> None:
    guard = crash_guard(crash_probe(down))
    await _break_attempts(guard, error)
    assert guard.refusal(job(), asyncio.get_running_loop().time()) is None
