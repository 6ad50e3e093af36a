"""What a former process sent is left room for while a silent service may hold it unread."""

from comfreyhatch.decisions.former_attempts import GONE_S, SILENT_S, FormerAttempts

WINDOW_S = 10.0


def test_service_that_answers_at_once_holds_nothing() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    assert former.may_wait("desk", 0.1)
    former.note_answer("desk", 0.2)
    former.note_sent("desk", 1.0)
    assert not former.may_wait("desk", 9.0)


def test_service_that_was_silent_holds_the_budget_for_a_window_after_its_first_answer() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", SILENT_S + 5.0)
    former.note_answer("desk", SILENT_S + 9.0)
    assert former.may_wait("desk", SILENT_S + 5.0 + WINDOW_S - 0.1)
    assert not former.may_wait("desk", SILENT_S + 5.0 + WINDOW_S)


def test_service_that_never_answers_holds_the_budget_for_a_bounded_time() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    assert former.may_wait("desk", GONE_S - 0.1)
    assert not former.may_wait("desk", GONE_S)


def test_nothing_is_held_for_other_services_nor_by_a_daemon_that_had_no_process() -> None:
    former, first = FormerAttempts(WINDOW_S, True), FormerAttempts(WINDOW_S, False)
    former.note_sent("desk", 0.0)
    first.note_sent("desk", 0.0)
    assert not former.may_wait("engines", 1.0)
    assert not first.may_wait("desk", 1.0)
