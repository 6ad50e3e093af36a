"""Attempts that were given up count until their endpoints have surely read them."""

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.request_arrivals import AttemptArrival, RequestArrivals
from comfreyhatch.decisions.unread_attempts import READ_MARGIN_S, UNREAD_LIFE_S, UnreadAttempts


def sent() -> AttemptArrival:
    """Return the arrival of an attempt that was sent."""
    arrival = RequestArrivals().begin()
    arrival.note_sent()
    return arrival


def test_answer_to_a_later_request_ends_the_wait() -> None:
    unread, arrival = UnreadAttempts(), sent()
    unread.add("e1", arrival, 1.0)
    unread.note_answer("e1", 1.0, 5.0)
    assert not arrival.is_open and not len(unread)


def test_answer_to_an_earlier_request_or_of_another_endpoint_tells_nothing() -> None:
    unread, arrival = UnreadAttempts(), sent()
    unread.add("e1", arrival, 1.0)
    unread.note_answer("e1", 0.9, 5.0)
    unread.note_answer("e2", 2.0, 5.0)
    assert arrival.is_open and len(unread) == 1


def test_refused_connection_ends_the_wait() -> None:
    unread, arrival = UnreadAttempts(), sent()
    unread.add("e1", arrival, 1.0)
    unread.note_ended("e1", 2.0)
    assert not arrival.is_open


def test_attempt_counts_for_a_window_from_the_answer_on() -> None:
    budget = ExtraRequestBudget(10.0, 0.0, 1.5)
    arrivals = RequestArrivals()
    first = arrivals.begin()
    first.note_sent()
    assert arrivals.reserve(budget, 0.0)
    arrivals.begin().note_read(0.5)
    unread = UnreadAttempts()
    unread.add("e1", first, 1.0)
    unread.note_answer("e1", 20.0, 20.1)
    assert not budget.take(30.1)
    assert budget.take(30.2 + READ_MARGIN_S)


def test_attempt_at_an_endpoint_that_never_answers_is_given_back_at_last() -> None:
    unread, early, late = UnreadAttempts(), sent(), sent()
    unread.add("e1", early, 0.0)
    unread.add("e1", late, 10.0)
    assert unread.expire(UNREAD_LIFE_S - 0.1) == 0
    assert unread.expire(UNREAD_LIFE_S) == 1
    assert not early.is_open and late.is_open
    assert unread.expire(UNREAD_LIFE_S + 10.0) == 1 and not len(unread)


def test_age_of_the_first_attempt_that_waits_is_known() -> None:
    unread = UnreadAttempts()
    assert unread.oldest_s(1.0) == 0.0
    unread.add("e1", sent(), 3.0)
    unread.add("e2", sent(), 2.0)
    assert unread.oldest_s(5.0) == 3.0
    assert unread.note_answer("e2", 4.0, 5.0) == 1
    assert unread.oldest_s(5.0) == 2.0
