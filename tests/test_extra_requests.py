"""Budget of extra requests: the parts of all daemons stay within the fleet's limit."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.extra_requests import ExtraRequest, ExtraRequestBudget

WINDOW_S = 10.0
RATIO = 0.9
SLACK = 52.0
DAEMONS = 6


def test_slack_limits_extra_requests_without_any_callers_requests() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 10.0)
    assert sum(budget.take(0.0) for _ in range(50)) == 8


def test_extra_requests_outside_the_window_are_not_counted() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 2.0)
    assert budget.take(0.0)
    assert not budget.take(1.0)
    assert budget.take(WINDOW_S + 0.1)


def test_remaining_share_falls_as_the_budget_is_spent() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 0.0)
    for _ in range(100):
        budget.record_request(0.0)
    shares = []
    while budget.take(1.0):
        shares.append(budget.remaining_share(1.0))
    assert shares == sorted(shares, reverse=True)
    assert len(shares) == int(100 * RATIO * 0.85)


def test_request_that_was_read_late_counts_from_the_time_on_at_which_it_came() -> None:
    budget = ExtraRequestBudget(WINDOW_S, 2.0, 0.0)
    budget.record_request(20.0)
    for _ in range(5):
        budget.record_request(11.0)
        budget.record_request(9.0)
    assert budget.remaining(20.0) == 6 * 2.0 * 0.85
    assert budget.remaining(21.1) == 2.0 * 0.85


def test_oldest_reservation_is_known_until_it_has_arrived_or_is_given_back() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 10.0)
    assert budget.oldest_reserved_s(1.0) == 0.0
    first, second = budget.reserve(1.0), budget.reserve(3.0)
    assert first is not None and second is not None
    assert budget.oldest_reserved_s(5.0) == 4.0
    first.note_arrived(5.0)
    assert budget.oldest_reserved_s(5.0) == 2.0
    second.release()
    assert budget.oldest_reserved_s(5.0) == 0.0


@given(
    st.lists(
        st.tuples(
            st.integers(0, DAEMONS - 1),
            st.floats(0.0, 0.2, allow_nan=False),
            st.integers(0, 4),
        ),
        max_size=300,
    )
)
def test_fleet_stays_within_its_limit_in_each_window(
    steps: list[tuple[int, float, int]],
) -> None:
    budgets = [ExtraRequestBudget(WINDOW_S, RATIO, SLACK / DAEMONS) for _ in range(DAEMONS)]
    now = 0.0
    requests: list[float] = []
    extra: list[float] = []
    for daemon, gap_s, wanted in steps:
        now += gap_s
        budgets[daemon].record_request(now)
        requests.append(now)
        extra += [now for _ in range(wanted) if budgets[daemon].take(now)]
    for end in [*extra, now]:
        counted = sum(end - WINDOW_S <= at <= end for at in extra)
        allowed = RATIO * sum(end - WINDOW_S <= at <= end for at in requests) + SLACK
        assert counted <= allowed


@given(
    st.lists(
        st.tuples(
            st.integers(0, DAEMONS - 1),
            st.floats(0.0, 4.0, allow_nan=False),
            st.integers(0, 30),
            st.integers(0, 30),
        ),
        max_size=60,
    )
)
def test_fleet_stays_within_its_limit_with_reserved_extra_requests(
    steps: list[tuple[int, float, int, int]],
) -> None:
    budgets = [ExtraRequestBudget(WINDOW_S, RATIO, SLACK / DAEMONS) for _ in range(DAEMONS)]
    reserved: list[list[ExtraRequest]] = [[] for _ in range(DAEMONS)]
    now = 0.0
    extra: list[float] = []
    for daemon, gap_s, wanted, sent in steps:
        now += gap_s
        budget = budgets[daemon]
        found = (budget.reserve(now) for _ in range(wanted))
        reserved[daemon] += [request for request in found if request is not None]
        for _ in range(min(sent, len(reserved[daemon]))):
            reserved[daemon].pop().note_arrived(now)
            extra.append(now)
    for end in extra:
        assert sum(end - WINDOW_S <= at <= end for at in extra) <= SLACK


def test_extra_request_that_waits_for_longer_than_the_window_counts_until_it_is_sent() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 2.0)
    waiting = budget.reserve(0.0)
    assert waiting is not None
    assert budget.reserve(WINDOW_S + 1.0) is None
    waiting.note_arrived(WINDOW_S + 1.0)
    assert not budget.take(2 * WINDOW_S)
    assert budget.take(2 * WINDOW_S + 1.1)


def test_extra_request_that_was_not_sent_is_given_back_once() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 2.0)
    unsent = budget.reserve(0.0)
    assert unsent is not None
    unsent.release()
    unsent.release()
    assert budget.take(0.1) and not budget.take(0.2)
    unsent.release()
    assert not budget.take(0.3)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("request", "reserve", "send", "release")),
            st.floats(0.0, 3.0, allow_nan=False),
        ),
        max_size=200,
    )
)
def test_extra_requests_stay_within_the_limit_at_the_times_at_which_they_are_sent(
    steps: list[tuple[str, float]],
) -> None:
    budget = ExtraRequestBudget(WINDOW_S, 0.0, 4.0)
    waiting: list[ExtraRequest] = []
    sent: list[float] = []
    now = 0.0
    for event, gap_s in steps:
        now += gap_s
        if event == "request":
            budget.record_request(now)
        elif event == "reserve":
            reserved = budget.reserve(now)
            waiting += [reserved] if reserved else []
        elif waiting and event == "send":
            waiting.pop().note_arrived(now)
            sent.append(now)
        elif waiting:
            waiting.pop().release()
        assert sum(now - WINDOW_S < at <= now for at in sent) <= 4


@given(
    st.lists(
        st.tuples(
            st.integers(0, DAEMONS - 1),
            st.floats(0.0, 1.0, allow_nan=False),
            st.integers(0, 20),
            st.booleans(),
        ),
        max_size=100,
    )
)
def test_fleet_stays_within_its_limit_while_daemons_restart(
    steps: list[tuple[int, float, int, bool]],
) -> None:
    budgets = [restarted_budget(0.0) for _ in range(DAEMONS)]
    now = 0.0
    requests: list[float] = []
    extra: list[float] = []
    for daemon, gap_s, wanted, restarts in steps:
        now += gap_s
        if restarts:
            budgets[daemon] = restarted_budget(now)
        budgets[daemon].record_request(now)
        requests.append(now)
        extra += [now for _ in range(wanted) if budgets[daemon].take(now)]
        counted = sum(now - WINDOW_S < at for at in extra)
        assert counted <= RATIO * sum(now - WINDOW_S < at for at in requests) + SLACK


def restarted_budget(now: float) -> ExtraRequestBudget:
    """Return the budget of a daemon whose process has started now."""
    return ExtraRequestBudget(WINDOW_S, RATIO, SLACK / DAEMONS, now + WINDOW_S)


def test_slack_is_allowed_from_its_time_on() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 2.0, 5.0)
    assert not budget.take(4.9)
    assert budget.take(5.0)


def test_silent_endpoints_are_borne_by_the_slack_alone_whatever_the_requests_allow() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 4.0)
    for _ in range(100):
        budget.record_request(1.0)
    kept = []
    while budget.bears_unheard():
        kept.append(budget.reserve(1.0))
    assert len(kept) == 3
    assert budget.remaining(1.0) > 3


def test_one_request_may_find_out_whether_silent_endpoints_answer_without_any_slack() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 0.0)
    for _ in range(100):
        budget.record_request(1.0)
    assert budget.bears_unheard()
    assert budget.reserve(1.0) is not None
    assert not budget.bears_unheard()
