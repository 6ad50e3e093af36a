"""Queries between daemons for the state of the directory, over nng request/reply sockets."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

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
# Without a limit, nng takes memory for whatever length a message announces. A list of 1,000
# endpoints has 0.14 MB.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

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
        """Cancel the answers under way and close the socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for context in self._contexts:
            context.close()
        if self._socket:
            self._socket.close()

    async def _serve(self, context: pynng.Context) -> None:
        while True:
            try:
                query = decode(await context.arecv(), type=PeerQuery)
                await context.asend(encode(await self._answer(query)))
            except (pynng.NNGException, MsgspecError) as error:
                log.warning("event=peer_answer_failed reason=%r", str(error))


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
                await req.asend(encode(query))
                return decode(await req.arecv(), type=PeerUpdate)
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
            self._req = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            self._req.dial(f"tcp://{self.address}", block=False)
        return self._req
