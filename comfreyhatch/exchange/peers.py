"""Queries between daemons for the state of the directory, over nng request/reply sockets."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pynng
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.errors import ListenError, PeerError, PeerTimeoutError
from comfreyhatch.exchange.endpoint_changes import EndpointChanges

# Time for an answer, beyond the wait that the query asks for.
ANSWER_TIMEOUT_S = 0.4
# Time after which a query is answered even if it asks for a longer wait.
MAX_QUERY_WAIT_S = 2.0
MAX_CONCURRENT_QUERIES = 24
# Time for the answering tasks to end once their sockets are closed.
STOP_TIMEOUT_S = 2.0

T = TypeVar("T")

log = logging.getLogger("comfreyhatch.peers")


class PeerQuery(Struct, frozen=True):
    """Long poll for what is newer than the revisions that a daemon holds.

    Attributes:
        operations: Revision of the orders; 0 for none.
        endpoints: Revision of the list of endpoints; 0 for none.
        records: Revision of the daemons' records; 0 for none.
        wait_s: Longest wait for anything newer, in seconds.
    """

    operations: int = 0
    endpoints: int = 0
    records: int = 0
    wait_s: float = 0.0


class PeerUpdate(Struct, frozen=True):
    """What is newer than the revisions of a query; ages count from the directory's last answer.

    Attributes:
        operations: Orders; None if they are not newer.
        operations_age_s: Age of the orders, in seconds.
        endpoints: Changes of the list of endpoints; None if no list is known.
        endpoints_age_s: Age of the list, in seconds.
        records: Records of the daemons; None if they are not newer.
    """

    operations: Operations | None
    operations_age_s: float
    endpoints: EndpointChanges | None
    endpoints_age_s: float
    records: SharedRecords | None


class PeerListener:
    """Answers the queries of peers, up to MAX_CONCURRENT_QUERIES at a time."""

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

    def start(self) -> None:
        """Open the socket and start to answer.

        Raises:
            ListenError: If the listener cannot be opened.
        """
        self._socket = pynng.Rep0()
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
            self._socket.close()
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
        update = await self._answer(query)
        if self._stopping:
            return
        await context.asend(encode(update))


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
                return decode(await _cancellable(req.arecv()), type=PeerUpdate)
        except TimeoutError:
            self.close()
            raise PeerTimeoutError(f"{self.address} did not answer in time") from None
        except pynng.NNGException as error:
            self.close()
            raise PeerError(f"cannot query {self.address}: {error}") from error
        except MsgspecError as error:
            self.close()
            raise PeerError(f"cannot decode the answer of {self.address}: {error}") from error

    def close(self) -> None:
        """Close the connection; the next query opens a new one."""
        if self._req:
            self._req.close()
            self._req = None

    def _connected(self) -> pynng.Req0:
        if self._req is None:
            self._req = pynng.Req0()
            self._req.dial(f"tcp://{self.address}", block=False)
        return self._req


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
