"""Budget of further arrivals: the parts of all daemons stay within the fleet's bound."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget

WINDOW_S = 10.0
RATIO = 0.9
SLACK = 52.0
DAEMONS = 6


def test_slack_alone_is_bounded() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 10.0)
    assert sum(budget.take(0.0) for _ in range(50)) == 8


def test_what_left_the_window_counts_no_more() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 2.0)
    assert budget.take(0.0)
    assert not budget.take(1.0)
    assert budget.take(WINDOW_S + 0.1)


def test_share_left_falls_as_it_is_taken() -> None:
    budget = ExtraRequestBudget(WINDOW_S, RATIO, 0.0)
    for _ in range(100):
        budget.record_request(0.0)
    shares = []
    while budget.take(1.0):
        shares.append(budget.remaining_share(1.0))
    assert shares == sorted(shares, reverse=True)
    assert len(shares) == int(100 * RATIO * 0.85)


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
def test_fleet_stays_within_its_bound_in_each_window(
    steps: list[tuple[int, float, int]],
) -> None:
    budgets = [ExtraRequestBudget(WINDOW_S, RATIO, SLACK / DAEMONS) for _ in range(DAEMONS)]
    now = 0.0
    requests: list[float] = []
    further: list[float] = []
    for daemon, gap_s, wanted in steps:
        now += gap_s
        budgets[daemon].record_request(now)
        requests.append(now)
        further += [now for _ in range(wanted) if budgets[daemon].take(now)]
    for end in [*further, now]:
        counted = sum(end - WINDOW_S <= at <= end for at in further)
        allowed = RATIO * sum(end - WINDOW_S <= at <= end for at in requests) + SLACK
        assert counted <= allowed
