"""Callers that come back when they were told keep their place, others do not."""

from random import Random

import pytest

from comfreyhatch.decisions.return_bookings import (
    BOOKABLE_PART,
    LATE_TOLERANCE_S,
    MAX_BOOKINGS,
    Booking,
    Return,
    ReturnBookings,
)

NOW = 100.0


@pytest.fixture
def bookings() -> ReturnBookings:
    return ReturnBookings(Random(1))


def book(bookings: ReturnBookings, name: str, **changes: object) -> Booking:
    values: dict[str, object] = {
        "request_id": f"id-{name}",
        "kind": "route",
        "work_s": 0.1,
        "drain_s": 0.5,
        "slots": 1.0,
        "latest": NOW + 5,
        "now": NOW,
    }
    key = ("w", name.encode())
    return bookings.book(key, **{**values, **changes})  # type: ignore[arg-type]


def take(bookings: ReturnBookings, name: str, now: float) -> tuple[Return, float | None]:
    return bookings.take(("w", name.encode()), f"again-{name}", now)


def test_times_follow_the_work_of_the_callers_before(bookings: ReturnBookings) -> None:
    """Guards against callers that all come back to room for one of them."""
    times = [book(bookings, name).at - NOW for name in "abc"]
    interval_s = 0.1 / BOOKABLE_PART
    assert times == pytest.approx([0.5, 0.5 + interval_s, 0.5 + 2 * interval_s])


def test_caller_that_comes_at_its_time_keeps_its_place_once(bookings: ReturnBookings) -> None:
    at = book(bookings, "a").at
    assert take(bookings, "a", at + 0.1) == (Return.ON_TIME, at)
    assert take(bookings, "a", at + 0.1) == (Return.NEW, None)


def test_caller_that_repeats_at_once_gets_no_place_but_keeps_its_time(
    bookings: ReturnBookings,
) -> None:
    """Guards against places that are won by repeating more often than others."""
    at = book(bookings, "a").at
    assert take(bookings, "a", NOW + 0.1) == (Return.EARLY, None)
    assert book(bookings, "a", now=NOW + 0.1).at == at
    assert take(bookings, "a", at) == (Return.ON_TIME, at)


def test_late_caller_has_lost_its_place(bookings: ReturnBookings) -> None:
    at = book(bookings, "a").at
    assert take(bookings, "a", at + LATE_TOLERANCE_S + 0.1) == (Return.WITHOUT_PLACE, None)


def test_other_attempt_of_the_same_request_is_no_early_return(bookings: ReturnBookings) -> None:
    """Guards against charging a workspace for attempts that the daemon makes itself."""
    book(bookings, "a")
    assert bookings.take(("w", b"a"), "id-a", NOW) == (Return.WITHOUT_PLACE, None)


def test_no_place_is_booked_beyond_the_deadline(bookings: ReturnBookings) -> None:
    """Guards against room that is kept for callers who will have given up."""
    booking = book(bookings, "a", drain_s=6.0)
    assert not booking.has_place and booking.at < NOW + 5
    assert book(bookings, "b").at == pytest.approx(NOW + 0.5)


def test_kinds_do_not_take_each_others_times(bookings: ReturnBookings) -> None:
    """Guards against calls of 3 s that find all times taken by streams of 25 s."""
    for number in range(50):
        book(bookings, str(number), kind="stream", latest=NOW + 25)
    assert book(bookings, "call", latest=NOW + 3).at == pytest.approx(NOW + 0.5)


def test_number_of_bookings_is_bounded(bookings: ReturnBookings) -> None:
    for number in range(MAX_BOOKINGS + 10):
        book(bookings, str(number))
    assert len(bookings) == MAX_BOOKINGS
    assert take(bookings, "0", NOW + 9) == (Return.NEW, None)
    assert bookings.is_awaited("other", NOW) and not bookings.is_awaited("w", NOW)
