"""Peer messages over pynng: one listening socket, one dialled socket a peer in use."""

import asyncio
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import pynng
from msgspec import MsgspecError, Raw, Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.adapters.nng_socket import close_socket
from comfreyhatch.adapters.peer_frame import (
    MS_PER_S,
    REPLY,
    REQUEST,
    SEND,
    Frame,
    Item,
    is_replayed,
    next_sequence,
    seal,
    unseal,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ListenError, PeerTimeoutError
from comfreyhatch.ports.peers import Handler, M, R

FRAMES_PER_TURN = 64
SWEEP_INTERVAL_S = 5.0

log = logging.getLogger("comfreyhatch.peers")


class BusLimits(Struct, frozen=True):
    """Bounds of a bus.

    Attributes:
        frame_bytes: Largest frame accepted and sent.
        items: Messages that wait for one peer.
        frames: Frames that wait in the socket of one peer.
        handlers: Handlers running at once.
        sockets: Dialled sockets open at once.
        idle_s: Time after which an unused dialled socket is closed.
        max_age_s: Age at which a frame is refused; bounds the difference of the clocks.
    """

    frame_bytes: int = 1_048_576
    items: int = 256
    frames: int = 32
    handlers: int = 512
    sockets: int = 128
    idle_s: float = 30.0
    max_age_s: float = 30.0


class _Link:
    """The dialled socket of a peer and the messages that wait for it."""

    def __init__(self, address: Address, limits: BusLimits) -> None:
        self.address = address
        self.waiting: list[Item] = []
        self.used_at = 0.0
        self.socket = pynng.Push0(send_buffer_size=limits.frames)
        self.socket.dial(f"tcp://{address}", block=False)


class NngBus:
    """Sends and receives authenticated frames; owns its sockets."""

    def __init__(
        self,
        instance_id: str,
        keys: tuple[bytes, ...],
        limits: BusLimits | None = None,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a bus.

        Args:
            instance_id: Own name.
            keys: Fleet keys: the first signs, all are accepted.
            limits: Bounds.
            unix_clock: Seconds since the epoch.
        """
        self.instance_id = instance_id
        self.count_by_event: Counter[str] = Counter()
        self._keys = keys
        self._limits = limits or BusLimits()
        self._unix_clock = unix_clock
        self._sequence = 0
        self._calls = 0
        self._listener: pynng.Pull0 | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._address_by_id: dict[str, Address] = {}
        self._link_by_id: dict[str, _Link] = {}
        self._type_and_handler_by_tag: dict[str, tuple[type[Struct], Handler]] = {}
        self._future_by_call: dict[int, asyncio.Future[Raw]] = {}
        self._last_sequence_by_sender: dict[str, int] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._stopped = False

    async def start(self, host: str, port: int) -> Address:
        """Listen; port 0 takes a free one.

        Returns:
            The address that the listener has.

        Raises:
            ListenError: If the address cannot be had.
        """
        try:
            self._listener = pynng.Pull0(
                listen=f"tcp://{host}:{port}", recv_max_size=2 * self._limits.frame_bytes
            )
        except pynng.NNGException as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener.recv_fd, self._receive_frames)
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        bound = self._listener.listeners[0].local_address
        return Address(host, socket.ntohs(bound.port))

    async def stop(self) -> None:
        """Close all sockets and cancel running handlers; what is sent later is dropped."""
        self._stopped = True
        if self._sweeper:
            self._sweeper.cancel()
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener.recv_fd)
            close_socket(self._listener, time.monotonic())
            self._listener = None
        for instance_id in list(self._link_by_id):
            self._close_link(instance_id)
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    @property
    def socket_count(self) -> int:
        """Number of dialled sockets."""
        return len(self._link_by_id)

    def set_address(self, instance_id: str, address: Address) -> None:
        """Set where a peer listens; an id "@host:port" stands for a peer of unknown name."""
        self._address_by_id[instance_id] = address
        link = self._link_by_id.get(instance_id)
        if link and link.address != address:
            self._close_link(instance_id)

    def remove_address(self, instance_id: str) -> None:
        """Forget a peer's address and close its socket."""
        self._address_by_id.pop(instance_id, None)
        self._close_link(instance_id)

    def on_message(self, message_type: type[M], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._type_and_handler_by_tag[_tag(message_type)] = (message_type, handler)

    async def send(self, instance_id: str, message: Struct) -> None:
        """Queue a message without an answer; dropped when the peer takes none."""
        self._queue(instance_id, Item(SEND, 0, _tag(type(message)), Raw(encode(message))))

    async def request(
        self, instance_id: str, message: Struct, reply_type: type[R], timeout_s: float
    ) -> R:
        """Send a message and return its reply.

        Raises:
            PeerTimeoutError: If no reply came in time.
        """
        self._calls += 1
        call = self._calls
        future: asyncio.Future[Raw] = asyncio.get_running_loop().create_future()
        self._future_by_call[call] = future
        item = Item(REQUEST, call, _tag(type(message)), Raw(encode(message)))
        try:
            if not self._queue(instance_id, item):
                raise PeerTimeoutError(f"peer {instance_id} is not reachable")
            async with asyncio.timeout(timeout_s):
                return decode(await future, type=reply_type)
        except TimeoutError:
            raise PeerTimeoutError(
                f"peer {instance_id} gave no reply within {timeout_s:g} s"
            ) from None
        except MsgspecError as error:
            self.count_by_event["malformed"] += 1
            raise PeerTimeoutError(f"peer {instance_id} gave a malformed reply") from error
        finally:
            del self._future_by_call[call]

    def _queue(self, instance_id: str, item: Item) -> bool:
        link = self._link(instance_id)
        if link is None or len(link.waiting) >= self._limits.items:
            self.count_by_event["dropped"] += 1
            return False
        link.waiting.append(item)
        if len(link.waiting) == 1:
            asyncio.get_running_loop().call_soon(self._flush, instance_id)
        return True

    def _link(self, instance_id: str) -> _Link | None:
        link = self._link_by_id.get(instance_id)
        if link is None:
            address = self._address_by_id.get(instance_id)
            if address is None or self._stopped:
                return None
            if len(self._link_by_id) >= self._limits.sockets:
                self._close_link(min(self._link_by_id, key=lambda i: self._link_by_id[i].used_at))
            link = self._link_by_id[instance_id] = _Link(address, self._limits)
        link.used_at = asyncio.get_running_loop().time()
        return link

    def _flush(self, instance_id: str) -> None:
        link = self._link_by_id.get(instance_id)
        if link is None:
            return
        items, link.waiting = link.waiting, []
        for batch in _batches(items, self._limits.frame_bytes // 2):
            self._send_frame(instance_id, link, batch)

    def _send_frame(self, instance_id: str, link: _Link, items: list[Item]) -> None:
        self._sequence = next_sequence(self._sequence, self._unix_clock())
        recipient = "" if instance_id.startswith("@") else instance_id
        data = seal(Frame(self.instance_id, self._sequence, items), recipient, self._keys[0])
        if len(data) > self._limits.frame_bytes:
            self.count_by_event["dropped"] += len(items)
            log.warning("event=peer_frame_too_large peer=%s bytes=%d", instance_id, len(data))
            return
        try:
            link.socket.send(data, block=False)
        except pynng.NNGException:
            self.count_by_event["dropped"] += len(items)
            return
        self.count_by_event["frames_sent"] += 1
        self.count_by_event["bytes_sent"] += len(data)

    def _receive_frames(self) -> None:
        for _ in range(FRAMES_PER_TURN):
            if self._listener is None:
                return
            try:
                data = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            refusal = self._receive(data)
            if refusal:
                self.count_by_event[refusal] += 1
                log.debug("event=peer_frame_refused reason=%s bytes=%d", refusal, len(data))

    def _receive(self, data: bytes) -> str:
        """Take a frame in; return why it is refused, or an empty string."""
        self.count_by_event["frames_received"] += 1
        self.count_by_event["bytes_received"] += len(data)
        if len(data) > self._limits.frame_bytes:
            return "oversized"
        try:
            frame = unseal(data, self.instance_id, self._keys)
        except MsgspecError:
            return "malformed"
        if frame is None:
            return "unauthenticated"
        last = self._last_sequence_by_sender.get(frame.sender, 0)
        if is_replayed(frame.sequence, last, self._unix_clock(), self._limits.max_age_s):
            return "replayed"
        self._last_sequence_by_sender[frame.sender] = frame.sequence
        for item in frame.items:
            self._dispatch(frame.sender, item)
        return ""

    def _dispatch(self, sender: str, item: Item) -> None:
        if item.kind == REPLY:
            future = self._future_by_call.get(item.call)
            if future and not future.done():
                # The body is a view into the frame; the copy frees the frame.
                future.set_result(Raw(bytes(item.body)))
            return
        if item.tag not in self._type_and_handler_by_tag:
            self.count_by_event["unknown"] += 1
            return
        if len(self._running) >= self._limits.handlers:
            self.count_by_event["overloaded"] += 1
            return
        message_type, handler = self._type_and_handler_by_tag[item.tag]
        try:
            message = decode(item.body, type=message_type)
        except MsgspecError:
            self.count_by_event["malformed"] += 1
            return
        task = asyncio.get_running_loop().create_task(self._handle(sender, item, message, handler))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _handle(self, sender: str, item: Item, message: Any, handler: Handler) -> None:
        try:
            reply = await handler(sender, message)
        except Exception:
            self.count_by_event["handler_failed"] += 1
            log.exception("event=peer_handler_failed peer=%s type=%s", sender, item.tag)
            return
        if item.kind == REQUEST and reply is not None:
            self._queue(sender, Item(REPLY, item.call, "", Raw(encode(reply))))

    def _sweep(self) -> None:
        """Close idle sockets and drop sequence numbers that the age limit refuses anyway."""
        loop = asyncio.get_running_loop()
        oldest_sequence = (self._unix_clock() - self._limits.max_age_s) * MS_PER_S
        for sender, sequence in list(self._last_sequence_by_sender.items()):
            if sequence < oldest_sequence:
                del self._last_sequence_by_sender[sender]
        oldest = loop.time() - self._limits.idle_s
        for instance_id, link in list(self._link_by_id.items()):
            if link.used_at < oldest:
                self._close_link(instance_id)
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _close_link(self, instance_id: str) -> None:
        link = self._link_by_id.pop(instance_id, None)
        if link:
            close_socket(link.socket, time.monotonic())


def _tag(message_type: type[Struct]) -> str:
    tag = message_type.__struct_config__.tag
    return tag if isinstance(tag, str) else message_type.__name__


def _batches(items: list[Item], limit_bytes: int) -> list[list[Item]]:
    """Split messages into batches whose bodies stay under a size, or hold one message."""
    batches: list[list[Item]] = []
    size = limit_bytes
    for item in items:
        length = len(bytes(item.body))
        if size + length > limit_bytes:
            batches.append([])
            size = 0
        batches[-1].append(item)
        size += length
    return batches
