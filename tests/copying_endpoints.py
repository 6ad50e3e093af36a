"""Endpoints that send copies of earlier answers before the next one of the same connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import replace_worker, request_id
from tests.raw_answers import Answer, answer_to, refusal
from tests.raw_endpoint import RawEndpoint

# Begin of the ids of requests that are refused.
REFUSED = b"refused"


class CopyingEndpoint:
    """Refuses some requests, and sends copies before the next answer of the same connection.

    Attributes:
        runs: Ids of the requests that it has run.
        copied: Number of the answers that copies came before.
        raw: Its listener.
    """

    def __init__(self, copy: Answer, copies: int) -> None:
        self.runs: list[bytes] = []
        self.copied = 0
        self.raw = RawEndpoint(self.answer)
        self._copy = copy
        self._copies = copies
        self._refused_by_connection: dict[int, bytes] = {}

    def answer(self, head: bytes) -> bytes:
        if request_id(head).startswith(REFUSED):
            self._refused_by_connection[self.raw.serving] = head
            return refusal(head)
        self.runs.append(request_id(head))
        refused = self._refused_by_connection.pop(self.raw.serving, None)
        self.copied += refused is not None
        return (self._copy(refused) * self._copies if refused else b"") + answer_to(head)


@asynccontextmanager
async def copying(
    harness: PlatformHarness, service: str, copy: Answer, copies: int = 1
) -> AsyncIterator[list[CopyingEndpoint]]:
    """Replace both workers of a service by endpoints that send copies."""
    endpoints = [CopyingEndpoint(copy, copies) for _ in range(2)]
    try:
        for number, endpoint in enumerate(endpoints, 1):
            await endpoint.raw.listen()
            await replace_worker(harness, f"{service}-{number}", endpoint.raw)
        yield endpoints
    finally:
        for endpoint in endpoints:
            await endpoint.raw.stop()


class RepeatingEndpoint:
    """Refuses each request once, and copies that refusal before its answer on the same connection.

    Attributes:
        runs: Ids of the requests that it has run.
        raw: Its listener.
    """

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.raw = RawEndpoint(self.answer)
        self._refused_on: dict[bytes, int] = {}

    def answer(self, head: bytes) -> bytes:
        own = request_id(head)
        if own not in self._refused_on:
            self._refused_on[own] = self.raw.serving
            return refusal(head)
        self.runs.append(own)
        copies = refusal(head) if self._refused_on[own] == self.raw.serving else b""
        return copies + answer_to(head)


@asynccontextmanager
async def repeating(
    harness: PlatformHarness, service: str, rows: int
) -> AsyncIterator[list[RepeatingEndpoint]]:
    """Replace the workers of a service by endpoints that copy a refusal with the id of a run.

    Args:
        harness: Where the workers are.
        service: The service.
        rows: Rows in the store that name the same endpoint: 1, or 2 for both.
    """
    ids = [f"{service}-1", f"{service}-2"]
    endpoints = [RepeatingEndpoint() for _ in ids[::rows]]
    try:
        for number, worker_id in enumerate(ids):
            endpoint = endpoints[number // rows]
            if not endpoint.raw.address.port:
                await endpoint.raw.listen()
            await replace_worker(harness, worker_id, endpoint.raw)
        yield endpoints
    finally:
        for endpoint in endpoints:
            await endpoint.raw.stop()
