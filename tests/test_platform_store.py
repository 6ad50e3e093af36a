"""Calls to the platform's store: tables of several pages, connections that fall silent."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from msgspec.json import encode

from comfreyhatch.errors import PlatformError
from comfreyhatch.platform import store as store_module
from comfreyhatch.platform.store import StoreClient
from tests.platform_store import StandInStore
from tests.scripted_endpoint import ScriptedConnection, scripted
from tests.thin_link import ThinLink

LINK_BYTES_PER_S = 1e9


def after_first_call(
    call: Callable[..., Awaitable[Any]], then: Callable[[], None]
) -> Callable[..., Awaitable[Any]]:
    """Return the call, with something done right after the first one."""
    calls = 0

    async def called(*arguments: object) -> Any:
        nonlocal calls
        answer = await call(*arguments)
        calls += 1
        if calls == 1:
            then()
        return answer

    return called


async def test_row_removed_between_two_pages_is_not_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An endpoint that left while the list was read stayed listed for ever.
    monkeypatch.setattr(store_module, "ROWS_PER_PAGE", 1)
    store = StandInStore()
    client = StoreClient(await store.start())
    store.put("servers", "a", 1)
    store.put("servers", "b", 1)
    monkeypatch.setattr(
        client,
        "_read_call",
        after_first_call(client._read_call, lambda: store.remove("servers", "a")),
    )
    listed = await client.read("servers")
    assert [row.key for row in listed.rows] == ["a", "b"]
    changed = await client.follow("servers", listed.position, 0.1)
    client.close()
    await store.stop()
    assert [(row.key, row.removed) for row in changed.rows] == [("a", True)]


async def test_one_call_at_most_is_lost_to_connections_that_fell_silent() -> None:
    # Each idle connection took a further call, and its time limit, while new ones worked.
    store = StandInStore()
    link = ThinLink(LINK_BYTES_PER_S)
    client = StoreClient(await link.open(await store.start()))
    await asyncio.gather(*(client.read("t") for _ in range(3)))
    link.silence_open()
    with pytest.raises(PlatformError):
        await client.read("t")
    await client.read("t")
    client.close()
    await link.close()
    await store.stop()


def rows_answer(head: bytes) -> bytes:
    """Return an answer with one row of the table that a call names."""
    found = re.search(rb"table=(\w+)", head)
    assert found
    rows = [{"table": found[1].decode(), "key": "k", "ver": 1}]
    body = encode({"rows": rows, "ver": 1})
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body


async def test_late_answer_is_not_taken_for_that_of_a_later_call() -> None:
    late_s = 1.1
    on_connection: list[int] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        on_connection.append(connection.number)
        await asyncio.sleep(late_s if len(on_connection) == 1 else 0.0)
        await connection.send(rows_answer(head))

    async with scripted(answer) as store:
        client = StoreClient(store.address)
        with pytest.raises(PlatformError):
            await client.read("first")
        listed = [await client.read("second")]
        await asyncio.sleep(late_s)
        # The connection of the late answer is used again.
        listed += [*await asyncio.gather(client.read("third"), client.read("fourth"))]
        client.close()
    tables = [row.table for rows in listed for row in rows.rows]
    assert tables == ["second", "third", "fourth"]
    assert sorted(on_connection) == [1, 1, 2, 2]


async def test_answer_to_a_cancelled_call_is_not_taken_for_that_of_a_later_one() -> None:
    on_connection: list[int] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        on_connection.append(connection.number)
        await asyncio.sleep(0.2 if len(on_connection) == 1 else 0.0)
        await connection.send(rows_answer(head))

    async with scripted(answer) as store:
        client = StoreClient(store.address)
        cancelled = asyncio.create_task(client.read("first"))
        while not on_connection:
            await asyncio.sleep(0.01)
        cancelled.cancel()
        listed = [await client.read("second")]
        await asyncio.sleep(0.3)
        listed.append(await client.read("third"))
        client.close()
    assert [row.table for rows in listed for row in rows.rows] == ["second", "third"]
    assert on_connection == [1, 2, 2]
