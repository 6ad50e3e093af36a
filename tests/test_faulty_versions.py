"""A roll-out goes back whatever way the new version fails in, and sound versions are completed."""

import logging
from collections.abc import Callable

import pytest
from msgspec.structs import replace

from comfreyhatch.adapters.http_message import HttpResponse
from tests.faulty_version import (
    COMPLETED_WITHIN_S,
    NEW_IDS,
    OVER_S,
    Failing,
    answer_in_part,
    cut,
    cut_stream,
    fail_with,
    hang,
    lack_receipt,
    reset,
    rollout_to,
    silence_stream,
)
from tests.platform_harness import workers

PLAIN = ("/pay/x", "/read/x")
STREAMS = ("/draft/one",)

PLAIN_FAILURES = {
    "status_500": (fail_with(b"500 Error"), "status 500"),
    "status_503": (fail_with(b"503 Busy"), "status 503"),
    "status_408": (fail_with(b"408 Late"), "status 408"),
    "cut": (cut, "cut answer"),
    "reset": (reset, "no answer"),
    "hang": (hang, "timeout"),
    "no_receipt": (lack_receipt, "invalid answer"),
}
STREAM_FAILURES = {
    "status_503": (fail_with(b"503 Busy"), "status 503"),
    "reset": (reset, "no answer"),
    "cut": (cut_stream, "cut answer"),
    "silent": (silence_stream, ""),
}


def fail_one_in(count: int) -> Callable[[HttpResponse], HttpResponse]:
    """Return a change of answers that makes one in a number of them a failure."""
    number = 0

    def change(answer: HttpResponse) -> HttpResponse:
        nonlocal number
        number += 1
        return replace(answer, status=503) if number % count == 0 else answer

    return change


async def assert_goes_back(
    service: str, paths: tuple[str, ...], fail: Failing, text: str, log: pytest.LogCaptureFixture
) -> None:
    log.set_level(logging.INFO)
    async with rollout_to(service, paths, answer_in_part(fail)) as rollout:
        assert await rollout.ended(OVER_S) == "rolled_back"
    assert f"{text}: " in log.text
    # A third of the requests were lost once such a version had been completed.
    assert rollout.failed < 0.25 * rollout.sent


@pytest.mark.parametrize(("fail", "text"), PLAIN_FAILURES.values(), ids=PLAIN_FAILURES)
async def test_roll_out_of_a_plain_service_goes_back_whatever_fails(
    fail: Failing, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    # Only answers with a status that may be passed on were evidence: versions whose answers broke
    # off, did not come or were 503 were completed (review/7).
    await assert_goes_back("desk", PLAIN, fail, text, caplog)


@pytest.mark.parametrize(("fail", "text"), STREAM_FAILURES.values(), ids=STREAM_FAILURES)
async def test_roll_out_of_model_engines_goes_back_whatever_fails(
    fail: Failing, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    # A stream counted as good with its head, whatever came behind it (review/7).
    await assert_goes_back("engines", STREAMS, fail, text, caplog)


async def test_sound_plain_version_is_completed_in_time() -> None:
    async with rollout_to("desk", PLAIN, None) as rollout:
        assert await rollout.ended(COMPLETED_WITHIN_S) == "completed"


async def test_sound_version_of_model_engines_is_completed_in_time() -> None:
    async with rollout_to("engines", STREAMS, None) as rollout:
        assert await rollout.ended(COMPLETED_WITHIN_S) == "completed"


async def test_one_endpoint_that_crashes_does_not_end_the_roll_out_of_a_sound_version() -> None:
    # What an endpoint loses as it crashes is one event, and no fault of its version.
    async with rollout_to("engines", STREAMS, None) as rollout:
        harness = rollout.harness
        crashing = harness.worker_by_id[NEW_IDS[0]]
        crashing.down_s = 1.0
        await harness.wait_until(lambda: crashing.received)
        for number in NEW_IDS:
            harness.worker_by_id[number].pause_s = lambda number: 0.05
        held = len(crashing.received)
        await harness.wait_until(lambda: len(crashing.received) > held + 1)
        crashing.crash()
        assert await rollout.ended(COMPLETED_WITHIN_S) == "completed"


async def test_version_that_fails_as_often_as_the_replaced_one_is_completed() -> None:
    async with rollout_to("desk", PLAIN, answer_in_part(fail_with(b"503 Busy"), 9)) as rollout:
        for worker in workers(rollout.harness, "desk"):
            worker.transform = fail_one_in(9)
        assert await rollout.ended(COMPLETED_WITHIN_S) == "completed"
