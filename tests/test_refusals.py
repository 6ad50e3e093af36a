"""Refusals that the routers have in common."""

from random import Random

import pytest

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.refusals import (
    NO_ENDPOINT_RETRY_AFTER_S,
    check_deadline,
    more_specific_error,
    no_endpoint_error,
)
from comfreyhatch.errors import RefusedError

OVERLOADED = RefusedError("overloaded")
NO_ENDPOINT = RefusedError("no endpoint", ResultCode.NO_ENDPOINT)


def test_callers_refused_for_want_of_an_endpoint_come_back_at_different_times() -> None:
    rng = Random(1)
    errors = [no_endpoint_error("v1", rng) for _ in range(100)]
    times_s = [error.retry_after_s for error in errors if error.retry_after_s is not None]
    assert len(set(times_s)) == 100
    assert min(times_s) >= NO_ENDPOINT_RETRY_AFTER_S
    assert max(times_s) <= 2 * NO_ENDPOINT_RETRY_AFTER_S
    assert {(error.code, error.ran) for error in errors} == {(ResultCode.NO_ENDPOINT, Ran.NO)}


def test_request_is_refused_from_its_deadline_on() -> None:
    check_deadline(10.0, 9.9)
    with pytest.raises(RefusedError) as refused:
        check_deadline(10.0, 10.0)
    assert refused.value.code is ResultCode.DEADLINE_EXCEEDED and refused.value.ran is Ran.NO


def test_overload_is_reported_rather_than_a_missing_endpoint() -> None:
    assert more_specific_error(OVERLOADED, NO_ENDPOINT) is OVERLOADED
    assert more_specific_error(NO_ENDPOINT, OVERLOADED) is OVERLOADED
    assert more_specific_error(None, NO_ENDPOINT) is NO_ENDPOINT
