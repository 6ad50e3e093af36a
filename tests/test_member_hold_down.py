"""Hold-down of daemons that refused a request."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.member_hold_down import (
    MAX_HOLD_DOWNS,
    NO_ENDPOINT_HOLD_DOWN_S,
    REFUSAL_HOLD_DOWN_S,
    MemberHoldDown,
)
from comfreyhatch.errors import BackendError, RefusedError

OVERLOADED = RefusedError("overloaded")
NO_ENDPOINT = RefusedError("no endpoint", ResultCode.NO_ENDPOINT)


def test_hold_down_ends_and_follows_no_error_after_which_the_request_may_have_run() -> None:
    hold_down = MemberHoldDown()
    hold_down.record_refusal("d1", "v@1", OVERLOADED, 10.0)
    hold_down.record_refusal("d2", "v@1", NO_ENDPOINT, 10.0)
    hold_down.record_refusal("d3", "v@1", BackendError("broke", ran=Ran.UNKNOWN), 10.0)
    assert not hold_down.may_forward_to("d1", "v@1", 10.0)
    assert hold_down.may_forward_to("d1", "v@1", 10.0 + REFUSAL_HOLD_DOWN_S)
    assert not hold_down.may_forward_to("d2", "v@1", 10.0 + REFUSAL_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d2", "v@1", 10.0 + NO_ENDPOINT_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d1", "v@2", 10.0)
    assert hold_down.may_forward_to("d3", "v@1", 10.0)


def test_number_of_hold_downs_is_bounded() -> None:
    hold_down = MemberHoldDown()
    for number in range(2 * MAX_HOLD_DOWNS):
        hold_down.record_refusal(f"d{number}", "v@1", OVERLOADED, 0.0)
    assert len(hold_down._until_by_pair) == MAX_HOLD_DOWNS
