"""Streams that may not be resumed run once, also on routes that name several models."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_message import HttpResponse
from comfreyhatch.decisions.single_run import SingleRunState, choose_model
from comfreyhatch.errors import HttpError
from tests.platform_harness import PlatformHarness, config, running_harness, sent_to, workers
from tests.platform_worker import StandInWorker

MODELS = ("small", "medium", "large")
DOUBTFUL = dict(zip(MODELS, (5, 40, 99), strict=True))
IDLE = SingleRunState(
    rank=0,
    load=0.05,
    delay_s=0.0,
    first_event_s_by_size=(0.05, 0.1, 0.3),
    aim_s=3.0,
    left_s=20.0,
)


@pytest.fixture(params=[False, True], ids=["not_resumable", "resumable"])
async def resumable(request: pytest.FixtureRequest, harness: PlatformHarness) -> bool:
    """Return whether streams may be resumed; their routes name three models."""
    await set_routes(harness, request.param)
    return bool(request.param)


@pytest.fixture
async def single_run_harness() -> AsyncIterator[PlatformHarness]:
    async with running_harness() as harness:
        await set_routes(harness, resumable=False)
        yield harness


async def set_routes(harness: PlatformHarness, resumable: bool) -> None:
    harness.store.put("op", "config", config(2, resumable=resumable, sizes=list(MODELS)))
    daemon = harness.daemon
    assert daemon is not None
    await harness.wait_until(lambda: daemon.view.catalog and daemon.view.catalog.version == 2)
    for worker in workers(harness, "engine"):
        worker.confidence_by_model = DOUBTFUL


def runs_by_id(harness: PlatformHarness) -> dict[str, list[str]]:
    """Return the models on which each request was run."""
    models: dict[str, list[str]] = {}
    for request in sent_to(harness, "engine"):
        models.setdefault(request.header("attempt-id"), []).append(request.header("model"))
    return models


async def test_only_streams_that_may_be_resumed_run_on_a_second_model(
    harness: PlatformHarness, resumable: bool
) -> None:
    # Escalation ran streams that may not be resumed on two models (review/6: 60 of 60).
    for _ in range(4):
        assert (await harness.send_draft()).status == 200
    expected = ["small", "large"] if resumable else ["large"]
    assert list(runs_by_id(harness).values()) == [expected] * 4


def break_off(worker: StandInWorker) -> None:
    worker.break_after = 2


def fail(worker: StandInWorker) -> None:
    worker.status = 503


def forge(worker: StandInWorker) -> None:
    """Let answers lack the header that confirms the run."""

    def without_receipt(answer: HttpResponse) -> HttpResponse:
        answer.headers = [(n, v) for n, v in answer.headers if n != b"server-stamp"]
        return answer

    worker.transform = without_receipt


def stall(worker: StandInWorker) -> None:
    worker.pause_s = lambda number: 30.0 if number > 1 else 0.0


def hang(worker: StandInWorker) -> None:
    worker.hold = asyncio.Event()


@pytest.mark.parametrize("harm", [break_off, fail, forge, stall, hang])
async def test_stream_that_may_not_be_resumed_runs_once_whatever_fails(
    single_run_harness: PlatformHarness, harm: Callable[[StandInWorker], None]
) -> None:
    # Guards the paths beside escalation: retries, stalls, resumption.
    for worker in workers(single_run_harness, "engine"):
        harm(worker)
    try:
        reply = await single_run_harness.send_draft(deadline_ms="1500")
        assert reply.status in (502, 504)
    except HttpError:
        pass
    assert list(runs_by_id(single_run_harness).values()) == [["large"]]


async def test_refused_stream_that_may_not_be_resumed_is_sent_elsewhere(
    single_run_harness: PlatformHarness,
) -> None:
    # An endpoint that states that it ran nothing leaves the one run to another endpoint.
    first, second = workers(single_run_harness, "engine")
    first.refuses = True
    for _ in range(3):
        assert (await single_run_harness.send_draft()).status == 200
    assert len(second.received) == 3


async def test_smaller_model_gets_the_only_run_while_engines_are_full(
    single_run_harness: PlatformHarness,
) -> None:
    for worker in workers(single_run_harness, "engine"):
        worker.hold = asyncio.Event()
    tasks = [asyncio.create_task(single_run_harness.send_draft()) for _ in range(8)]
    await single_run_harness.wait_until(lambda: len(sent_to(single_run_harness, "engine")) == 8)
    for worker in workers(single_run_harness, "engine"):
        worker.hold.set()
    assert all(reply.status == 200 for reply in await asyncio.gather(*tasks))
    runs = list(runs_by_id(single_run_harness).values())
    assert all(len(models) == 1 for models in runs)
    assert runs[0] == ["large"] and runs[-1] == ["small"]


def chosen(**changes: float | tuple[float, ...]) -> str:
    """Return the model chosen on idle engines, but for some changes."""
    return MODELS[choose_model(replace(IDLE, **changes))]


def test_idle_engines_run_the_largest_model() -> None:
    assert chosen() == "large"


@pytest.mark.parametrize("name", ["load", "delay_s"])
def test_load_makes_the_model_smaller(name: str) -> None:
    values = {"load": (0.1, 0.55, 0.75), "delay_s": (0.1, 1.4, 2.4)}[name]
    assert [chosen(**{name: value}) for value in values] == ["large", "medium", "small"]


def test_urgent_requests_keep_larger_models_for_longer() -> None:
    assert [chosen(rank=rank, load=0.45) for rank in (0, 3)] == ["large", "medium"]


def test_long_prompt_gets_a_model_that_answers_in_time() -> None:
    assert chosen(first_event_s_by_size=(0.5, 2.0, 4.0)) == "medium"
    assert chosen(first_event_s_by_size=(2.0, 8.0, 16.0)) == "small"


def test_short_time_left_makes_the_model_smaller() -> None:
    assert [chosen(left_s=left_s) for left_s in (1.0, 0.3, 0.1)] == ["large", "medium", "small"]


def test_smallest_model_runs_if_no_target_time_can_be_met() -> None:
    assert chosen(aim_s=0.0) == "small"
    assert chosen(load=1.0) == "small"
