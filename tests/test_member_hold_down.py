"""Refusals by other daemons are remembered for a time."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.member_hold_down import (
    MAX_HOLD_DOWNS,
    NO_ENDPOINT_HOLD_DOWN_S,
    OVERLOADED_HOLD_DOWN_S,
    MemberHoldDown,
    more_specific_error,
)
from comfreyhatch.errors import BackendError, RefusedError

FULL = RefusedError("full")
NONE = RefusedError("none", ResultCode.NO_ENDPOINT)


def test_refusals_pass_and_failures_are_not_refusals() -> None:
    hold_down = MemberHoldDown()
    hold_down.record_refusal("d1", "v@1", FULL, 10.0)
    hold_down.record_refusal("d2", "v@1", NONE, 10.0)
    hold_down.record_refusal("d3", "v@1", BackendError("broke", ran=Ran.UNKNOWN), 10.0)
    assert not hold_down.may_forward_to("d1", "v@1", 10.0)
    assert hold_down.may_forward_to("d1", "v@1", 10.0 + OVERLOADED_HOLD_DOWN_S)
    assert not hold_down.may_forward_to("d2", "v@1", 10.0 + OVERLOADED_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d2", "v@1", 10.0 + NO_ENDPOINT_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d1", "v@2", 10.0)
    assert hold_down.may_forward_to("d3", "v@1", 10.0)


def test_notes_are_bounded() -> None:
    hold_down = MemberHoldDown()
    for number in range(2 * MAX_HOLD_DOWNS):
        hold_down.record_refusal(f"d{number}", "v@1", FULL, 0.0)
    assert len(hold_down._until_by_pair) == MAX_HOLD_DOWNS


def test_caller_hears_of_overload_rather_than_of_a_missing_endpoint() -> None:
    assert more_specific_error(FULL, NONE) is FULL
    assert more_specific_error(NONE, FULL) is FULL
    assert more_specific_error(None, NONE) is NONE
