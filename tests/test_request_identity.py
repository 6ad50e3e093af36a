"""Requests are the same by caller, host, method, target and body alone."""

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.request_identity import request_identity
from comfreyhatch.domain.exchange import Exchange

REQUEST = Exchange("r1", "POST", "/p/x?y=1", "host", "/p/x", [], b"body", api_key="key")


def test_repeated_request_with_another_id_and_other_headers_is_the_same() -> None:
    again = replace(REQUEST, request_id="r2", headers=[(b"x-trace", b"2")], timeout_s=1.0)
    assert request_identity(again) == request_identity(REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "GET"},
        {"target": "/p/x?y=2"},
        {"host": "other"},
        {"api_key": "other"},
        {"body": b"bod"},
        {"target": "/p/x?y=1b", "body": b"ody"},
    ],
)
def test_other_request_is_not_the_same(change: dict[str, object]) -> None:
    assert request_identity(replace(REQUEST, **change)) != request_identity(REQUEST)


def test_large_body_keeps_sixteen_bytes() -> None:
    assert len(request_identity(replace(REQUEST, body=b"x" * 1_000_000))) == 16
