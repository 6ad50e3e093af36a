"""What a reader sends to its followers: only what has changed, however often the store writes."""

import asyncio
from collections.abc import Callable
from random import Random

from msgspec.msgpack import encode
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog, Workspace
from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.operations import Evidence, Operations, SharedRecords, VersionOutcomes
from comfreyhatch.exchange.directory_sync import DirectorySync
from comfreyhatch.exchange.peers import PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.ports.directory import MemoryDirectory
from tests.exchange_values import record

DAEMONS = 65
WRITES = 40


def _evidence(daemon: str, answers: int) -> Evidence:
    outcomes = {f"route-{n}": VersionOutcomes(answers, 0, 0) for n in range(3)}
    return Evidence("engines", 1, daemon, outcomes, outcomes)


def _catalog(version: int) -> Catalog:
    return Catalog(version, {}, {}, {f"key-{n}": Workspace(f"club-{n}") for n in range(400)})


def _records(revision: int) -> SharedRecords:
    names = [f"front-{n}" for n in range(DAEMONS)]
    evidence = {f"engines/{name}": _evidence(name, 1) for name in names}
    controls = {name: f"10.0.0.{n}:8000" for n, name in enumerate(names)}
    return SharedRecords(revision, 0, {}, evidence, controls, dict.fromkeys(names, "r"))


class _Follower:
    """Queries a reader in a loop, as a follower does, and counts the bytes of the answers."""

    def __init__(self, answer: Callable[[PeerQuery], "asyncio.Future[PeerUpdate]"]) -> None:
        self._answer = answer
        self.view = FleetView()
        unused = Address("127.0.0.1", 1)
        settings = Deployment(
            "f", "a", ("a",), unused, unused, None, (), unused, 1.0, 100, 100, Bounds(), "r"
        )
        self.sync = DirectorySync(settings, MemoryDirectory(), self.view, Random(1), lambda: None)
        self.bytes_received = 0

    async def poll(self) -> None:
        update = await self._answer(self.sync.query(0.0))
        self.bytes_received += len(encode(update))
        self.sync.apply_update(update, "reader")


def _reader() -> tuple[DirectorySync, FleetView]:
    view = FleetView()
    unused = Address("127.0.0.1", 1)
    settings = Deployment(
        "r", "a", ("a",), unused, unused, None, (), unused, 1.0, 100, 100, Bounds(), "r"
    )
    return DirectorySync(settings, MemoryDirectory(), view, Random(1), lambda: None), view


async def test_unchanged_configuration_is_sent_once_however_often_the_store_writes() -> None:
    # The store's revision rises with every write of anyone. Readers sent the whole configuration
    # to each follower for each of their polls, which filled their links and cut streams.
    reader, view = _reader()
    follower = _Follower(reader.answer)
    catalog = _catalog(3)
    for revision in range(10, 10 + WRITES):
        view.apply_operations(Operations(revision, catalog, {}, frozenset()), 0.0, 1.0)
        view.apply_endpoints(EndpointList(revision, {"e1": record("e1")}), 0.0)
        await follower.poll()
    assert follower.view.catalog == catalog
    assert follower.bytes_received < 2 * len(encode(catalog))


async def test_changed_configuration_reaches_a_follower_that_advanced_without_changes() -> None:
    reader, view = _reader()
    follower = _Follower(reader.answer)
    for revision in range(10, 20):
        view.apply_operations(Operations(revision, _catalog(3), {}, frozenset()), 0.0, 1.0)
        await follower.poll()
    assert follower.view.operations and follower.view.operations.revision == 19
    view.apply_operations(Operations(20, _catalog(4), {}, frozenset({"b"})), 0.0, 1.0)
    await follower.poll()
    assert follower.view.catalog == _catalog(4)
    assert follower.view.zone_out("b")


async def test_evidence_of_one_daemon_does_not_resend_that_of_all() -> None:
    reader, view = _reader()
    follower = _Follower(reader.answer)
    records = _records(10)
    view.apply_records(records, 0.0)
    await follower.poll()
    whole = follower.bytes_received
    for revision in range(11, 11 + WRITES):
        name = f"front-{revision % DAEMONS}"
        evidence = {**records.evidence_by_key, f"engines/{name}": _evidence(name, revision)}
        records = replace(records, revision=revision, evidence_by_key=evidence)
        view.apply_records(records, 0.0)
        await follower.poll()
    assert follower.view.records == records
    assert follower.bytes_received < 3 * whole
