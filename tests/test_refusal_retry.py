"""Requests that were refused everywhere: offered again, or refused for good."""

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.refusal_retry import RefusalRetry
from comfreyhatch.errors import BackendError, RefusedError

FULL = RefusedError("full", ResultCode.OVERLOADED)
NOWHERE = RefusedError("not here", ResultCode.NO_ENDPOINT)
FAILED = BackendError("cut", ran=Ran.UNKNOWN)


@pytest.mark.parametrize(
    ("errors", "waits"),
    [
        ([], False),
        ([NOWHERE], False),
        ([FULL], True),
        ([NOWHERE, FULL], True),
        ([FULL, FAILED], False),
        ([FULL, RefusedError("withdrawn", ResultCode.VERSION_WITHDRAWN)], False),
    ],
)
def test_patience_needs_a_full_source_and_nothing_final(
    errors: list[RefusedError | BackendError], waits: bool
) -> None:
    refusal_retry = RefusalRetry(deadline=10.0)
    for error in errors:
        refusal_retry.record(error)
    assert refusal_retry.may_retry(0.5, now=9.0) is waits
    assert not refusal_retry.may_retry(0.5, now=9.6)
