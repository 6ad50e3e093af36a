"""Relayed requests, as the versions before (2ee0460, de32edf and ef67bd7) write and send them."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from time import monotonic

import pytest
from msgspec import Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.relay import EndpointRequest, RelayAddress
from tests.lost_paths import Loss, LostPaths
from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import refusal_head, replace_worker, success_head
from tests.raw_answers import NO_BODY, answer_to, refusal
from tests.scripted_endpoint import ScriptedConnection, ScriptedEndpoint, scripted
from tests.test_copied_relayed_answers import NOTICES, OTHER_REQUEST

BEFORE = bytes.fromhex(
    "87a57374617274a5652d312f35a66d6574686f64a4504f5354a6746172676574a62f613f623d31a768656164657273"
    "9192c40b646561646c696e652d6d73c403393030a4626f6479c404626f6479a974696d656f75745f73cb3feccccccc"
    "cccccdb066726573685f636f6e6e656374696f6ec3"
)
REQUEST = EndpointRequest("e-1/5", "POST", "/a?b=1", [(b"deadline-ms", b"900")], b"body", 0.9, True)


class RequestOfBefore(Struct):
    """A relayed request as the version before reads it."""

    start: str
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeout_s: float
    fresh_connection: bool = False


def test_request_of_the_version_before_is_read() -> None:
    assert decode(BEFORE, type=EndpointRequest) == REQUEST


def test_request_is_read_by_the_version_before() -> None:
    read = decode(encode(REQUEST), type=RequestOfBefore)
    assert (read.start, read.headers, read.timeout_s) == ("e-1/5", REQUEST.headers, 0.9)
    assert encode(REQUEST) == BEFORE


class RelayOfBefore:
    """Stands in for a daemon of the version before, which hands on whatever head comes first.

    Attributes:
        asked: Requests that it was asked to send, as that version reads them.
    """

    def __init__(self, answer: Callable[[bytes], bytes]) -> None:
        """Create it.

        Args:
            answer: Returns an endpoint's answer to a request, by the head of that.
        """
        self.asked: list[RequestOfBefore] = []
        self._answer = answer

    async def serve(self, connection: ScriptedConnection, head: bytes) -> None:
        request = decode(await connection.read_body(), type=RequestOfBefore)
        self.asked.append(request)
        asked = b"".join(b"%b: %b\r\n" % header for header in request.headers)
        status, _, rest = self._answer(b"\r\n" + asked).partition(b"\r\n")
        await connection.send(status + b"\r\nx-relay-answer: 1\r\n" + rest)


@asynccontextmanager
async def asking(harness: PlatformHarness, relay: RelayOfBefore) -> AsyncIterator[ScriptedEndpoint]:
    """Let the harness's daemon lose its paths, and ask a daemon of the version before."""
    daemon = harness.daemons[0]
    async with scripted(relay.serve) as listener:
        daemon._relays._relay_by_daemon = lambda: {"before": RelayAddress(listener.address, "a")}
        LostPaths(daemon).cut(Loss.RESET)
        for tracker in daemon.view.tracker_by_id.values():
            daemon._paths.note_unreachable(tracker, monotonic())
        yield listener


@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_daemon_of_the_version_before_is_asked_for_a_new_connection(
    harness: PlatformHarness, path: str
) -> None:
    relay = RelayOfBefore(answer_to)
    async with asking(harness, relay):
        assert (await harness.send_kind(path)).status == 200
        assert [request.fresh_connection for request in relay.asked] == [True]


def other_refusal(head: bytes) -> bytes:
    return refusal_head(OTHER_REQUEST, *NOTICES, NO_BODY)


def other_success(head: bytes) -> bytes:
    return success_head(OTHER_REQUEST, *NOTICES, b"content-length: 5") + b"other"


@pytest.mark.parametrize("answer", [other_refusal, other_success])
@pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/draft/x"])
async def test_answer_to_another_request_by_way_of_the_version_before_may_have_run(
    harness: PlatformHarness, path: str, answer: Callable[[bytes], bytes]
) -> None:
    relay = RelayOfBefore(answer)
    async with asking(harness, relay):
        reply = await harness.send_kind(path)
        assert (reply.status, b'"ran":"unknown"' in reply.body) == (502, True)
        assert len(relay.asked) == (1 if path == "/pay/x" else len(relay.asked))
        for tracker in harness.daemon.view.tracker_by_id.values():
            assert (tracker.leaving_since, tracker.brittle_per_s) == (None, None)
            assert tracker.resting_until == 0.0
            assert harness.daemon._limits.per_s(tracker) is None


async def test_request_of_the_version_before_gets_no_connection_that_has_carried_it(
    harness: PlatformHarness,
) -> None:
    # That version asks for a new connection only for attempts of a stream at the same endpoint.
    refused_on: list[int] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        if not refused_on:
            refused_on.append(connection.number)
            await connection.send(refusal(head))
            return
        copies = refusal(head) if connection.number in refused_on else b""
        await connection.send(copies + answer_to(head))

    async with scripted(answer) as desk:
        await replace_worker(harness, "desk-1", desk)
        relay = harness.deployment.relay
        assert relay is not None
        start = harness.daemon.view.tracker_by_id["desk-1"].start
        headers = [(b"attempt-id", b"again"), (b"expect-instance", b"desk-1")]
        body = encode(RequestOfBefore(start, "POST", "/pay/x", headers, b"body", 0.9, False))
        replies = [await harness.client.request(relay, "POST", "/relay", body) for _ in range(2)]
        assert [reply.status for reply in replies] == [503, 200]
        assert len(desk.requests) == 2
