"""The platform's stores behind a proxy that sends copies of earlier answers before the next one."""

from collections.abc import AsyncIterator

import pytest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.objects_http import HttpObjectStore
from comfreyhatch.adapters.table_http import HttpTable
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.table import Insert, WriteOutcome
from comfreyhatch.standins.platform import PlatformStandin
from tests.copying_proxy import CopyingProxy, copying, with_id, without_id

WRITES = 8


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    standin = PlatformStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture(params=[with_id, without_id], ids=["store_names_ids", "store_names_none"])
async def proxy(
    platform: PlatformStandin, request: pytest.FixtureRequest
) -> AsyncIterator[CopyingProxy]:
    async with copying(platform.address) as proxy:
        proxy.rewrite = request.param
        yield proxy


@pytest.fixture
def table(proxy: CopyingProxy) -> HttpTable:
    return HttpTable(HttpClient(), proxy.address)


@pytest.fixture
def objects(proxy: CopyingProxy) -> HttpObjectStore:
    return HttpObjectStore(HttpClient(), proxy.address)


async def test_copy_of_another_write_does_not_let_two_processes_hold_one_claim(
    table: HttpTable,
) -> None:
    for number in range(WRITES):
        outcomes = [await table.commit([Insert(f"claim/{number}", b"own")]) for _ in range(2)]
        assert outcomes == [WriteOutcome.DONE, WriteOutcome.REFUSED]


async def test_copy_of_a_refusal_does_not_tell_that_a_write_that_was_made_was_not(
    table: HttpTable, platform: PlatformStandin
) -> None:
    for number in range(WRITES):
        platform.faults.outage = True
        with pytest.raises(PlatformError):
            await table.commit([Insert(f"claim/{number}", b"own")])
        platform.faults.outage = False
        assert await table.commit([Insert(f"claim/{number}", b"own")]) is WriteOutcome.DONE


async def test_row_of_another_key_is_not_read_for_one(table: HttpTable) -> None:
    await table.commit([Insert(f"row/{number}", b"%d" % number) for number in range(WRITES)])
    rows = [await table.read(f"row/{number}") for number in range(WRITES)]
    assert [row and row.value for row in rows] == [b"%d" % number for number in range(WRITES)]


async def test_copy_of_another_answer_is_not_taken_for_that_of_an_object(
    objects: HttpObjectStore,
) -> None:
    for number in range(WRITES):
        key, value = f"segment/{number}", b"%d" % number
        outcomes = [await objects.put_if_absent(key, value) for _ in range(2)]
        assert outcomes == [WriteOutcome.DONE, WriteOutcome.REFUSED]
        assert await objects.get(key) == value
        assert await objects.get(f"absent/{number}") is None
