"""An HTTP/1.1 listener with limits, keep-alive and streamed answers."""

import asyncio
import logging
import os
import socket
from collections import Counter
from collections.abc import Callable

import h11

from comfreyhatch.adapters.http_connection import (
    READ_SIZE_BYTES,
    WAITING_LIMIT_BYTES,
    HttpConnection,
    source_of,
)
from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import (
    HttpHandler,
    HttpRequest,
    HttpResponse,
    error_response,
)
from comfreyhatch.decisions.memory_account import MemoryAccount
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ComfreyhatchError, ListenError

__all__ = ["HttpRequest", "HttpResponse", "HttpServer"]

# Time at a stop to accept connections, and for a request that has come on them to be read.
SETTLE_S = 0.05

# Connections that may wait to be accepted, and those that are accepted in one turn of the event
# loop: those beyond the limit are open for a few turns before they are closed.
BACKLOG = 1024
ACCEPTS_PER_TURN = 16
# Time after which a head that is not complete makes way for another connection.
SLOW_HEAD_S = 1.0

log = logging.getLogger("comfreyhatch.http")


class HttpServer:
    """A listener and its connections.

    Attributes:
        limits: Limits of the listener.
        turned_away: Number of connections closed for the limits on connections so far.
    """

    def __init__(
        self,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        cancel_on_disconnect: bool = False,
        outlives_caller: Callable[[HttpRequest], bool] = lambda _: False,
        account: MemoryAccount | None = None,
        refuse: Callable[[ComfreyhatchError], HttpResponse] = error_response,
    ) -> None:
        """Create a server.

        Args:
            handler: Answers requests.
            limits: Limits of the listener.
            cancel_on_disconnect: Whether the handler is cancelled when its caller goes away.
            outlives_caller: Returns whether a request is handled to its end all the same.
            account: Memory held for the clients of the daemon; nothing is counted if None.
            refuse: Returns the answer to a request that is refused for want of memory.
        """
        self._account = account
        self._refuse = refuse
        self.turned_away = 0
        self._count_by_source: Counter[str] = Counter()
        self._outlives_caller = outlives_caller
        self._handler = handler
        self.limits = limits or HttpLimits()
        self._cancel_on_disconnect = cancel_on_disconnect
        self._server: asyncio.Server | None = None
        self._task_by_connection: dict[HttpConnection, asyncio.Task[None]] = {}
        self._closing = False
        self._draining = False

    async def start(self, host: str, port: int) -> Address:
        """Listen on an address; port 0 takes a free one.

        Returns:
            The address that the listener has.

        Raises:
            ListenError: If the address cannot be had.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._protocol, host, port, backlog=ACCEPTS_PER_TURN
            )
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        self._set_backlog()
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return Address(bound_host, bound_port)

    async def start_on(self, listener: socket.socket) -> None:
        """Serve the connections of a socket that listens already, those that wait included."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol, sock=listener, backlog=ACCEPTS_PER_TURN
        )
        self._set_backlog()

    def _set_backlog(self) -> None:
        """Let `BACKLOG` connections wait.

        asyncio accepts as many in one turn as its backlog, so the kernel has one of its own.
        """
        assert self._server is not None
        for listener in self._server.sockets:
            with socket.socket(fileno=os.dup(listener.fileno())) as own:
                own.listen(BACKLOG)

    def drain(self) -> None:
        """Go on serving, but close each connection after its next answer."""
        self._draining = True

    async def stop(self, grace_s: float) -> None:
        """Close the listener, let requests that have come end, then close what is left.

        Args:
            grace_s: Time for these requests, in seconds, after which their callers are told that
                they may have run; with none, they are cut at once.
        """
        if grace_s > 0:
            await self._stop_accepting()
        self.close_listener()
        self._closing = True
        for connection in list(self._task_by_connection):
            connection.close_if_idle()
        tasks = list(self._task_by_connection.values())
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=grace_s)
            self._cut(late, grace_s > 0)
            await asyncio.gather(*late, return_exceptions=True)

    def _cut(self, late: "set[asyncio.Task[None]]", answers: bool) -> None:
        for connection, task in self._task_by_connection.items():
            if task in late and answers and connection.busy:
                connection.cut(task)
            elif task in late:
                task.cancel()

    async def _stop_accepting(self) -> None:
        """Accept the connections that wait, and no later ones, and read what has come on them.

        A listener that is closed as it accepts a connection leaves it open without an answer.
        """
        await asyncio.sleep(SETTLE_S)
        loop = asyncio.get_running_loop()
        for listener in self._server.sockets if self._server else ():
            loop.remove_reader(listener.fileno())
        await asyncio.sleep(SETTLE_S)

    @property
    def busy(self) -> int:
        """Number of requests being answered."""
        return sum(connection.busy for connection in self._task_by_connection)

    @property
    def connections(self) -> int:
        """Number of connections that are open."""
        return len(self._task_by_connection)

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request runs or is being read."""
        for connection in list(self._task_by_connection):
            connection.close_if_idle()

    def _protocol(self) -> "_CallerProtocol":
        loop = asyncio.get_running_loop()
        limit_bytes = WAITING_LIMIT_BYTES if self._account else READ_SIZE_BYTES
        reader = asyncio.StreamReader(limit_bytes, loop)
        return _CallerProtocol(reader, self._accept, loop=loop)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._closing or not self._make_room(source_of(writer)):
            writer.close()
            return
        connection = HttpConnection(
            self._handler,
            lambda: self.limits,
            reader,
            writer,
            self._outlives_caller,
            self._account,
            self._refuse,
        )
        self._count_by_source[connection.source] += 1
        task = asyncio.current_task()
        assert task is not None
        self._task_by_connection[connection] = task
        protocol = writer.transport.get_protocol()
        assert isinstance(protocol, _CallerProtocol)
        protocol.on_input = connection.note_input
        if self._cancel_on_disconnect:
            protocol.on_gone = lambda: connection.caller_left(task)
        try:
            await connection.serve(lambda: self._closing or self._draining)
        except (ConnectionError, TimeoutError, h11.ProtocolError) as error:
            log.debug("event=connection_closed reason=%r", error)
        except asyncio.CancelledError:
            # asyncio reports a cancelled connection task as an error in its callback.
            log.debug("event=connection_cancelled")
        finally:
            try:
                await self._close(writer)
            finally:
                del self._task_by_connection[connection]
                self._count_by_source[connection.source] -= 1
                if not self._count_by_source[connection.source]:
                    del self._count_by_source[connection.source]

    def _make_room(self, source: str) -> bool:
        """Return whether a connection may be opened, for which an idle one may be closed."""
        limits = self.limits
        if 0 < limits.source_connections <= self._count_by_source[source]:
            self._note_turned_away("source_connections", source)
            return False
        if len(self._task_by_connection) < limits.connections:
            return True
        evicted = self._connection_to_evict() if self._account is not None else None
        if evicted is None:
            self._note_turned_away("connections", source)
            return False
        self._note_turned_away("idle", evicted.source)
        evicted.make_way()
        return True

    def _connection_to_evict(self) -> HttpConnection | None:
        """Return the connection to close for another one; None if requests run on all.

        Those that have carried no request come first, as none is lost with them, and those on which
        the head of a request has been coming for `SLOW_HEAD_S` last.
        """
        now = asyncio.get_running_loop().time()
        found = [each for each in self._task_by_connection if not each.closing]
        idle = [each for each in found if each.idle]
        if idle:
            return min(idle, key=lambda each: (each.answered, each.idle_since))
        slow = {each: each.head_since for each in found if each.head_since is not None}
        oldest = min(slow, key=lambda each: slow[each], default=None)
        return oldest if oldest is not None and now - slow[oldest] > SLOW_HEAD_S else None

    def _note_turned_away(self, reason: str, source: str) -> None:
        self.turned_away += 1
        log.info(
            "event=client_turned_away reason=%s source=%s connections=%d",
            reason,
            source,
            len(self._task_by_connection),
        )

    async def _close(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection, and reset it if its caller does not take the rest in time.

        The connection counts until then, as it keeps its descriptor and what is buffered.
        """
        writer.close()
        if self._closing or not writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await writer.wait_closed()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            # Cancelled at a stop, once the time for it is over.
            writer.transport.abort()


class _CallerProtocol(asyncio.StreamReaderProtocol):
    """Tells when bytes come, and when the caller closes its connection while it is answered."""

    on_input: Callable[[], object] | None = None
    on_gone: Callable[[], object] | None = None

    def data_received(self, data: bytes) -> None:
        """Note that bytes have come."""
        super().data_received(data)
        if self.on_input:
            self.on_input()

    def eof_received(self) -> bool | None:
        """Note that the caller sends no more."""
        keep = super().eof_received()
        self._tell()
        return keep

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        super().connection_lost(exc)
        self._tell()

    def _tell(self) -> None:
        if self.on_gone:
            self.on_gone()
