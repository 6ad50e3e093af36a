"""Account of a request's attempts: never more possible runs than allowed, none ever denied."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.attempt_account import (
    MAX_REFUSED_ATTEMPTS,
    MAX_UNREACHABLE_ATTEMPTS,
    AttemptAccount,
    CountedAttempt,
)

MAX_ATTEMPTS = 3
EVENTS = ("decide", "place", "no_slot", "refuse", "unreachable", "fail", "endpoint_ended")
Step = tuple[str, int]


class AttemptsModel:
    """What really became of the attempts of an account, for comparison."""

    def __init__(self, repeatable: bool) -> None:
        self.account = AttemptAccount(MAX_ATTEMPTS, MAX_REFUSED_ATTEMPTS)
        self.repeatable = repeatable
        self.waiting: list[CountedAttempt] = []
        self.sent: list[CountedAttempt] = []
        self.failed: list[CountedAttempt] = []
        self.ended = 0

    def apply(self, event: str, index: int) -> None:
        """Let an event happen to one of the attempts that it may happen to, if there is any."""
        if event == "decide":
            if self.account.allows_another(self.repeatable):
                self.waiting.append(self.account.decide())
            return
        places = {"place": self.waiting, "no_slot": self.waiting, "endpoint_ended": self.failed}
        attempts = places.get(event, self.sent)
        if attempts:
            self._apply_to(event, attempts.pop(index % len(attempts)))

    def _apply_to(self, event: str, attempt: CountedAttempt) -> None:
        if event == "place":
            self.account.note_placed()
            self.sent.append(attempt)
        elif event == "unreachable":
            self.account.end_unreachable(attempt)
        elif event == "fail":
            self.failed.append(attempt)
        elif event == "endpoint_ended":
            self.account.note_endpoint_ended(attempt)
            self.ended += 1
        else:
            self.account.end_not_run(attempt)


steps = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 5)), max_size=60)


@given(steps, st.booleans())
def test_attempts_under_way_and_failed_ones_never_exceed_the_limit(
    steps: list[Step], repeatable: bool
) -> None:
    model = AttemptsModel(repeatable)
    for event, index in steps:
        model.apply(event, index)
        possible = len(model.waiting) + len(model.sent) + len(model.failed)
        assert possible <= MAX_ATTEMPTS
        assert model.account.used_up == (possible == MAX_ATTEMPTS)


@given(steps, st.booleans())
def test_nothing_has_run_is_never_told_while_an_attempt_may_have_run(
    steps: list[Step], repeatable: bool
) -> None:
    model = AttemptsModel(repeatable)
    for event, index in steps:
        model.apply(event, index)
        possible = len(model.waiting) + len(model.sent) + len(model.failed) + model.ended
        assert model.account.may_have_run == (possible > 0)


@given(steps)
def test_request_that_may_run_once_has_one_possible_run_at_most(steps: list[Step]) -> None:
    model = AttemptsModel(repeatable=False)
    for event, index in steps:
        model.apply(event, index)
        assert len(model.waiting) + len(model.sent) + len(model.failed) + model.ended <= 1


def test_end_of_its_endpoint_does_not_make_a_refused_attempt_a_run() -> None:
    account = AttemptAccount(MAX_ATTEMPTS, MAX_REFUSED_ATTEMPTS)
    attempt = account.decide()
    account.end_not_run(attempt)
    account.note_endpoint_ended(attempt)
    assert not account.may_have_run


def test_refusals_and_failed_connections_have_limits_of_their_own() -> None:
    account = AttemptAccount(MAX_ATTEMPTS, MAX_REFUSED_ATTEMPTS)
    for _ in range(MAX_UNREACHABLE_ATTEMPTS):
        account.note_placed()
        account.end_unreachable(account.decide())
    for _ in range(MAX_REFUSED_ATTEMPTS):
        account.note_placed()
        account.end_not_run(account.decide())
    assert not account.failed_often
    account.note_placed()
    account.end_not_run(account.decide())
    assert account.failed_often
