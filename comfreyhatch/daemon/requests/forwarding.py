"""Forwarding of requests between daemons, signed with the fleet key.

A daemon forwards a request to another one that can dispatch it. The signature covers recipient,
path, hop, stamp and body, so that a request can't be altered, sent to another daemon or replayed.
"""

import asyncio
import hmac
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Mapping, Set
from contextlib import aclosing
from hashlib import sha256
from random import Random
from secrets import token_hex
from time import time

from msgspec import Struct, ValidationError
from msgspec.json import decode, encode

from comfreyhatch.adapters.answer_identity import fleet_identity
from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import (
    EVENT_STREAM_TYPE,
    REQUEST_ID_HEADER,
    Headers,
    HttpRequest,
    HttpResponse,
    answer_with_id,
    json_response,
)
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import Dispatcher
from comfreyhatch.decisions.replay import ReplayGuard
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import BackendError, ComfreyhatchError, PeerError, RequestError
from comfreyhatch.ports.engine import (
    AnswerOrigin,
    Chunk,
    GenerateRequest,
    ServiceAnswer,
    ServiceRequest,
)
from comfreyhatch.ports.peers import Member, MembershipView

SIGNATURE_HEADER = "x-fleet-signature"
HOP_HEADER = "x-fleet-hop"
STAMP_HEADER = "x-fleet-stamp"
# The second hop is from a daemon without slots to one of its zone that holds slots.
MAX_HOPS = 2
CALL_PATH = "/call"
MINTED_PATH = "/minted"
GENERATE_PATH = "/generate"


class ForwardedCall(Struct, frozen=True):
    """A call to a plain service, forwarded to a daemon that dispatches it."""

    service: str
    request: ServiceRequest
    timeout_s: float


class ForwardedMintedCall(Struct, frozen=True):
    """A call with an idempotency key; forwarded to the key's runner if the key is a minted one.

    The runner is the process that the minted key names, the only one that may run the call.
    """

    customer: str
    service: str
    request: ServiceRequest
    timeout_s: float


class ForwardedAnswer(Struct, frozen=True):
    """The answer to a forwarded call, or the error if `answer` is None.

    Attributes:
        answer: Answer of the plain service.
        served: Where the call ran; None if unknown.
        code: Result code.
        ran: Whether the call may have run; set only if there is no answer.
        message: Error message.
    """

    answer: ServiceAnswer | None = None
    served: AnswerOrigin | None = None
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.UNKNOWN
    message: str = ""


class Envelope(Struct, frozen=True):
    """Fields that are signed together with the body of a forwarded request.

    Attributes:
        recipient: Address of the receiving daemon.
        path: Path of the request.
        hop: Number of times that the request has been forwarded, this time included.
        stamp: Time in milliseconds since the epoch, a dot, and a random nonce.
    """

    recipient: str
    path: str
    hop: str
    stamp: str


def sign(key: bytes, envelope: Envelope, body: bytes) -> str:
    """Return the signature of a forwarded request, an HMAC-SHA256 in hexadecimal."""
    fields = (envelope.recipient, envelope.path, envelope.hop, envelope.stamp)
    return hmac.new(key, "\n".join(fields).encode() + b"\n" + body, sha256).hexdigest()


def new_stamp() -> str:
    """Return a unique stamp for a request that is sent now."""
    return f"{int(time() * 1000)}.{token_hex(8)}"


class SigningClient(HttpClient):
    """HTTP client that signs each request with the fleet key."""

    def __init__(
        self, key: bytes, before_send: Callable[[], None] | None = None, hop: int = 1
    ) -> None:
        """Create the client.

        Args:
            key: Fleet key that signs.
            before_send: Called before the first byte of a request is written; an error that it
                raises stops the request.
            hop: Hop number of the requests.
        """
        super().__init__(before_send)
        self._key = key
        self._hop = str(hop)

    def _headers(
        self,
        address: Address,
        target: str,
        body: bytes,
        headers: Mapping[str, str] | Headers | None,
    ) -> Headers:
        envelope = Envelope(str(address), target, self._hop, new_stamp())
        signed = super()._headers(address, target, body, headers)
        signed.append((HOP_HEADER.encode(), self._hop.encode()))
        signed.append((STAMP_HEADER.encode(), envelope.stamp.encode()))
        signed.append((SIGNATURE_HEADER.encode(), sign(self._key, envelope, body).encode()))
        return signed


class Forwarder:
    """Forwards requests to daemons that can dispatch them.

    Attributes:
        client: Sends the requests; owns the connections to other daemons.
    """

    def __init__(
        self,
        own_id: str,
        zone: str,
        key: bytes,
        view: Callable[[], MembershipView],
        rng: Random,
        before_send: Callable[[], None] | None = None,
        hop: int = 1,
    ) -> None:
        """Create the forwarder.

        Args:
            own_id: Instance id of this daemon.
            zone: Zone of this daemon.
            key: Fleet key that signs forwarded requests.
            view: Returns the live daemons.
            rng: Random source of the order of equally suitable daemons.
            before_send: Called before the first byte of a request is written; an error that it
                raises stops the request.
            hop: Hop number of the requests.
        """
        self._own_id = own_id
        self._zone = zone
        self._view = view
        self._rng = rng
        self.client = SigningClient(key, before_send, hop)
        self._engine = HttpEngine(self.client)

    def candidates(self, config: FleetConfig, holders: Set[str] = frozenset()) -> list[Member]:
        """Return the daemons that a request may be forwarded to, the most suitable first.

        Daemons of this zone that hold slots come first, then daemons of other zones, then the
        rest of this zone; the order within each group is random. Leaving daemons and daemons of
        zones taken out of service are left out.

        Args:
            config: Configuration in force.
            holders: Instance ids of daemons of this zone that hold slots for the request.
        """
        members = [
            m
            for m in self._view().member_by_id.values()
            if m.instance_id != self._own_id and m.zone not in config.out_zones and not m.leaving
        ]
        self._rng.shuffle(members)
        ranks = {True: 0, False: 2}
        return sorted(
            members, key=lambda m: ranks[m.instance_id in holders] if m.zone == self._zone else 1
        )

    def live_members(self, instance_ids: Set[str]) -> list[Member]:
        """Return the live daemons among some instance ids, in random order."""
        members = [m for m in self._view().member_by_id.values() if m.instance_id in instance_ids]
        self._rng.shuffle(members)
        return members

    def generate_via(
        self, member: Member
    ) -> Callable[[GenerateRequest], AsyncGenerator[Chunk, None]]:
        """Return a function that streams the answer to a chat request through a daemon."""
        daemon = Instance(member.instance_id, Role.DAEMON, member.zone, member.http)
        return lambda request: self._engine.generate(daemon, request)

    async def call(
        self, member: Member, service: str, request: ServiceRequest, timeout_s: float
    ) -> tuple[ServiceAnswer, AnswerOrigin | None]:
        """Call a plain service through a daemon.

        Args:
            member: Daemon that dispatches the call.
            service: Name of the service.
            request: The call.
            timeout_s: Time for the whole exchange, in seconds.

        Returns:
            The answer and where the call ran, if the daemon reported it.

        Raises:
            HttpError: If the daemon could not be reached or did not answer.
            BackendError: If the endpoint failed or refused.
        """
        body = encode(ForwardedCall(service, request, timeout_s))
        answer = await self._post(member, CALL_PATH, body, timeout_s, request.request_id)
        if answer.answer is None:
            raise BackendError(answer.message, answer.code, answer.ran)
        return answer.answer, answer.served

    async def call_runner(self, member: Member, call: ForwardedMintedCall) -> ServiceAnswer:
        """Forward a call under a minted key to the key's runner and return its answer.

        Raises:
            BackendError: If the runner refused the call or it failed.
            HttpError: If the runner could not be reached or did not answer.
        """
        body, request_id = encode(call), call.request.request_id
        answer = await self._post(member, MINTED_PATH, body, call.timeout_s, request_id)
        if answer.answer is None:
            raise BackendError(answer.message, answer.code, answer.ran)
        return answer.answer

    async def _post(
        self, member: Member, path: str, body: bytes, timeout_s: float, request_id: str
    ) -> ForwardedAnswer:
        reply = await self.client.request(
            member.http,
            "POST",
            path,
            body,
            {REQUEST_ID_HEADER: request_id},
            timeout_s,
            fresh_connection=True,
            identity=fleet_identity(request_id),
        )
        if reply.status != 200:
            raise BackendError(f"peer {member.instance_id} answered with status {reply.status}")
        return decode(reply.body, type=ForwardedAnswer)


class ForwardedRequestHandler:
    """Handler of the listener for forwarded requests.

    Attributes:
        address: Address of the listener, part of what is signed. It has to be set before other
            daemons learn the address.
        run_minted: Runs a call under a minted key that names this process; while it is None, such
            calls are refused.
    """

    def __init__(
        self, dispatcher: Dispatcher, keys: tuple[bytes, ...], next_hop: Forwarder
    ) -> None:
        """Create the handler.

        Args:
            dispatcher: Dispatches to the endpoints of this zone.
            keys: Fleet keys whose signatures are accepted.
            next_hop: Forwards requests that this daemon has no slots for to daemons of its zone
                that hold slots.
        """
        self._dispatcher = dispatcher
        self._keys = keys
        self._next_hop = next_hop
        self.address = Address("", 0)
        self._replay_guard = ReplayGuard()
        self.run_minted: Callable[[ForwardedMintedCall], Awaitable[ServiceAnswer]] | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve a forwarded request; a forged, replayed or expired one is refused.

        To be cancelled when the sender leaves, so that what it gave up is not dispatched.
        """
        return await answer_with_id(self._serve(request), request.header(REQUEST_ID_HEADER))

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        hop, stamp = request.header(HOP_HEADER), request.header(STAMP_HEADER)
        envelope = Envelope(str(self.address), request.path, hop, stamp)
        signature = request.header(SIGNATURE_HEADER).encode()
        expected = [sign(key, envelope, request.body).encode() for key in self._keys]
        if not any(hmac.compare_digest(signature, each) for each in expected):
            raise PeerError("the signature is invalid")
        if not self._replay_guard.accept(stamp, time(), asyncio.get_running_loop().time()):
            raise PeerError("the stamp is expired or was used before")
        last_hop = not hop.isdecimal() or int(hop) >= MAX_HOPS
        try:
            if request.path == GENERATE_PATH:
                return await self._generate(decode(request.body, type=GenerateRequest), last_hop)
            if request.path == CALL_PATH:
                call = decode(request.body, type=ForwardedCall)
                return json_response(await self._call(call, last_hop))
            if request.path == MINTED_PATH and self.run_minted:
                minted_call = decode(request.body, type=ForwardedMintedCall)
                return json_response(await _to_forwarded_answer(self.run_minted(minted_call)))
        except ValidationError as error:
            raise RequestError(str(error)) from error
        raise RequestError("no such resource", ResultCode.NOT_FOUND)

    async def _generate(self, request: GenerateRequest, last_hop: bool) -> HttpResponse:
        member = None if last_hop else self._find_holder(request.version_id)
        generate = self._next_hop.generate_via(member) if member else self._dispatcher.generate
        chunks = generate(request)
        first = await anext(chunks)
        return HttpResponse(
            200, content_type=EVENT_STREAM_TYPE, stream=_encode_events(first, chunks)
        )

    def _find_holder(self, target: str) -> Member | None:
        """Return a daemon of the zone that holds slots for a version or plain service.

        Returns:
            The daemon, or None if this daemon holds slots itself or no other does.
        """
        config = self._dispatcher.config()
        if self._dispatcher.has_slots(target, config):
            return None
        holders = self._next_hop.live_members(self._dispatcher.holders(target, config))
        return holders[0] if holders else None

    async def _call(self, call: ForwardedCall, last_hop: bool) -> ForwardedAnswer:
        member = None if last_hop else self._find_holder(call.service)
        name, request, timeout_s = call.service, call.request, call.timeout_s
        try:
            if member:
                return ForwardedAnswer(*await self._next_hop.call(member, name, request, timeout_s))
            answer, served = await self._dispatcher.call(name, request, timeout_s)
        except ComfreyhatchError as error:
            return ForwardedAnswer(code=error.code, ran=error.ran, message=str(error))
        return ForwardedAnswer(answer, served)


async def _to_forwarded_answer(answer: Awaitable[ServiceAnswer]) -> ForwardedAnswer:
    try:
        return ForwardedAnswer(await answer)
    except ComfreyhatchError as error:
        return ForwardedAnswer(code=error.code, ran=error.ran, message=str(error))


async def _encode_events(first: Chunk, chunks: AsyncGenerator[Chunk, None]) -> AsyncIterator[bytes]:
    """Encode an answer as server-sent events, as an engine does; `first` is already read."""
    async with aclosing(chunks):
        yield b"data: " + encode(first) + b"\n\n"
        async for chunk in chunks:
            yield b"data: " + encode(chunk) + b"\n\n"
