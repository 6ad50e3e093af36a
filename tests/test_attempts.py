"""The error that a caller gets when no attempt is left."""

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
def test_error_of_a_possible_run_does_not_claim_that_nothing_ran(last: ComfreyhatchError) -> None:
    assert final_error(last, may_have_run=True).ran is not Ran.NO


def test_refusal_by_endpoints_has_a_retry_time() -> None:
    found = final_error(BackendRefusedError("full"), may_have_run=False)
    assert found.ran is Ran.NO and found.code is ResultCode.ENDPOINT_REFUSED
    assert found.retry_after_s


def test_refusal_by_the_daemon_is_unchanged() -> None:
    last = RefusedError("busy", retry_after_s=2.0)
    assert final_error(last, may_have_run=False) is last
