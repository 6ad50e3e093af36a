"""Copies of earlier answers before those of hedges, of a cascade's large model, of resumed streams.

These are attempts beside or after another one of the same request, with the same id.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from time import monotonic

import pytest

from tests.platform_harness import PlatformHarness
from tests.platform_raw_worker import (
    replace_worker,
    request_id,
    stream_head,
    success_head,
)
from tests.raw_answers import NO_BODY, refusal
from tests.scripted_endpoint import ScriptedConnection, ScriptedEndpoint, scripted

# Longer than any test waits for an answer.
HELD_S = 5.0
EVENTS = 4
WHOLE_STREAM = b"".join(b"id: %d\ndata: one\n\n" % number for number in range(1, EVENTS + 1))


@asynccontextmanager
async def replaced_workers(
    harness: PlatformHarness, *endpoints: tuple[str, ScriptedEndpoint]
) -> AsyncIterator[None]:
    """Replace workers by endpoints, by their ids."""
    for worker_id, endpoint in endpoints:
        await replace_worker(harness, worker_id, endpoint)
    yield


def header(head: bytes, name: bytes) -> bytes:
    """Return a header of a request; empty if it has none."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


class HedgedEndpoints:
    """Endpoints that refuse the first request of a connection, and copy that before its second.

    Of the requests that are run, the first arrival is held, and the hedge is answered.

    Attributes:
        runs: Ids of the requests that were run, once for each arrival.
        copied: Arrivals before whose answer a copy was sent.
    """

    def __init__(self, copies_first: bool) -> None:
        """Create them.

        Args:
            copies_first: Whether the first arrival gets a copy, too, with no answer behind it.
        """
        self.runs: list[bytes] = []
        self.copied = 0
        self._copies_first = copies_first

    async def answer(self, connection: ScriptedConnection, head: bytes) -> None:
        if len(connection.heads) == 1:
            await connection.send(refusal(head))
            return
        self.runs.append(request_id(head))
        is_first = self.runs.count(request_id(head)) == 1
        if len(connection.heads) == 2 and (self._copies_first or not is_first):
            self.copied += 1
            await connection.send(refusal(connection.heads[0]))
        if is_first:
            await asyncio.sleep(HELD_S)
        await connection.send(success_head(head, b"content-length: 5") + b"hedge")


@pytest.mark.parametrize("copies_first", [False, True], ids=["hedge", "both"])
async def test_copy_before_the_answer_of_a_hedge_does_not_end_the_hedge(
    harness: PlatformHarness, copies_first: bool
) -> None:
    hedged = HedgedEndpoints(copies_first)
    async with AsyncExitStack() as stack:
        desks = [await stack.enter_async_context(scripted(hedged.answer)) for _ in range(2)]
        for number, desk in enumerate(desks, 1):
            await replace_worker(harness, f"desk-{number}", desk)
        # Both endpoints refuse it, and keep a connection.
        assert (await harness.send("/read/x", attempt_id="refused")).status == 503
        started = monotonic()
        reply = await harness.send("/read/x", attempt_id="hedged")
        assert (reply.status, reply.body) == (200, b"hedge")
        assert monotonic() - started < 0.9
        assert hedged.runs == [b"hedged"] * 2
        assert hedged.copied == 1 + copies_first


class CascadeEngine:
    """Refuses the first request of a connection, and copies that before its second answer.

    Attributes:
        runs: Ids and models of the requests that were run.
        copied: Answers that a copy came before, by model.
    """

    def __init__(self) -> None:
        self.runs: list[tuple[bytes, bytes]] = []
        self.copied: list[bytes] = []

    async def answer(self, connection: ScriptedConnection, head: bytes) -> None:
        if len(connection.heads) == 1 and header(head, b"model") == b"small":
            await connection.send(refusal(head))
            return
        model = header(head, b"model")
        self.runs.append((request_id(head), model))
        if len(connection.heads) > 1:
            self.copied.append(model)
            await connection.send(refusal(connection.heads[0]))
        confidence = b"confidence: 99" if model == b"large" else b"confidence: 5"
        events = WHOLE_STREAM.replace(b"one", model)
        await connection.send(stream_head(head, confidence, b"content-length: %d" % len(events)))
        # The answer of the small model is still under way as it is dropped.
        await connection.send(events[:20])
        await asyncio.sleep(0.05)
        await connection.send(events[20:])


async def test_copies_before_the_answers_of_a_cascade_end_neither_of_its_attempts(
    harness: PlatformHarness,
) -> None:
    engines = [CascadeEngine(), CascadeEngine()]
    async with AsyncExitStack() as stack:
        for number, engine in enumerate(engines, 1):
            raw = await stack.enter_async_context(scripted(engine.answer))
            await replace_worker(harness, f"engine-{number}", raw)
        replies = [await harness.send_draft(attempt_id=f"call-{n}") for n in range(6)]
        answered = [b"call-%d" % n for n, reply in enumerate(replies) if reply.status == 200]
        assert len(answered) >= 5
        copied = [model for engine in engines for model in engine.copied]
        assert {*copied} == {b"small", b"large"}
        runs = [run for engine in engines for run in engine.runs]
        wanted = [(own, model) for own in answered for model in (b"large", b"small")]
        assert sorted(runs) == sorted(wanted)
        whole = WHOLE_STREAM.replace(b"one", b"large")
        assert all(reply.body == whole for reply in replies if reply.status == 200)


async def test_large_model_is_not_asked_for_the_confidence_of_a_copied_answer(
    harness: PlatformHarness,
) -> None:
    first_heads: list[bytes] = []

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        copies = stream_head(first_heads[0], b"confidence: 5", NO_BODY) if first_heads else b""
        first_heads.append(head)
        own = stream_head(head, b"confidence: 99", b"content-length: %d" % len(WHOLE_STREAM))
        await connection.send(copies + own + WHOLE_STREAM)

    harness.store.remove("servers", "engine-2")
    async with scripted(answer) as engine, replaced_workers(harness, ("engine-1", engine)):
        replies = [await harness.send_draft(attempt_id=f"call-{n}") for n in range(3)]
        assert [(reply.status, reply.body) for reply in replies] == [(200, WHOLE_STREAM)] * 3
        assert [header(head, b"model") for head in engine.requests] == [b"small"] * 3


class ResumingEngine:
    """Refuses each stream once, and copies that refusal before all else on the same connection.

    Attributes:
        runs: Ids of the last event that requests named that were run.
        copied: Number of the answers that a copy came before.
    """

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.copied = 0
        self._refused: set[bytes] = set()

    async def answer(self, connection: ScriptedConnection, head: bytes) -> None:
        own = request_id(head)
        if own not in self._refused:
            self._refused.add(own)
            await connection.send(refusal(head))
            return
        last = int(header(head, b"last-event-id") or b"0")
        self.runs.append(b"%d" % last)
        if len(connection.heads) > 1:
            self.copied += 1
            await connection.send(refusal(connection.heads[0]))
        events = WHOLE_STREAM.split(b"\n\n")[last:EVENTS]
        # The first run breaks behind the second event.
        length = sum(len(event) + 2 for event in events)
        await connection.send(stream_head(head, b"content-length: %d" % length))
        for event in events:
            await connection.send(event + b"\n\n")
            if last == 0 and event.startswith(b"id: 2\n"):
                await asyncio.sleep(0.05)
                connection.reset()
                return


async def test_stream_that_goes_on_at_its_endpoint_does_not_take_a_copy_for_its_answer(
    harness: PlatformHarness,
) -> None:
    engine = ResumingEngine()
    harness.store.remove("servers", "engine-2")
    async with scripted(engine.answer) as raw, replaced_workers(harness, ("engine-1", raw)):
        replies = [await harness.send_draft(attempt_id=f"call-{n}") for n in range(4)]
        assert [(reply.status, reply.body) for reply in replies] == [(200, WHOLE_STREAM)] * 4
        assert engine.runs == [b"0", b"2"] * 4
        assert engine.copied >= 2


async def test_stream_that_goes_on_at_an_address_of_two_rows_does_not_take_a_copy_for_its_answer(
    harness: PlatformHarness,
) -> None:
    engine = ResumingEngine()
    async with (
        scripted(engine.answer) as raw,
        replaced_workers(harness, ("engine-1", raw), ("engine-2", raw)),
    ):
        replies = [await harness.send_draft(attempt_id=f"call-{n}") for n in range(4)]
        assert [(reply.status, reply.body) for reply in replies] == [(200, WHOLE_STREAM)] * 4
        assert engine.runs == [b"0", b"2"] * 4
        assert engine.copied >= 2


async def test_hedge_at_an_address_of_two_rows_does_not_take_the_first_attempt_s_refusal(
    harness: PlatformHarness,
) -> None:
    # Both attempts have the same id; the connection that one of them has used tells nothing.
    arrivals: list[bytes] = []
    refused_on: dict[bytes, int] = {}

    async def answer(connection: ScriptedConnection, head: bytes) -> None:
        own = request_id(head)
        arrivals.append(own)
        if own not in refused_on:
            refused_on[own] = connection.number
            await asyncio.sleep(0.1)
            await connection.send(refusal(head))
            return
        copies = refusal(head) if refused_on[own] == connection.number else b""
        await connection.send(copies + success_head(head, b"content-length: 2") + b"ok")

    async with (
        scripted(answer) as desk,
        replaced_workers(harness, ("desk-1", desk), ("desk-2", desk)),
    ):
        for path in ("/read/x", "/pay/x"):
            replies = [await harness.send(path, attempt_id=f"{path}{n}") for n in range(4)]
            assert [(reply.status, reply.body) for reply in replies] == [(200, b"ok")] * 4
        assert len(arrivals) == 16
