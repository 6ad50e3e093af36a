"""What daemons tell each other: news of the directory, for those that do not read it themselves."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pynng
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.errors import ListenError, PeerError, PeerTimeoutError
from comfreyhatch.exchange.endpoint_changes import EndpointChanges

ANSWER_TIMEOUT_S = 0.4
LONGEST_WAIT_S = 2.0
QUESTIONS_AT_ONCE = 24

log = logging.getLogger("comfreyhatch.peers")


class PeerQuery(Struct, frozen=True):
    """Revisions that a daemon holds, 0 for none, and how long it waits for anything newer."""

    operations: int = 0
    endpoints: int = 0
    records: int = 0
    wait_s: float = 0.0


class PeerUpdate(Struct, frozen=True):
    """What is newer than what was held; ages are in seconds since the directory confirmed it."""

    operations: Operations | None
    operations_age_s: float
    endpoints: EndpointChanges | None
    endpoints_age_s: float
    records: SharedRecords | None


class PeerListener:
    """Answers peers that ask for news, many at once."""

    def __init__(self, address: str, answer: Callable[[PeerQuery], Awaitable[PeerUpdate]]) -> None:
        """Create a listener.

        Args:
            address: HOST:PORT to listen on.
            answer: Returns what is newer than what a peer holds, once there is anything.
        """
        self._address = address
        self._answer = answer
        self._socket: pynng.Rep0 | None = None
        self._contexts: list[pynng.Context] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Listen.

        Raises:
            ListenError: If the address cannot be had.
        """
        self._socket = pynng.Rep0()
        try:
            self._socket.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            raise ListenError(f"cannot listen on {self._address}: {error}") from error
        self._contexts = [self._socket.new_context() for _ in range(QUESTIONS_AT_ONCE)]
        self._tasks = [asyncio.create_task(self._serve(context)) for context in self._contexts]

    async def stop(self) -> None:
        """Stop to listen."""
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
                question = decode(await context.arecv(), type=PeerQuery)
                await context.asend(encode(await self._answer(question)))
            except (pynng.NNGException, MsgspecError) as error:
                log.warning("event=peer_answer_failed reason=%r", str(error))


class PeerClient:
    """Asks one peer over a connection that is kept until a question is not answered."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._req: pynng.Req0 | None = None

    async def ask(self, question: PeerQuery) -> PeerUpdate:
        """Return the peer's answer.

        Raises:
            PeerTimeoutError: If it does not come in time.
            PeerError: If the peer cannot be reached or its answer cannot be read.
        """
        try:
            async with asyncio.timeout(question.wait_s + ANSWER_TIMEOUT_S):
                req = self._connected()
                await req.asend(encode(question))
                return decode(await req.arecv(), type=PeerUpdate)
        except TimeoutError:
            self.close()
            raise PeerTimeoutError(f"{self.address} does not answer") from None
        except pynng.NNGException as error:
            self.close()
            raise PeerError(f"cannot ask {self.address}: {error}") from error
        except MsgspecError as error:
            self.close()
            raise PeerError(f"the answer of {self.address} cannot be read: {error}") from error

    def close(self) -> None:
        """Close the connection; the next question opens another one."""
        if self._req:
            self._req.close()
            self._req = None

    def _connected(self) -> pynng.Req0:
        if self._req is None:
            self._req = pynng.Req0()
            self._req.dial(f"tcp://{self.address}", block=False)
        return self._req
