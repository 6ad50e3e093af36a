"""What a former process sent is left room for while its endpoints may hold it unread."""

from comfreyhatch.decisions.former_attempts import GONE_S, SILENT_S, FormerAttempts

WINDOW_S = 10.0


def test_endpoints_that_answer_at_once_hold_nothing() -> None:
    former = FormerAttempts(WINDOW_S)
    former.note_sent("e1", "desk", 0.0)
    assert former.free_share("desk", 4, 0.1) == 0.75
    former.note_answer("e1", 0.2)
    assert former.free_share("desk", 4, 0.2) == 1.0
    former.note_sent("e1", "desk", 1.0)
    assert former.free_share("desk", 4, 9.0) == 1.0


def test_endpoint_that_was_silent_holds_room_for_a_window_after_its_first_answer() -> None:
    former = FormerAttempts(WINDOW_S)
    former.note_sent("e1", "desk", 0.0)
    former.note_answer("e1", SILENT_S + 5.0)
    former.note_answer("e1", SILENT_S + 9.0)
    assert former.free_share("desk", 1, SILENT_S + 5.0 + WINDOW_S - 0.1) == 0.0
    assert former.free_share("desk", 1, SILENT_S + 9.0 + WINDOW_S) == 1.0


def test_endpoint_that_never_answers_holds_room_for_a_bounded_time() -> None:
    former = FormerAttempts(WINDOW_S)
    former.note_sent("e1", "desk", 0.0)
    assert former.free_share("desk", 1, GONE_S - 0.1) == 0.0
    assert former.free_share("desk", 1, GONE_S) == 1.0


def test_other_services_are_not_held_back() -> None:
    former = FormerAttempts(WINDOW_S)
    former.note_sent("e1", "desk", 0.0)
    assert former.free_share("engines", 1, 1.0) == 1.0
    assert former.free_share("desk", 0, 1.0) == 1.0
