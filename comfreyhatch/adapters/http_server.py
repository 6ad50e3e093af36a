"""An HTTP/1.1 listener with limits, keep-alive and streamed answers."""

import asyncio
import logging
import socket
from collections.abc import Callable

import h11

from comfreyhatch.adapters.http_connection import HttpConnection, HttpLimits
from comfreyhatch.adapters.http_message import HttpHandler, HttpRequest, HttpResponse
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ListenError

__all__ = ["HttpRequest", "HttpResponse", "HttpServer"]

# Time at a stop to accept connections, and for a request that has come on them to be read.
SETTLE_S = 0.05

log = logging.getLogger("comfreyhatch.http")


class HttpServer:
    """A listener and its connections."""

    def __init__(
        self,
        handler: HttpHandler,
        limits: HttpLimits | None = None,
        cancel_on_disconnect: bool = False,
        outlives_caller: Callable[[HttpRequest], bool] = lambda _: False,
    ) -> None:
        """Create a server.

        Args:
            handler: Answers requests.
            limits: Limits of the listener.
            cancel_on_disconnect: Whether the handler is cancelled when its caller goes away.
            outlives_caller: Returns whether a request is handled to its end all the same.
        """
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
            self._server = await loop.create_server(self._protocol, host, port, backlog=1024)
        except OSError as error:
            raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        return Address(bound_host, bound_port)

    async def start_on(self, listener: socket.socket) -> None:
        """Serve the connections of a socket that listens already, those that wait included."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocol, sock=listener, backlog=1024)

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
        return _CallerProtocol(asyncio.StreamReader(loop=loop), self._accept, loop=loop)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._closing or len(self._task_by_connection) >= self.limits.connections:
            writer.close()
            return
        connection = HttpConnection(
            self._handler, lambda: self.limits, reader, writer, self._outlives_caller
        )
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
            del self._task_by_connection[connection]
            writer.close()


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
