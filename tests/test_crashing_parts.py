"""Which prompt parts are blamed for crashes of endpoints, and when they are let go."""

import pytest

from comfreyhatch.decisions.crashing_parts import (
    BLOCK_REPORT_INTERVAL_S,
    BLOCK_S,
    CRASH_MEMORY_S,
    MAX_BEGUN,
    MAX_BLOCKS,
    MAX_CRASHES,
    MAX_SOUND_PARTS,
    MIN_CRASHES,
    TRIAL_AFTER_S,
    CrashingParts,
)
from comfreyhatch.domain.part_report import PartReport, ReportKind


def never(blocked: frozenset[str]) -> bool:
    return False


def always(blocked: frozenset[str]) -> bool:
    return True


def crash(parts: CrashingParts, number: int, part_ids: set[str], at: float) -> list[PartReport]:
    """Let an endpoint crash 0.1 s after it has begun an answer."""
    endpoint = f"e{number}/1"
    parts.note_begun(f"r{number}", endpoint, part_ids, at)
    return parts.note_crash(endpoint, at + 0.1, at + 0.1)


@pytest.fixture
def parts() -> CrashingParts:
    """Parts with as many crashes under "bad" as it takes; "first" and "mid" are sound."""
    found = CrashingParts()
    found.note_sound("r", "e/1", ["first", "mid"], 0.0)
    for number in range(MIN_CRASHES):
        crash(found, number, {"first", "bad", f"m{number}"}, 1.0 + number)
    return found


def test_part_that_all_crashes_have_in_common_is_refused(parts: CrashingParts) -> None:
    assert parts.blocked_parts(["other", "bad"], never, 5.0) == {"bad"}
    assert parts.blocked_parts(["first", "mid"], never, 5.0) is None


def test_fewer_crashes_refuse_nothing() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES - 1):
        crash(parts, number, {"bad"}, 1.0)
    assert parts.blocked_parts(["bad"], never, 2.0) is None


def test_several_crashes_of_one_start_count_once() -> None:
    parts = CrashingParts()
    for number in range(5):
        parts.note_begun(f"r{number}", "e/1", {"bad", f"m{number}"}, 1.0)
        parts.note_crash("e/1", 1.1, 1.1)
    assert parts.blocked_parts(["bad"], never, 2.0) is None


def test_request_with_a_part_of_all_requests_is_served_before_that_part_is_known_sound() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES):
        crash(parts, number, {"first", "bad", f"m{number}"}, 1.0)
    assert parts.blocked_parts(["first", "m1"], never, 2.0) is None
    assert parts.blocked_parts(["first", "bad"], never, 2.0) == {"first", "bad"}


def test_sound_answer_leaves_the_rest_to_blame() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES):
        crash(parts, number, {"first", "bad"}, 1.0)
    parts.note_sound("r", "e/1", ["first"], 2.0)
    assert parts.blocked_parts(["other", "bad"], never, 2.0) == {"bad"}
    assert parts.blocked_parts(["first"], never, 2.0) is None


def test_wrongly_blocked_part_is_let_go_by_a_sound_answer_of_another_daemon(
    parts: CrashingParts,
) -> None:
    parts.merge(PartReport(ReportKind.SOUND, frozenset({"bad"})), 5.0)
    assert parts.blocked_parts(["bad"], never, 5.0) is None


def test_daemon_with_a_sound_answer_says_so_to_those_that_blame_the_part() -> None:
    parts = CrashingParts()
    parts.note_sound("r", "e/1", ["mid"], 1.0)
    blamed = PartReport(ReportKind.CRASHED, frozenset({"mid", "x"}), "e9/1")
    sound = [PartReport(ReportKind.SOUND, frozenset({"mid"}))]
    assert parts.sound_reports(parts.merge(blamed, 2.0), 2.0) == sound
    assert parts.merge(blamed, 2.1) == []


def test_crashes_seen_by_several_daemons_are_counted_together() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES):
        report = PartReport(ReportKind.CRASHED, frozenset({"bad", f"m{number}"}), f"e{number}/1")
        parts.merge(report, 1.0)
    assert parts.blocked_parts(["bad"], never, 1.1) == {"bad"}


def test_block_of_another_daemon_is_taken_over() -> None:
    parts = CrashingParts()
    parts.merge(PartReport(ReportKind.BLOCKED, frozenset({"bad"}), age_s=1.0), 5.0)
    assert parts.blocked_parts(["bad"], never, 5.0) == {"bad"}


def test_answers_that_had_begun_before_and_those_that_wait_are_not_blamed() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES):
        endpoint = f"e{number}/1"
        parts.note_begun(f"old{number}", endpoint, {"old"}, 1.0)
        parts.note_begun(f"going{number}", endpoint, {"going"}, 4.9)
        parts.note_sound(f"going{number}", endpoint, {"going"}, 4.95)
        parts.note_begun(f"r{number}", endpoint, {"bad"}, 4.95)
        (report,) = parts.note_crash(endpoint, 5.0, 5.0)
        assert report.part_ids == {"bad"}


def test_block_lasts_while_requests_come_and_ends_after(parts: CrashingParts) -> None:
    now = 5.0
    for _ in range(4):
        assert parts.blocked_parts(["bad"], never, now) == {"bad"}
        parts.note_refused(frozenset({"bad"}), now)
        now += BLOCK_S - 1.0
    assert parts.blocked_parts(["bad"], never, now + 1.1) is None


def test_refusals_are_told_to_others_once_in_a_while(parts: CrashingParts) -> None:
    bad = frozenset({"bad"})
    told = [parts.note_refused(bad, 4.0 + second) for second in range(12)]
    assert [len(reports) for reports in told].count(1) == 1
    parts.merge(PartReport(ReportKind.BLOCKED, bad), 20.0)
    assert parts.note_refused(bad, 20.0 + BLOCK_REPORT_INTERVAL_S / 2) == []


def test_one_daemon_lets_one_request_through_after_a_long_time(parts: CrashingParts) -> None:
    now = 5.0
    while now < 5.0 + TRIAL_AFTER_S:
        assert parts.blocked_parts(["bad"], always, now) == {"bad"}
        parts.note_refused(frozenset({"bad"}), now)
        now += BLOCK_S / 2
    assert parts.blocked_parts(["bad"], never, now) == {"bad"}
    assert parts.blocked_parts(["bad"], always, now) is None
    parts.note_sent(["bad", "mid"], now)
    assert parts.blocked_parts(["bad"], always, now) == {"bad"}


def test_old_crashes_are_forgotten() -> None:
    parts = CrashingParts()
    for number in range(MIN_CRASHES):
        crash(parts, number, {"bad"}, 1.0 + number * CRASH_MEMORY_S)
    assert parts.blocked_parts(["bad"], never, 2.0 + MIN_CRASHES * CRASH_MEMORY_S) is None


def test_memory_is_bounded() -> None:
    parts = CrashingParts()
    for number in range(2 * MAX_SOUND_PARTS):
        parts.note_sound("r", "e/1", [f"s{number}"], 1.0)
        parts.note_begun(f"r{number}", "e/1", [f"b{number}"], 1.0)
        parts.merge(PartReport(ReportKind.CRASHED, frozenset({f"c{number}"}), f"e{number}"), 1.0)
        parts.merge(PartReport(ReportKind.BLOCKED, frozenset({f"d{number}"})), 1.0)
        parts.merge(PartReport(ReportKind.SOUND, frozenset({f"t{number}"})), 1.0)
    assert len(parts._sound_reported_at) <= MAX_SOUND_PARTS
    assert len(parts._sound_at_by_part) <= MAX_SOUND_PARTS
    assert len(parts._begun_by_attempt) <= MAX_BEGUN
    assert len(parts._crash_by_endpoint) <= MAX_CRASHES
    assert len(parts.blocks) <= MAX_BLOCKS
