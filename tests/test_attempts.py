"""What callers are told at the end."""

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendRefusedError,
    ComfreyhatchError,
    RefusedError,
)
from comfreyhatch.exchange.attempts import final_error


@pytest.mark.parametrize(
    "last", [BackendRefusedError("full"), RefusedError("busy"), AnswerBrokenError("cut")]
)
def test_what_may_have_run_is_not_told_as_not_run(last: ComfreyhatchError) -> None:
    assert final_error(last, may_have_run=True).ran is not Ran.NO


def test_refusal_by_endpoints_tells_when_to_come_back() -> None:
    found = final_error(BackendRefusedError("full"), may_have_run=False)
    assert found.ran is Ran.NO and found.code is ResultCode.ENDPOINT_REFUSED
    assert found.retry_after_s


def test_refusal_of_our_own_stays_as_it_is() -> None:
    last = RefusedError("busy", retry_after_s=2.0)
    assert final_error(last, may_have_run=False) is last
