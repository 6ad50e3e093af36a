"""An HTTP/1.1 client on h11 with a pool of connections, one request on each at a time."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from enum import Enum
from functools import partial

import h11

from comfreyhatch.adapters.answer_identity import AnswerOwner, RequestIdentity, id_text
from comfreyhatch.adapters.http_head import HEAD_METHOD, answer_bytes, own_head
from comfreyhatch.adapters.http_link import IDLE_LIFE_S, AnswerFault, AnswerPart, HttpLink
from comfreyhatch.adapters.http_message import Headers
from comfreyhatch.adapters.http_pool import IdleLinks
from comfreyhatch.adapters.http_reply import HttpReply, StreamedReply
from comfreyhatch.codes import Ran
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, ExchangeTimeoutError

READ_SIZE_BYTES = 65536
# Largest body of an answer that is read whole, unless a client has its own limit: the largest
# object of the platform's store has 8 MiB, and 11 MiB in base64.
WHOLE_BODY_LIMIT_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_MARGIN_S = 0.5


log = logging.getLogger("comfreyhatch.client")


class ConnectResult(Enum):
    """What came of an attempt to open a connection.

    A process that is stopped, and a path that drops packets, both give no answer: only a refusal
    tells that nothing listens.
    """

    OPEN = "open"
    REFUSED = "refused"
    NO_ANSWER = "no answer"


class HttpClient:
    """Sends requests; owns its connections."""

    def __init__(
        self,
        before_send: Callable[[], None] | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        whole_limit_bytes: int = WHOLE_BODY_LIMIT_BYTES,
    ) -> None:
        """Create a client.

        Args:
            before_send: Called when a connection is open, just before the first byte is
                written; what it raises ends the request with nothing sent.
            connect_timeout_s: Longest time for a new connection, in seconds.
            whole_limit_bytes: Largest body of the answer to `request`.
        """
        self._read_buffer = bytearray(READ_SIZE_BYTES)
        self._whole_limit_bytes = whole_limit_bytes
        self.too_large_by_part = dict.fromkeys(AnswerPart, 0)
        self.rejected_by_fault = dict.fromkeys(AnswerFault, 0)
        self.skipped_by_owner = dict.fromkeys((AnswerOwner.OTHER, AnswerOwner.UNNAMED), 0)
        self._before_send = before_send
        self._connect_timeout_s = connect_timeout_s
        self.connections_opened = 0
        self._idle = IdleLinks()

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | Headers | None = None,
        timeout_s: float = 5.0,
        fresh_connection: bool = False,
        limit_bytes: int | None = None,
        take: Callable[[int], bool] | None = None,
        identity: RequestIdentity | None = None,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Args:
            address: Where to.
            method: HTTP method.
            target: Path with query.
            body: Body.
            headers: Headers besides content-length; host is the address unless given.
            timeout_s: Time for the whole exchange, in seconds.
            fresh_connection: Whether a pooled connection must not be used.
            limit_bytes: Largest body of the answer; the client's limit if None.
            take: Takes memory for a number of bytes of the body, and returns whether there is any.
            identity: What the answer says of the request; None if it names no id.

        Raises:
            AnswerMemoryError: If there is no memory for the answer.
            ConnectError: If nothing was sent.
            ExchangeTimeoutError: If the answer did not come in time.
            AnswerTooLargeError: If the answer is larger than its limit.
            HttpError: If the exchange broke.
        """
        limit = self._whole_limit_bytes if limit_bytes is None else limit_bytes
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.stream(
                    address,
                    method,
                    target,
                    body,
                    headers,
                    timeout_s,
                    fresh_connection,
                    identity=identity,
                ) as reply,
            ):
                body = await reply.whole(timeout_s, limit, take=take)
        except TimeoutError:
            raise ExchangeTimeoutError(f"no answer from {address} within {timeout_s:g} s") from None
        return HttpReply(reply.status, reply.header_by_name, body, reply.headers)

    @asynccontextmanager
    async def stream(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | Headers | None = None,
        timeout_s: float = 5.0,
        fresh_connection: bool = False,
        note_sent: Callable[[], None] | None = None,
        identity: RequestIdentity | None = None,
    ) -> AsyncIterator[StreamedReply]:
        """Send a request and give its answer piece by piece.

        The connection is kept if the answer was read to its end and it may be, and reset if the
        request was given up. `note_sent` is called just before the first byte is written.
        `identity` tells what the answer says of the request: a pooled connection that has carried
        its id is not used, and answers that belong to other requests are skipped. HEAD requests get
        connections of their own then: where a copy of an answer ends depends on the method.

        Raises:
            ConnectError: If nothing was sent.
            ExchangeTimeoutError: If the head of the answer was not complete in time.
            HttpError: If the exchange broke.
        """
        is_alone = identity is not None and method == HEAD_METHOD
        link = await self._link(address, identity, fresh_connection or is_alone)
        link.may_be_kept = not is_alone
        kept = False
        try:
            if self._before_send:
                self._before_send()
            if note_sent:
                note_sent()
            link.carried.add(identity)
            _write_request(
                link, method, target, body, self._headers(address, target, body, headers)
            )
            until = asyncio.get_running_loop().time() + timeout_s
            note_skipped = partial(self._note_skipped, address, identity)
            head = await own_head(link, method, identity, until, note_skipped)
            declared = answer_bytes(method, head)
            yield StreamedReply(head.status_code, list(head.headers), link, declared)
            kept = link.reusable()
            link.idle_life_s = _idle_life_s(head.headers)
        finally:
            if kept:
                self._idle.keep(address, link, asyncio.get_running_loop().time())
            else:
                link.end()

    async def try_connect(self, address: Address) -> ConnectResult:
        """Open a new connection, which is kept for later requests, and return what came of it."""
        try:
            link = await self._link(address, None, fresh=True)
        except ConnectError as error:
            return ConnectResult.REFUSED if error.refused else ConnectResult.NO_ANSWER
        self._idle.keep(address, link, asyncio.get_running_loop().time())
        return ConnectResult.OPEN

    async def can_connect(self, address: Address) -> bool:
        """Return whether a new connection can be opened; it is kept for later requests."""
        return await self.try_connect(address) is ConnectResult.OPEN

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        self._idle.drop(address)

    async def is_refused(self, address: Address) -> bool:
        """Return whether nothing listens at an address; not whether it can't be reached."""
        return await self.try_connect(address) is ConnectResult.REFUSED

    def close(self) -> None:
        """Close all idle connections."""
        self._idle.close()

    def _headers(
        self,
        address: Address,
        target: str,
        body: bytes,
        headers: Mapping[str, str] | Headers | None,
    ) -> Headers:
        """Return the headers of a request besides content-length."""
        return _full_headers(address, headers)

    async def _link(
        self, address: Address, identity: RequestIdentity | None, fresh: bool
    ) -> HttpLink:
        now = asyncio.get_running_loop().time()
        link = None if fresh else self._idle.take(address, identity, now)
        return link or await self._connect(address)

    async def _connect(self, address: Address) -> HttpLink:
        """Open a new connection.

        Raises:
            ConnectError: If it cannot be opened in time.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, link = await asyncio.get_running_loop().create_connection(
                    partial(
                        HttpLink,
                        self._read_buffer,
                        partial(self._note_too_large, address),
                        partial(self._note_rejected, address),
                    ),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            # The last two are raised for an address that is none.
            raise ConnectError(f"cannot connect to {address}: {error!r}", ran=Ran.NO) from error
        self.connections_opened += 1
        return link

    def _note_skipped(
        self,
        address: Address,
        identity: RequestIdentity | None,
        owner: AnswerOwner,
        head: h11.Response,
    ) -> None:
        self.skipped_by_owner[owner] += 1
        log.info(
            "event=answer_skipped address=%s id=%s named=%s status=%d",
            address,
            id_text(identity),
            owner.value,
            head.status_code,
        )

    def _note_too_large(self, address: Address, part: AnswerPart, limit: str) -> None:
        self.too_large_by_part[part] += 1
        log.warning(
            "event=answer_too_large address=%s part=%s limit=%r", address, part.value, limit
        )

    def _note_rejected(self, address: Address, fault: AnswerFault, detail: str) -> None:
        self.rejected_by_fault[fault] += 1
        log.warning(
            "event=answer_rejected address=%s reason=%s detail=%r", address, fault.value, detail
        )


def _full_headers(address: Address, headers: Mapping[str, str] | Headers | None) -> Headers:
    """Return headers as pairs of bytes; host is the address unless given."""
    if isinstance(headers, list):
        pairs = list(headers)
    else:
        pairs = [(n.encode(), v.encode("latin-1")) for n, v in (headers or {}).items()]
    if not any(name.lower() == b"host" for name, _ in pairs):
        pairs.insert(0, (b"host", str(address).encode()))
    return pairs


def _idle_life_s(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return how long the peer keeps the connection idle, less a margin for the way there."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.decode("latin-1").split(","):
            key, _, number = part.strip().partition("=")
            if key.lower() == "timeout" and number.strip().isdecimal():
                return min(IDLE_LIFE_S, max(0.0, int(number) - IDLE_MARGIN_S))
    return IDLE_LIFE_S


def _write_request(link: HttpLink, method: str, target: str, body: bytes, headers: Headers) -> None:
    sized = [*headers, (b"content-length", b"%d" % len(body))]
    request = h11.Request(method=method, target=target, headers=sized)
    data = link.protocol.send(request) or b""
    if body:
        data += link.protocol.send(h11.Data(data=body)) or b""
    data += link.protocol.send(h11.EndOfMessage()) or b""
    link.write(data)
