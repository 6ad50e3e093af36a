"""Retry of requests that every source has refused."""

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.refusal_retry import RefusalRetry
from comfreyhatch.errors import BackendError, RefusedError

OVERLOADED = RefusedError("overloaded", ResultCode.OVERLOADED)
NO_ENDPOINT = RefusedError("no endpoint", ResultCode.NO_ENDPOINT)
FAILED = BackendError("connection lost", ran=Ran.UNKNOWN)


@pytest.mark.parametrize(
    ("errors", "retried"),
    [
        ([], False),
        ([NO_ENDPOINT], False),
        ([OVERLOADED], True),
        ([NO_ENDPOINT, OVERLOADED], True),
        ([OVERLOADED, FAILED], False),
        ([OVERLOADED, RefusedError("withdrawn", ResultCode.VERSION_WITHDRAWN)], False),
    ],
)
def test_retry_needs_an_overloaded_source_and_only_retryable_errors(
    errors: list[RefusedError | BackendError], retried: bool
) -> None:
    refusal_retry = RefusalRetry(deadline=10.0)
    for error in errors:
        refusal_retry.record(error)
    assert refusal_retry.may_retry(0.5, now=9.0) is retried
    assert not refusal_retry.may_retry(0.5, now=9.6)
