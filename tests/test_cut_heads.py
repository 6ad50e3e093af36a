"""An answer whose head breaks off is none, whatever has come of it."""

import asyncio

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.service_http import HttpPlainService
from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.errors import BackendError
from comfreyhatch.ports.engine import ServiceRequest
from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import raw_workers, stream_head, success_head
from tests.raw_endpoint import listening

WHOLE_HEADERS = (b"content-length: 6", b"connection: keep-alive")
PAY = ServiceRequest("r-1", "POST", "/orders", b"{}", idempotency_key="k-1")


def cuts() -> list[int]:
    """Return lengths from one byte to the whole head less its last byte."""
    sample = success_head(b"\r\nattempt-id: 0000000000000001\r\n", *WHOLE_HEADERS)
    return [1, 9, 15, 17, *range(20, len(sample) - 2, 11), len(sample) - 2, len(sample) - 1]


@pytest.mark.parametrize("length", cuts())
async def test_caller_gets_no_success_from_a_head_that_breaks_off(
    harness: PlatformHarness, length: int
) -> None:
    def cut(head: bytes) -> bytes:
        return success_head(head, *WHOLE_HEADERS)[:length]

    async with raw_workers(harness, ("desk-1", "desk-2"), cut, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        replies = await asyncio.gather(harness.send("/pay/x"), harness.send("/read/x"))
    assert [reply.status for reply in replies] == [502, 502]


async def test_stream_whose_head_breaks_off_is_taken_from_another_endpoint(
    harness: PlatformHarness,
) -> None:
    def cut(head: bytes) -> bytes:
        return stream_head(head)[:-2]

    async with raw_workers(harness, ("engine-1",), cut, b"") as (endpoint,):
        endpoint.closes = True
        while not endpoint.requests:
            reply = await harness.send_draft()
        assert reply.status == 200
        assert reply.body.count(b"id: ") == harness.worker_by_id["engine-2"].events


async def test_head_that_breaks_off_behind_another_daemon_is_no_answer(
    harness: PlatformHarness,
) -> None:
    await harness.add_daemons(1)

    def cut(head: bytes) -> bytes:
        return success_head(head)[:-2]

    LostPaths(harness.daemons[0]).cut(Loss.RESET)
    async with raw_workers(harness, ("desk-1", "desk-2"), cut, b"") as endpoints:
        for endpoint in endpoints:
            endpoint.closes = True
        assert (await harness.send("/pay/x", 0)).status == 502


@pytest.mark.parametrize("length", [1, 9, 17, 30, 50])
async def test_plain_service_of_the_own_fleet_whose_head_breaks_off_has_no_answer(
    length: int,
) -> None:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n"
    async with listening(head[:length]) as endpoint:
        endpoint.closes = True
        service = Instance("s-1", Role.SERVICE, "z1", endpoint.address)
        with pytest.raises(BackendError) as caught:
            await HttpPlainService(HttpClient()).call(service, PAY, 2.0)
        assert caught.value.ran is Ran.UNKNOWN
