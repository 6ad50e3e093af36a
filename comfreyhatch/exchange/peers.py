"""Queries between daemons for the state of the directory, over nng request/reply sockets."""

import asyncio
import logging
import zlib
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import TypeVar

import pynng
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.adapters.nng_socket import close_socket
from comfreyhatch.domain.operations import Operations
from comfreyhatch.domain.permit import PermitAnswer, PermitAsk
from comfreyhatch.domain.position import Position
from comfreyhatch.errors import ListenError, PeerError, PeerTimeoutError
from comfreyhatch.exchange.catalog_changes import CatalogChanges
from comfreyhatch.exchange.endpoint_changes import EndpointChanges
from comfreyhatch.exchange.peer_reports import Report
from comfreyhatch.exchange.permits import PermitChannel
from comfreyhatch.exchange.record_changes import RecordChanges

# Time for an answer, beyond the wait that the query asks for.
ANSWER_TIMEOUT_S = 0.4
# Time after which a query is answered even if it asks for a longer wait.
MAX_QUERY_WAIT_S = 2.0
# The hash gives a reader up to 44 followers in fleets of 420 daemons.
MAX_CONCURRENT_QUERIES = 64
# Fastest level: a change of the configuration is sent to all followers at once.
COMPRESSION_LEVEL = 1
# Time for the answering tasks to end once their sockets are closed.
STOP_TIMEOUT_S = 2.0
# Without a limit, nng takes memory for whatever length a message announces. A list of 1,000
# endpoints has 0.14 MB.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

T = TypeVar("T")

log = logging.getLogger("comfreyhatch.peers")


class PeerQuery(Struct, frozen=True):
    """Long poll for what is newer than the positions that a daemon holds.

    Attributes:
        operations: Position of the orders.
        endpoints: Position of the list of endpoints.
        records: Position of the daemons' records.
        wait_s: Longest wait for anything newer, in seconds.
        catalog_version: Version of the configuration; None for none, and from daemons that can't
            take changes of it.
        reports: Reports to learn and to pass on.
        reports_seen: Revision of the peer's reports that the daemon has; None from daemons that
            can't take any.
        permits: Permits that are asked for; such a query gets nothing else.
        only_reports: Whether the query only carries reports to the peer; daemons that don't know
            this answer it like any other.
    """

    operations: Position = Position()
    endpoints: Position = Position()
    records: Position = Position()
    wait_s: float = 0.0
    catalog_version: int | None = None
    reports: tuple[Report, ...] = ()
    reports_seen: int | None = None
    permits: tuple[PermitAsk, ...] = ()
    only_reports: bool = False


class PeerUpdate(Struct, frozen=True):
    """What is newer than the positions of a query; ages count from the directory's last answer.

    Attributes:
        operations: Orders; None if they have not changed. Without their configuration if the
            query names the version that the peer holds.
        operations_age_s: Age of the orders, in seconds.
        endpoints: Changes of the list of endpoints; None if no list is known.
        endpoints_age_s: Age of the list, in seconds.
        record_changes: Changes of the daemons' records; None if there are none.
        operations_position: Position up to which the orders are known, changed or not.
        catalog_changes: Changes of the configuration; None if there are none, or if `operations`
            has it.
        reports: Reports that are new to the daemon.
        reports_revision: Revision of the peer's last report.
        reports_start: Revision of the peer's reports at its start.
        permits: Answers to the asks for permits, in their order.
    """

    operations: Operations | None
    operations_age_s: float
    endpoints: EndpointChanges | None
    endpoints_age_s: float
    record_changes: RecordChanges | None
    operations_position: Position
    catalog_changes: CatalogChanges | None = None
    reports: tuple[Report, ...] = ()
    reports_revision: int = 0
    reports_start: int = 0
    permits: tuple[PermitAnswer, ...] = ()


class PeerListener:
    """Answers the queries of peers, up to MAX_CONCURRENT_QUERIES at a time.

    Attributes:
        answers: Number of queries answered so far.
        bytes_sent: Size of these answers, in bytes.
        largest_bytes: Size of the largest of them, in bytes.
    """

    def __init__(self, address: str, answer: Callable[[PeerQuery], Awaitable[PeerUpdate]]) -> None:
        """Create a listener.

        Args:
            address: HOST:PORT to listen on.
            answer: Answers a query once anything is newer or its wait is over.
        """
        self._address = address
        self._answer = answer
        self._socket: pynng.Rep0 | None = None
        self._contexts: list[pynng.Context] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.answers = 0
        self.bytes_sent = 0
        self.largest_bytes = 0

    def start(self) -> None:
        """Open the socket and start to answer.

        Raises:
            ListenError: If the listener cannot be opened.
        """
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self._socket.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            raise ListenError(f"cannot listen on {self._address}: {error}") from error
        self._contexts = [self._socket.new_context() for _ in range(MAX_CONCURRENT_QUERIES)]
        self._tasks = [asyncio.create_task(self._serve(context)) for context in self._contexts]

    async def stop(self) -> None:
        """Close the socket and end the answers under way.

        pynng drops a cancellation that arrives while its operation completes, so that a task may
        go on after it is cancelled. Closing the contexts ends every operation of the socket, and
        the flag keeps a task from starting another one.
        """
        self._stopping = True
        for context in self._contexts:
            context.close()
        if self._socket:
            close_socket(self._socket, monotonic())
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await self._wait_for_tasks()

    async def _wait_for_tasks(self) -> None:
        ended, late = await asyncio.wait(self._tasks, timeout=STOP_TIMEOUT_S)
        if late:
            log.error("event=peer_listener_stop_late tasks=%d", len(late))
        for task in ended:
            error = None if task.cancelled() else task.exception()
            if error:
                log.error("event=peer_answer_task_failed reason=%r", error)

    async def _serve(self, context: pynng.Context) -> None:
        while not self._stopping:
            try:
                await self._serve_query(context)
            except (pynng.NNGException, MsgspecError) as error:
                if not self._stopping:
                    log.warning("event=peer_answer_failed reason=%r", str(error))

    async def _serve_query(self, context: pynng.Context) -> None:
        query = decode(await context.arecv(), type=PeerQuery)
        if self._stopping:
            return
        answer = _encode_update(await self._answer(query))
        if self._stopping:
            return
        await context.asend(answer)
        self.answers += 1
        self.bytes_sent += len(answer)
        self.largest_bytes = max(self.largest_bytes, len(answer))


class PeerClient:
    """Queries one peer over a connection that is reused until a query fails."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._req: pynng.Req0 | None = None

    async def query(self, query: PeerQuery) -> PeerUpdate:
        """Return the peer's answer to a query.

        Raises:
            PeerTimeoutError: If the answer does not come in time.
            PeerError: If the peer cannot be reached or its answer cannot be decoded.
        """
        try:
            async with asyncio.timeout(query.wait_s + ANSWER_TIMEOUT_S):
                req = self._connected()
                await _cancellable(req.asend(encode(query)))
                return _decode_update(await _cancellable(req.arecv()))
        except TimeoutError:
            self.close()
            raise PeerTimeoutError(f"{self.address} did not answer in time") from None
        except pynng.NNGException as error:
            self.close()
            raise PeerError(f"cannot query {self.address}: {error}") from error
        except (MsgspecError, zlib.error) as error:
            self.close()
            raise PeerError(f"cannot decode the answer of {self.address}: {error}") from error

    def close(self) -> None:
        """Close the connection; the next query opens a new one."""
        if self._req:
            close_socket(self._req, monotonic())
            self._req = None

    def _connected(self) -> pynng.Req0:
        if self._req is None:
            self._req = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            self._req.dial(f"tcp://{self.address}", block=False)
        return self._req


class PeerPermitChannel(PermitChannel):
    """Asks one peer for permits."""

    def __init__(self, address: str) -> None:
        self._peer = PeerClient(address)

    async def ask(self, asks: tuple[PermitAsk, ...]) -> tuple[PermitAnswer, ...]:
        """Return the peer's answers; see `PermitChannel.ask`."""
        return (await self._peer.query(PeerQuery(permits=asks))).permits

    def close(self) -> None:
        """Close the connection."""
        self._peer.close()


def _encode_update(update: PeerUpdate) -> bytes:
    return zlib.compress(encode(update), COMPRESSION_LEVEL)


def _decode_update(data: bytes) -> PeerUpdate:
    """Decode an answer.

    Raises:
        MsgspecError: If it is malformed or longer than `MAX_MESSAGE_BYTES`.
        zlib.error: If it is not compressed data.
    """
    return decode(zlib.decompressobj().decompress(data, MAX_MESSAGE_BYTES), type=PeerUpdate)


async def _cancellable(operation: Awaitable[T]) -> T:
    """Await a pynng operation, and raise a cancellation that pynng drops.

    pynng ends normally, or with the operation's error, if the operation completes before its
    cancellation takes effect.
    """
    task = asyncio.current_task()
    assert task is not None
    cancellations = task.cancelling()
    try:
        return await operation
    finally:
        if task.cancelling() > cancellations:
            raise asyncio.CancelledError
