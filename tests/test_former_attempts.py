"""What a former process sent is left room for while silent endpoints may hold it unread."""

from comfreyhatch.decisions.former_attempts import GONE_S, SILENT_S, FormerAttempts

WINDOW_S = 10.0
ENDPOINTS = 4


def test_service_that_answers_at_once_holds_nothing() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    assert former.held_share("desk", ENDPOINTS, 0.1) == 1.0
    former.note_answer("desk", "a", 0.2)
    former.note_sent("desk", 1.0)
    assert former.held_share("desk", ENDPOINTS, 9.0) == 0.0


def test_service_that_was_silent_holds_the_budget_for_a_window_after_its_first_answer() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", SILENT_S + 5.0)
    former.note_answer("desk", "b", SILENT_S + 9.0)
    assert former.held_share("desk", ENDPOINTS, SILENT_S + 5.0 + WINDOW_S - 0.1) == 1.0
    assert former.held_share("desk", ENDPOINTS, SILENT_S + 5.0 + WINDOW_S) == 0.0


def test_service_that_never_answers_holds_the_budget_for_a_bounded_time() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    assert former.held_share("desk", ENDPOINTS, GONE_S - 0.1) == 1.0
    assert former.held_share("desk", ENDPOINTS, GONE_S) == 0.0


def test_silent_endpoint_holds_its_share_for_a_window_after_its_first_answer() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", 0.1)
    former.note_silent("desk", "b", 0.4)
    assert former.held_share("desk", ENDPOINTS, 5.0) == 1 / ENDPOINTS
    former.note_answer("desk", "b", 6.0)
    assert former.held_share("desk", ENDPOINTS, 6.0 + WINDOW_S - 0.1) == 1 / ENDPOINTS
    assert former.held_share("desk", ENDPOINTS, 6.0 + WINDOW_S) == 0.0


def test_silent_endpoint_that_never_returns_holds_its_share_for_a_bounded_time() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", 0.1)
    for at in (0.4, 5.0, 20.0):
        former.note_silent("desk", "b", at)
    assert former.held_share("desk", ENDPOINTS, 0.4 + GONE_S - 0.1) == 1 / ENDPOINTS
    assert former.held_share("desk", ENDPOINTS, 0.4 + GONE_S) == 0.0


def test_endpoint_that_has_answered_this_process_holds_nothing_of_the_former_one() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", 0.1)
    former.note_silent("desk", "a", 50.0)
    assert former.held_share("desk", ENDPOINTS, 50.0) == 0.0


def test_endpoint_that_falls_silent_long_after_the_start_holds_nothing() -> None:
    # As one that was added since, and answers late at first.
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", 0.1)
    former.note_silent("desk", "b", GONE_S + 0.1)
    assert former.held_share("desk", ENDPOINTS, GONE_S + 0.2) == 0.0


def test_endpoints_that_come_and_go_later_are_not_remembered() -> None:
    former = FormerAttempts(WINDOW_S, True)
    former.note_sent("desk", 0.0)
    former.note_answer("desk", "a", 0.1)
    for number in range(100):
        former.note_answer("desk", f"b-{number}", GONE_S + number)
        former.note_silent("desk", f"c-{number}", GONE_S + number)
    remembered = former._found_by_service["desk"]
    assert remembered.answered_ids == {"a"}
    assert not remembered.held_until_by_id


def test_nothing_is_held_for_other_services_nor_by_a_daemon_that_had_no_process() -> None:
    former, first = FormerAttempts(WINDOW_S, True), FormerAttempts(WINDOW_S, False)
    former.note_sent("desk", 0.0)
    first.note_sent("desk", 0.0)
    first.note_silent("desk", "a", 0.5)
    assert former.held_share("engines", ENDPOINTS, 1.0) == 0.0
    assert first.held_share("desk", ENDPOINTS, 1.0) == 0.0
