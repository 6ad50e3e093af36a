"""The stand-ins do what the platform and its endpoints are said to do."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from msgspec.json import decode, encode

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.errors import AnswerBrokenError, BackendError, BackendRefusedError
from comfreyhatch.ports.engine import GenerateRequest
from comfreyhatch.standins.batch import Batch, BatchTiming, Sequence
from comfreyhatch.standins.engine import EngineFaults, EngineStandin, VersionFault
from comfreyhatch.standins.prefix_cache import PrefixCache
from comfreyhatch.standins.text import quality_of, token

LONG = 2000


def request_of(
    number: int, tokens: int = 5, prompt: str = "hello", priority: int = 5, session: str = ""
) -> GenerateRequest:
    messages = (ChatMessage("system", "you are a coach"), ChatMessage("user", prompt))
    return GenerateRequest(f"r-{number}", "m@1", messages, tokens, priority, session)


@pytest.fixture
async def engine() -> AsyncIterator[EngineStandin]:
    instance = Instance("e-1", Role.ENGINE, "z1", Address("127.0.0.1", 0))
    standin = EngineStandin(instance, ("m@1",), bears=3, queue_limit=1)
    await standin.start()
    yield standin
    await standin.stop()


async def drain(engine: EngineStandin, request: GenerateRequest) -> str:
    client = HttpClient()
    text = ""
    async for chunk in HttpEngine(client).generate(engine.instance, request):
        text += "".join(chunk.tokens)
    client.close()
    return text


async def until(condition: object) -> None:
    async with asyncio.timeout(10):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.002)


async def test_engine_refuses_what_it_does_not_bear_and_says_so(engine: EngineStandin) -> None:
    tasks = [asyncio.create_task(drain(engine, request_of(n, LONG))) for n in range(4)]
    await until(lambda: engine.witness.in_flight == 4)
    with pytest.raises(BackendRefusedError):
        await drain(engine, request_of(9))
    assert engine.witness.in_flight_peak == 4 and engine.witness.excess_peak == 2
    assert engine.witness.arrivals[-1].refused and "r-9" not in engine.witness.run_count_by_id
    for number in range(4):
        await HttpEngine(HttpClient()).cancel(engine.instance, f"r-{number}")
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(end, AnswerBrokenError) for end in ends)
    assert engine.witness.in_flight == 0


async def test_cold_engine_falls_over_under_more_than_it_bears(engine: EngineStandin) -> None:
    running = asyncio.create_task(drain(engine, request_of(1, LONG)))
    await until(lambda: engine.witness.in_flight == 1)
    client = HttpClient()
    switched = EngineFaults(cold=True, cold_bears=1, cold_mode="fall-over", load_lag_s=0)
    assert engine.switch_address
    await client.request(engine.switch_address, "POST", "/faults", encode(switched))
    with pytest.raises(BackendError):
        await drain(engine, request_of(2))
    with pytest.raises(AnswerBrokenError):
        await running
    witness = decode((await client.request(engine.switch_address, "GET", "/witness")).body)
    assert witness["falls"] == 1 and witness["excess_peak"] == 1
    with pytest.raises(BackendError):
        await HttpEngine(client).load(engine.instance)


async def test_load_report_lags(engine: EngineStandin) -> None:
    client = HttpEngine(HttpClient())
    engine.faults.load_lag_s = 1000
    assert not (await client.load(engine.instance)).cold
    engine.faults.cold = True
    assert not (await client.load(engine.instance)).cold
    engine.faults.load_lag_s = 0
    report = await client.load(engine.instance)
    assert report.cold and report.bears == engine.faults.cold_bears


async def test_bad_version_lowers_quality_or_fails(engine: EngineStandin) -> None:
    assert quality_of(await drain(engine, request_of(1, 200))) > 0.7
    engine.faults.fault_by_version["m@1"] = VersionFault(quality=0.1)
    assert quality_of(await drain(engine, request_of(2, 200))) < 0.3
    engine.faults.fault_by_version["m@1"] = VersionFault(error_rate=1)
    with pytest.raises(BackendError):
        await drain(engine, request_of(3))
    assert engine.witness.run_count_by_id["r-3"] == 1


async def test_prefixes_are_cached_exported_and_imported(engine: EngineStandin) -> None:
    client = HttpClient()
    await drain(engine, request_of(1, session="s"))
    await drain(engine, request_of(2, session="s"))
    assert engine.witness.hit_tokens == 5
    address = engine.instance.address
    state = (await client.request(address, "GET", "/attention?session=s")).body
    assert decode(state)["session"] == "s" and len(decode(state)["token_count_by_prefix"]) == 2
    assert (await client.request(address, "POST", "/attention", state)).status == 204
    engine.faults.event_lag_s = 1000
    assert (await client.request(address, "GET", "/cache-events")).body == b"[]"


def test_cache_is_bounded_and_its_events_have_gaps() -> None:
    cache = PrefixCache(20, Random(1))
    cache.event_gap_rate = 0.5
    for number in range(50):
        cache.use(request_of(number, prompt=f"word {number}", session=str(number)), float(number))
    assert cache._size() <= 20
    numbers = [event.number for event in cache.events(0, 100)]
    assert 20 < len(numbers) < cache._number
    assert cache.events(numbers[-2], 100)[0].number == numbers[-1]
    assert cache.events(0, 10)[-1].at_s <= 10


def test_batch_prefers_priority_and_slows_with_its_size() -> None:
    batch = Batch(1, BatchTiming(1.0, 0.5, 0.1, 1))
    low, high = (Sequence(request_of(p, 1, priority=p), 1, 0.9, 2) for p in (1, 9))
    for sequence in (low, high):
        batch.add(sequence)
    batch._admit()
    assert batch.running == [high] and batch.queued == 1
    assert batch._step_time() == pytest.approx(1.7)
    assert batch._step_time() == pytest.approx(1.5)
    batch.size = 2
    batch._admit()
    assert batch._step_time() == pytest.approx(2.2)


def test_slow_version_gains_fewer_tokens() -> None:
    sequence = Sequence(request_of(1, 10), 10, 0.9, 0, slowdown=2.0)
    for _ in range(4):
        sequence.advance(1)
    assert sequence.produced == [token("r-1", 0, 0.9), token("r-1", 1, 0.9)]
