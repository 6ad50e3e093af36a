"""Hypothesis settings, shared fixtures, expected failures of the tests in KNOWN-RED.txt."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.platform.directory import StoreDirectory
from comfreyhatch.platform.store import StoreClient
from tests.platform_harness import PlatformHarness, running_harness
from tests.platform_store import StandInStore

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the reasons in KNOWN-RED.txt by test id."""
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    entries = (line.split("|") for line in lines if line and not line.startswith("#"))
    return {entry[0].strip(): entry[2].strip() for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    reason_by_id = known_red()
    for item in items:
        reason = reason_by_id.get(item.nodeid)
        if reason is not None:
            item.add_marker(pytest.mark.xfail(reason=f"KNOWN-RED: {reason}", strict=False))


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield a store, two workers of each service and a ready daemon on the users' platform."""
    async with running_harness() as running:
        yield running


@pytest.fixture
async def client() -> AsyncIterator[HttpClient]:
    """Yield an HTTP client."""
    client = HttpClient()
    yield client
    client.close()


@pytest.fixture
async def store() -> AsyncIterator[StandInStore]:
    """Yield a stand-in of the platform's store, which runs."""
    store = StandInStore()
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def store_client(store: StandInStore) -> AsyncIterator[StoreClient]:
    """Yield a client of the platform's store."""
    client = StoreClient(store.address)
    yield client
    client.close()


@pytest.fixture
def directory(store_client: StoreClient) -> StoreDirectory:
    """Return the directory in the platform's store."""
    return StoreDirectory(store_client)
