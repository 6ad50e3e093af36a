"""Extra requests stay reserved until all but one attempt of a request are known to have arrived."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.request_arrivals import AttemptArrival, RequestArrivals

WINDOW_S = 10.0
FLOAT_MARGIN_S = 1e-6


def budget_of(extra: int) -> ExtraRequestBudget:
    """Return a budget of a number of extra requests."""
    return ExtraRequestBudget(WINDOW_S, 0.0, (extra + 0.5) / 0.85)


def retried(budget: ExtraRequestBudget) -> tuple[AttemptArrival, AttemptArrival]:
    """Return the arrivals of a request's first attempt and of its retry, both sent."""
    arrivals = RequestArrivals()
    first = arrivals.begin()
    first.note_sent()
    assert arrivals.reserve(budget, 0.0)
    second = arrivals.begin()
    second.note_sent()
    arrivals.release_unused()
    return first, second


def test_first_attempt_needs_no_extra_request() -> None:
    budget = budget_of(1)
    arrivals = RequestArrivals()
    arrivals.begin().note_read(0.0)
    assert budget.take(0.0)


def test_first_attempt_that_waits_unread_is_counted_after_its_retry_was_answered() -> None:
    budget = budget_of(1)
    first, second = retried(budget)
    second.note_read(1.0)
    assert not budget.take(1.0 + 2 * WINDOW_S)
    first.note_read(30.0)
    assert not budget.take(30.0 + WINDOW_S - 0.1)
    assert budget.take(30.0 + WINDOW_S + 0.1)


def test_retry_that_waits_unread_is_counted_after_its_first_attempt_was_answered() -> None:
    budget = budget_of(1)
    first, second = retried(budget)
    first.note_read(1.0)
    assert not budget.take(1.0 + 2 * WINDOW_S)
    second.note_read(30.0)
    assert not budget.take(30.0 + WINDOW_S - 0.1)
    assert budget.take(30.0 + WINDOW_S + 0.1)


def test_extra_request_is_given_back_when_one_of_two_attempts_never_arrives() -> None:
    budget = budget_of(1)
    first, second = retried(budget)
    first.note_gone()
    assert budget.take(0.1)
    second.note_read(0.2)
    assert not budget.take(0.3)


def test_retry_of_an_attempt_without_a_connection_needs_no_extra_request() -> None:
    budget = budget_of(0)
    arrivals = RequestArrivals()
    arrivals.begin().note_gone()
    assert arrivals.reserve(budget, 0.0)


def test_retry_of_a_refused_attempt_needs_an_extra_request() -> None:
    arrivals = RequestArrivals()
    arrivals.begin().note_read(0.0)
    assert not arrivals.reserve(budget_of(0), 0.0)


def test_extra_request_that_no_attempt_uses_is_given_back() -> None:
    budget = budget_of(1)
    arrivals = RequestArrivals()
    arrivals.begin().note_read(0.0)
    assert arrivals.reserve(budget, 0.0) and not budget.take(0.0)
    arrivals.release_unused()
    assert budget.take(0.0)


def test_extra_request_for_the_next_attempt_outlives_the_end_of_an_earlier_one() -> None:
    budget = budget_of(2)
    first, second = retried(budget)
    first.note_read(0.0)
    arrivals = first._request
    assert arrivals.reserve(budget, 0.0) and not budget.take(0.0)
    second.note_gone()
    assert budget.take(0.0) and not budget.take(0.0)
    third = arrivals.begin()
    third.note_read(0.0)
    assert not budget.take(WINDOW_S - 0.1)


@given(st.integers(0, 10_000), st.integers(0, 12))
def test_arrivals_stay_within_the_limit_whenever_and_in_whatever_order_attempts_are_read(
    seed: int, limit: int
) -> None:
    rng = Random(seed)
    budget = budget_of(limit)
    requests: list[RequestArrivals] = []
    unread: list[tuple[int, AttemptArrival]] = []
    read_times: dict[int, list[float]] = {}
    now = 0.0
    for _ in range(150):
        now += rng.expovariate(2.0)
        step = rng.choice(("request", "again", "again", "read", "gone"))
        if step == "request":
            requests.append(RequestArrivals())
            unread.append((len(requests) - 1, requests[-1].begin()))
        elif step == "again" and requests:
            number = rng.randrange(len(requests))
            if requests[number].reserve(budget, now):
                unread.append((number, requests[number].begin()))
        elif unread:
            number, arrival = unread.pop(rng.randrange(len(unread)))
            if step == "gone":
                arrival.note_gone()
                continue
            # It was read some time before that becomes known.
            read_times.setdefault(number, []).append(now - rng.uniform(0.0, 0.3))
            arrival.note_read(now)
    repeats = [at for times in read_times.values() for at in sorted(times)[1:]]
    for start in repeats:
        window = [at for at in repeats if start <= at < start + WINDOW_S - FLOAT_MARGIN_S]
        assert len(window) <= limit
