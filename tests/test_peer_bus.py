"""The peer bus over pynng: delivery, refusal of bad frames, bounds towards dead peers."""

import asyncio
import hmac
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import pynng
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw, Struct
from msgspec.msgpack import encode

from comfreyhatch.adapters.peer_bus import BusLimits, NngBus
from comfreyhatch.adapters.peer_frame import (
    MAC_BYTES,
    REPLY,
    SEND,
    Frame,
    Item,
    is_replayed,
    next_sequence,
    seal,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import PeerTimeoutError

KEY, OTHER_KEY = b"k" * 32, b"o" * 32
LIMITS = BusLimits(frame_bytes=4096, items=8, frames=4, sockets=3)


class Note(Struct, frozen=True, tag="note"):
    text: str


class Echo(Struct, frozen=True, tag="echo"):
    text: str


class Pair:
    """Two buses that know each other, and the notes that the second took."""

    def __init__(self, a: NngBus, b: NngBus, address: Address) -> None:
        self.a, self.b, self.address = a, b, address
        self.notes: list[str] = []


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    a, b = NngBus("a", (KEY,), LIMITS), NngBus("b", (KEY,), LIMITS)
    address = await b.start("127.0.0.1", 0)
    b.set_address("a", await a.start("127.0.0.1", 0))
    a.set_address("b", address)
    pair = Pair(a, b, address)

    async def take_note(sender: str, note: Note) -> None:
        pair.notes.append(f"{sender}:{note.text}")

    async def echo(sender: str, message: Echo) -> Echo:
        return message

    b.on_message(Note, take_note)
    b.on_message(Echo, echo)
    yield pair
    await a.stop()
    await b.stop()


async def test_messages_of_one_turn_share_a_frame_and_keep_their_order(pair: Pair) -> None:
    assert (await pair.a.request("b", Echo("x"), Echo, 10)).text == "x"
    frames = pair.a.count_by_event["frames_sent"]
    for number in range(6):
        await pair.a.send("b", Note(str(number)))
    await until(lambda: len(pair.notes) == 6)
    assert pair.notes == [f"a:{number}" for number in range(6)]
    assert pair.a.count_by_event["frames_sent"] == frames + 1


def note_frame(sequence: int, body: bytes | None = None) -> Frame:
    return Frame("a", sequence, [Item(SEND, 0, "note", Raw(body or encode(Note("forged"))))])


def now_sequence() -> int:
    # Recent, yet below what the real sender uses afterwards.
    return next_sequence(0, time.time() - 1.0)


def garbage_under_a_valid_mac() -> bytes:
    body = b"\xc1" * 40
    return hmac.digest(KEY, b"b\0" + body, "sha256")[:MAC_BYTES] + body


@pytest.mark.parametrize(
    ("event", "build"),
    [
        ("unauthenticated", lambda: seal(note_frame(now_sequence()), "b", OTHER_KEY)),
        ("unauthenticated", lambda: seal(note_frame(now_sequence()), "c", KEY)),
        ("unauthenticated", lambda: b"short"),
        ("replayed", lambda: seal(note_frame(now_sequence() - 60_000), "b", KEY)),
        ("oversized", lambda: seal(note_frame(now_sequence(), b"x" * 5000), "b", KEY)),
        ("malformed", garbage_under_a_valid_mac),
        ("malformed", lambda: seal(note_frame(now_sequence(), encode(Note("x"))[:-1]), "b", KEY)),
        ("malformed", lambda: seal(note_frame(now_sequence(), encode([1, 2])), "b", KEY)),
    ],
)
async def test_a_bad_frame_is_counted_and_changes_nothing(
    pair: Pair, event: str, build: Callable[[], bytes]
) -> None:
    with pynng.Push0(dial=f"tcp://{pair.address}") as rogue:
        await rogue.asend(build())
        await until(lambda: pair.b.count_by_event[event] == 1)
    await pair.a.send("b", Note("real"))
    await until(lambda: bool(pair.notes))
    assert pair.notes == ["a:real"]


async def test_a_recorded_frame_is_refused_when_it_is_sent_again(pair: Pair) -> None:
    recorded = seal(note_frame(now_sequence()), "b", KEY)
    with pynng.Push0(dial=f"tcp://{pair.address}") as rogue:
        for _ in range(3):
            await rogue.asend(recorded)
        await until(lambda: pair.b.count_by_event["replayed"] == 2)
    assert pair.notes == ["a:forged"]


async def test_a_forged_reply_answers_no_request(pair: Pair) -> None:
    forged = Frame("a", now_sequence(), [Item(REPLY, 99, "", Raw(encode(Echo("x"))))])
    with pynng.Push0(dial=f"tcp://{pair.address}") as rogue:
        await rogue.asend(seal(forged, "b", KEY))
    assert (await pair.a.request("b", Echo("y"), Echo, 10)).text == "y"


async def test_both_keys_are_accepted_while_the_fleet_key_changes(pair: Pair) -> None:
    changing = NngBus("c", (OTHER_KEY, KEY), LIMITS)
    address = await changing.start("127.0.0.1", 0)
    changing.on_message(Note, lambda sender, note: asyncio.sleep(0))
    pair.a.set_address("c", address)
    changing.set_address("b", pair.address)
    await pair.a.send("c", Note("old key"))
    await until(lambda: changing.count_by_event["frames_received"] == 1)
    await changing.send("b", Note("new key"))
    await until(lambda: pair.b.count_by_event["unauthenticated"] == 1)
    assert changing.count_by_event["unauthenticated"] == 0
    await changing.stop()


@pytest.mark.parametrize("listening", [True, False])
async def test_a_peer_that_takes_nothing_neither_blocks_nor_grows_a_buffer(
    pair: Pair, listening: bool
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as mute:
        address = Address(*mute.getsockname()[:2])
        if not listening:
            mute.close()
        pair.a.set_address("mute", address)
        for _ in range(50):
            await pair.a.send("mute", Note("one burst"))
        assert pair.a.count_by_event["dropped"] == 50 - LIMITS.items
        for _ in range(100):
            await pair.a.send("mute", Note("x" * 1000))
            await asyncio.sleep(0)
        kept = LIMITS.items + LIMITS.frames * LIMITS.items
        assert pair.a.count_by_event["dropped"] >= 150 - kept
        with pytest.raises(PeerTimeoutError):
            await pair.a.request("mute", Echo("x"), Echo, 0.05)
    assert (await pair.a.request("b", Echo("alive"), Echo, 10)).text == "alive"


async def test_sockets_are_bounded_and_the_least_recently_used_is_closed(pair: Pair) -> None:
    for number in range(10):
        pair.a.set_address(f"p{number}", pair.address)
        await pair.a.send(f"p{number}", Note("x"))
        assert pair.a.socket_count <= LIMITS.sockets
    with pytest.raises(PeerTimeoutError):
        await pair.a.request("unknown", Echo("x"), Echo, 10)


async def test_a_stopped_bus_opens_no_socket(pair: Pair) -> None:
    await pair.a.stop()
    await pair.a.send("b", Note("late"))
    with pytest.raises(PeerTimeoutError):
        await pair.a.request("b", Echo("late"), Echo, 10)
    assert pair.a.socket_count == 0


async def test_a_handler_that_replies_while_the_bus_stops_opens_no_socket(pair: Pair) -> None:
    handling = asyncio.Event()

    async def reply_when_cancelled(sender: str, message: Echo) -> Echo:
        handling.set()
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()
        return message

    pair.b.on_message(Echo, reply_when_cancelled)
    request = asyncio.create_task(pair.a.request("b", Echo("x"), Echo, 10))
    await handling.wait()
    await pair.b.stop()
    request.cancel()
    assert pair.b.socket_count == 0


@given(st.lists(st.floats(0, 2e9), max_size=20), st.floats(0, 1e9))
def test_sequence_numbers_grow_whatever_the_clock_does(clock: list[float], start: float) -> None:
    last = sent = 0
    for unix_s in [start, *clock]:
        sent = next_sequence(sent, unix_s)
        assert sent > last
        assert not is_replayed(sent, last, unix_s, 30.0)
        assert is_replayed(sent, sent, unix_s, 30.0)
        last = sent
