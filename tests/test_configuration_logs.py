"""What the logs tell of a configuration: from whom it came, and that one was passed over."""

import logging

import pytest
from msgspec.json import encode

from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient
from tests.platform_harness import config, running_harness
from tests.platform_store import StandInStore


async def test_log_tells_that_a_configuration_came_from_the_store(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "comfreyhatch.news")
    async with running_harness():
        pass
    received = [line for line in caplog.messages if "event=config_received" in line]
    assert len(received) == 1
    assert "version=1" in received[0] and "source=store" in received[0]


async def test_log_tells_a_refused_configuration_from_one_that_was_not_received(
    caplog: pytest.LogCaptureFixture,
) -> None:
    store = StandInStore()
    client = StoreClient(await store.start())
    directory = StoreDirectory(client)
    store.put("op", "config", config(1))
    held = await directory.operations(None, 0.0)
    unreadable = {**config(2), "routes": [{"name": 7}]}
    revision = store.put("op", "config", encode(unreadable))
    found = await directory.operations(held, 0.5)
    client.close()
    await store.stop()
    assert found.catalog and found.catalog.version == 1
    expected = f"event=config_not_taken revision={revision} version=unreadable held=1"
    assert expected in caplog.messages
