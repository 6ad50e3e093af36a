"""What daemons tell each other while the platform's store is out of reach of some of them."""

import asyncio
import logging
from collections.abc import Callable

import pynng
from msgspec import MsgspecError, Struct
from msgspec.msgpack import decode, encode

from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.operations import Operations, SharedRecords
from comfreyhatch.errors import PeerError, PeerTimeoutError

ASK_TIMEOUT_S = 0.4
MS_PER_S = 1000
QUESTION = b"news"

log = logging.getLogger("comfreyhatch.peers")


class PeerNews(Struct, frozen=True):
    """What a daemon knows; ages are in seconds since the directory last confirmed it."""

    operations: Operations | None
    operations_age_s: float
    endpoints: EndpointList | None
    endpoints_age_s: float
    records: SharedRecords | None


class PeerListener:
    """Answers peers that ask for news."""

    def __init__(self, address: str, news: Callable[[], PeerNews]) -> None:
        """Create a listener.

        Args:
            address: HOST:PORT to listen on.
            news: Returns what this daemon knows.
        """
        self._address = address
        self._news = news
        self._socket: pynng.Rep0 | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen.

        Raises:
            PeerError: If the address cannot be had.
        """
        self._socket = pynng.Rep0()
        try:
            self._socket.listen(f"tcp://{self._address}")
        except pynng.NNGException as error:
            raise PeerError(f"cannot listen on {self._address}: {error}") from error
        self._task = asyncio.create_task(self._serve(self._socket))

    async def stop(self) -> None:
        """Stop to listen."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._socket:
            self._socket.close()

    async def _serve(self, rep: pynng.Rep0) -> None:
        while True:
            try:
                await rep.arecv()
                await rep.asend(encode(self._news()))
            except pynng.NNGException as error:
                log.warning("event=peer_answer_failed reason=%r", str(error))


async def ask_peer(address: str) -> PeerNews:
    """Return what a peer knows; uses a connection of its own, so that a silent one is not reused.

    Raises:
        PeerTimeoutError: If the peer does not answer in time.
        PeerError: If it cannot be reached or its answer cannot be read.
    """
    with pynng.Req0() as req:
        try:
            req.dial(f"tcp://{address}", block=False)
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await req.asend(QUESTION)
                answer = await req.arecv()
        except TimeoutError:
            raise PeerTimeoutError(f"{address} does not answer") from None
        except pynng.NNGException as error:
            raise PeerError(f"cannot ask {address}: {error}") from error
    try:
        return decode(answer, type=PeerNews)
    except MsgspecError as error:
        raise PeerError(f"the answer of {address} cannot be read: {error}") from error
