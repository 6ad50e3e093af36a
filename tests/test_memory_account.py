"""Whom the account of the memory for clients gives memory, and whom it turns away."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.answer_memory import AnswerMemory
from comfreyhatch.decisions.memory_account import (
    BODIES_SHARE,
    MIN_TOTAL_BYTES,
    PACE_BYTES_PER_S,
    SMALL_HOLDING_BYTES,
    STALLED_S,
    Holding,
    MemoryAccount,
    MemoryPart,
)

LARGEST_BODY_BYTES = 4 * 1024 * 1024
MB = 1_000_000


class Clients:
    """Clients of an account; `turned_away` lists them in the order in which they were."""

    def __init__(self, memory_mb: float = 150.0) -> None:
        self.account = MemoryAccount(memory_mb)
        self.turned_away: list[Holding] = []

    def open(
        self, size: int = 0, now: float = 0.0, part: MemoryPart = MemoryPart.READING
    ) -> Holding:
        """Return a holding of a size, for which there has to be memory."""
        holding = self.account.open(part, now, lambda each, _: self.turned_away.append(each))
        if part is MemoryPart.UNREAD:
            self.account.set_size(holding, size, now)
        else:
            assert self.account.take(holding, size, now)
        return holding

    def fill(self, now: float = 0.0) -> list[Holding]:
        """Return holdings of bodies that leave no memory for another one of the largest size."""
        share_bytes = int(self.account.total_bytes * BODIES_SHARE)
        return [
            self.open(LARGEST_BODY_BYTES, now) for _ in range(share_bytes // LARGEST_BODY_BYTES)
        ]


def test_total_follows_from_the_memory_and_leaves_room_for_the_process_and_for_copies() -> None:
    assert MemoryAccount(150.0).total_bytes == 43 * MB
    assert MemoryAccount(20.0).total_bytes == MIN_TOTAL_BYTES


def test_largest_body_is_served_by_an_idle_daemon_with_whatever_memory() -> None:
    for memory_mb in (0.0, 64.0, 100.0, 150.0):
        Clients(memory_mb).open(LARGEST_BODY_BYTES)


def test_client_on_pace_is_not_turned_away_for_another_body() -> None:
    """Guards against bodies that are sent within the limits and refused for others."""
    clients = Clients()
    held = clients.fill()
    for each in held:
        each.note_moved(4 * PACE_BYTES_PER_S, 4.0)
    newcomer = clients.account.open(MemoryPart.READING, 4.0)
    assert not clients.account.take(newcomer, LARGEST_BODY_BYTES, 4.0)
    assert clients.turned_away == []


def test_the_client_that_has_stalled_longest_makes_way() -> None:
    clients = Clients()
    held = clients.fill()
    for each in held:
        each.note_moved(2 * PACE_BYTES_PER_S, 2.0)
    held[1].note_moved(2 * PACE_BYTES_PER_S, 4.0)
    clients.open(LARGEST_BODY_BYTES, now=4.0)
    assert len(clients.turned_away) == 1
    assert clients.turned_away[0] is not held[1]


def test_a_client_that_sends_a_few_bytes_at_a_time_is_stalled() -> None:
    """Guards against a drip that counts as progress."""
    clients = Clients()
    held = clients.fill()
    for second in range(1, 5):
        for each in held[1:]:
            each.note_moved(PACE_BYTES_PER_S, second)
        held[0].note_moved(10, second)
    clients.open(LARGEST_BODY_BYTES, now=4.0)
    assert clients.turned_away == [held[0]]


def test_no_client_is_turned_away_where_that_would_not_suffice() -> None:
    clients = Clients()
    held = clients.fill()
    for each in held[1:]:
        clients.account.begin_request(each)
    now = 10 * STALLED_S
    large = clients.account.open(MemoryPart.READING, now)
    assert not clients.account.take(large, 2 * LARGEST_BODY_BYTES, now)
    assert clients.turned_away == []


def test_request_under_way_is_never_turned_away() -> None:
    """Guards against a refusal that says that a request has not run though it may have."""
    clients = Clients()
    for each in clients.fill():
        clients.account.begin_request(each)
    newcomer = clients.account.open(MemoryPart.READING, 100.0)
    assert not clients.account.take(newcomer, LARGEST_BODY_BYTES, 100.0)
    assert clients.turned_away == []


def test_small_bodies_pass_while_large_ones_fill_the_account() -> None:
    clients = Clients()
    clients.fill()
    for _ in range(20):
        clients.open(SMALL_HOLDING_BYTES)


def test_bodies_that_wait_get_memory_in_their_order_and_small_ones_first() -> None:
    clients = Clients()
    held = clients.fill()
    granted: list[str] = []
    waiting = {name: clients.account.open(MemoryPart.READING, 0.0) for name in ("a", "b")}
    for name, holding in waiting.items():
        clients.account.wait(
            holding, LARGEST_BODY_BYTES, 0.0, lambda name=name: granted.append(name)
        )
    newcomer = clients.account.open(MemoryPart.READING, 0.5)
    clients.account.close(held[0])
    assert granted == ["a"]
    clients.account.close(held[1])
    assert granted == ["a", "b"]
    assert not clients.account.take(newcomer, LARGEST_BODY_BYTES, 0.5)


def test_time_for_which_a_client_is_kept_waiting_does_not_count_against_it() -> None:
    clients = Clients()
    held = clients.fill()
    waiting = clients.open(1)
    clients.account.wait(waiting, LARGEST_BODY_BYTES, 0.0, lambda: None)
    assert waiting.behind_s(50.0) == 0.0
    clients.account.stop_waiting(waiting, 50.0)
    assert waiting.behind_s(51.0) == 1.0
    assert held[0].behind_s(51.0) == 51.0


def test_data_beyond_the_account_costs_the_reader_that_has_left_most_for_longest() -> None:
    clients = Clients()
    unread = MemoryPart.UNREAD
    first = clients.open(LARGEST_BODY_BYTES, 0.0, unread)
    reading = clients.open(LARGEST_BODY_BYTES, 0.0, unread)
    reading.note_caught_up(5.0)
    while not clients.turned_away:
        clients.open(LARGEST_BODY_BYTES, 4.9, unread)
    assert clients.turned_away == [first]
    assert clients.account.used_bytes <= clients.account.total_bytes


def test_answers_read_whole_count_in_the_account() -> None:
    account = MemoryAccount(150.0)
    with AnswerMemory(150.0, account).hold() as take:
        assert take(LARGEST_BODY_BYTES)
        assert account.used_by_part[MemoryPart.ANSWERS] == LARGEST_BODY_BYTES
    assert account.used_bytes == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take", "set", "trim", "run", "close", "wait", "serve"]),
            st.integers(0, 5),
            st.integers(0, 20 * MB),
            st.floats(0, 3),
        ),
        max_size=40,
    )
)
def test_sum_never_exceeds_the_total_and_all_is_given_back(
    steps: list[tuple[str, int, int, float]],
) -> None:
    account, now = MemoryAccount(100.0), 0.0
    parts = [MemoryPart.READING, MemoryPart.UNREAD]
    holdings = [account.open(parts[n % 2], 0.0, lambda *_: None) for n in range(6)]
    for step, number, size, pause_s in steps:
        now += pause_s
        holding = holdings[number]
        if step == "serve":
            account.serve_waiting(now)
        elif step == "close":
            account.stop_waiting(holding, now)
            account.close(holding)
            holdings[number] = account.open(parts[number % 2], now, lambda *_: None)
        elif holding.part is MemoryPart.UNREAD:
            account.set_size(holding, size, now)
        elif holding.part is MemoryPart.READING and holding.is_open:
            if step == "take":
                account.take(holding, size, now)
            elif step == "wait":
                account.wait(holding, size, now, lambda: None)
            elif step == "run":
                account.stop_waiting(holding, now)
                account.begin_request(holding)
        else:
            account.trim(holding, size)
        assert 0 <= account.used_bytes <= account.total_bytes
        assert account.used_bytes == sum(account.used_by_part.values())
        assert account.used_bytes == sum(h.held_bytes for h in holdings if h.is_open)
    for holding in holdings:
        account.stop_waiting(holding, now)
        account.close(holding)
    assert account.used_bytes == 0


def test_whole_answer_gets_memory_while_a_large_body_waits() -> None:
    # Answers beyond 64 KiB failed for as long as any body waited, though the part that bodies leave
    # to answers was free.
    clients = Clients()
    clients.fill()
    waiting = clients.account.open(MemoryPart.READING, 0.0)
    clients.account.wait(waiting, LARGEST_BODY_BYTES, 0.0, lambda: None)
    answer = clients.account.open(MemoryPart.ANSWERS, 0.0)
    assert clients.account.take(answer, 2 * SMALL_HOLDING_BYTES, 0.0)
