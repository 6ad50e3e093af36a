"""Choice of a session's version during a roll-out."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.decisions.session_version import (
    VersionChoice,
    choose_version,
    may_move_early,
    version_matches,
)
from comfreyhatch.domain.operations import RolloutOrder, RolloutRecord, RolloutState

ORDER = RolloutOrder("s", "v2", 24.0, 7)
TRIAL = RolloutRecord("s", "v2", 7, RolloutState.RUNNING, 0.09, 0, 0)
CANARY = 0.09
LATER_MS = 10_000


def choose(
    trial: RolloutRecord | None, session: str = "x", pinned: str | None = None
) -> VersionChoice:
    return choose_version(ORDER, trial, False, session, pinned, CANARY, LATER_MS)


def test_states_of_a_rollout() -> None:
    assert choose_version(None, None, False, "x", None, CANARY, LATER_MS) is VersionChoice.ANY
    assert choose(None) is VersionChoice.OTHER
    assert choose(replace(TRIAL, state=RolloutState.COMPLETED)) is VersionChoice.TARGET
    assert choose(replace(TRIAL, state=RolloutState.ROLLED_BACK, share=1.0)) is VersionChoice.OTHER
    assert choose_version(ORDER, TRIAL, True, "x", "v2", CANARY, LATER_MS) is VersionChoice.OTHER


@given(st.text(min_size=1))
def test_session_never_moves_back_as_the_share_grows(session: str) -> None:
    choices = [choose(replace(TRIAL, share=share), session) for share in (0.09, 0.25, 0.5, 1.0)]
    assert choices == sorted(choices, key=lambda c: c is VersionChoice.TARGET)
    assert choices[-1] is VersionChoice.TARGET


@given(st.text(min_size=1))
def test_session_keeps_its_version_in_the_canary_phase(session: str) -> None:
    assert choose(TRIAL, session, "v1") is VersionChoice.OTHER
    assert choose(TRIAL, session, "v2") is VersionChoice.TARGET


def test_no_session_moves_before_daemons_have_told_each_other_of_theirs() -> None:
    for number in range(200):
        early = choose_version(ORDER, TRIAL, False, f"s{number}", None, CANARY, 999)
        assert early is VersionChoice.OTHER


def test_sessions_that_move_early_are_those_that_get_the_target_first() -> None:
    for number in range(500):
        session = f"session-{number}"
        is_target = choose(TRIAL, session) is VersionChoice.TARGET
        assert may_move_early(session, ORDER, CANARY) == is_target


def test_target_version_gets_its_share_of_the_sessions() -> None:
    chosen = [choose(TRIAL, f"session-{n}") for n in range(4000)]
    assert 0.07 < chosen.count(VersionChoice.TARGET) / 4000 < 0.11


def test_version_matches_the_choice() -> None:
    assert version_matches(VersionChoice.TARGET, "v2", ORDER)
    assert not version_matches(VersionChoice.TARGET, "v1", ORDER)
    assert version_matches(VersionChoice.OTHER, "v1", ORDER)
    assert version_matches(VersionChoice.ANY, "v9", None)
