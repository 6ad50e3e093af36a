"""Requests forwarded between daemons, authenticated with the fleet's key."""

import hmac
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Mapping, Set
from contextlib import _AsyncGeneratorContextManager, aclosing
from hashlib import sha256
from random import Random
from secrets import token_hex
from time import time

from msgspec import Struct, ValidationError
from msgspec.json import decode, encode

from comfreyhatch.adapters.engine_http import HttpEngine
from comfreyhatch.adapters.http_client import Headers, HttpClient, StreamedReply, full_headers
from comfreyhatch.adapters.http_server import (
    EVENT_STREAM_TYPE,
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
)
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatch.dispatcher import Dispatcher
from comfreyhatch.decisions.replay import ReplayGuard
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.errors import BackendError, ComfreyhatchError, PeerError, RequestError
from comfreyhatch.ports.engine import Chunk, GenerateRequest, Served, ServiceAnswer, ServiceRequest
from comfreyhatch.ports.peers import Member, View

SIGNATURE_HEADER = "x-fleet-signature"
HOP_HEADER = "x-fleet-hop"
STAMP_HEADER = "x-fleet-stamp"
MAX_HOPS = 2
CALL_PATH = "/call"
MINTED_PATH = "/minted"
GENERATE_PATH = "/generate"


class ForwardedCall(Struct, frozen=True):
    """A plain service call handed to a daemon of another zone."""

    service: str
    request: ServiceRequest
    timeout_s: float


class ForwardedMintedCall(Struct, frozen=True):
    """A call under a minted key, handed to the process that the key names."""

    customer: str
    service: str
    request: ServiceRequest
    timeout_s: float


class ForwardedAnswer(Struct, frozen=True):
    """The answer to a forwarded plain service call, or why there is none."""

    answer: ServiceAnswer | None = None
    served: Served | None = None
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.UNKNOWN
    message: str = ""


class Envelope(Struct, frozen=True):
    """What is signed along with the body of a forwarded request.

    Attributes:
        recipient: Address that it is sent to.
        path: Path that it is sent to.
        hop: How often it has been forwarded, this time included.
        stamp: Time and random word that make it unique.
    """

    recipient: str
    path: str
    hop: str
    stamp: str


def sign(key: bytes, envelope: Envelope, body: bytes) -> str:
    """Return the signature of a forwarded request."""
    words = (envelope.recipient, envelope.path, envelope.hop, envelope.stamp)
    return hmac.new(key, "\n".join(words).encode() + b"\n" + body, sha256).hexdigest()


def new_stamp() -> str:
    """Return a stamp that no other request has."""
    return f"{int(time() * 1000)}.{token_hex(8)}"


class SigningClient(HttpClient):
    """Signs each request's body with the fleet's key."""

    def __init__(
        self, key: bytes, before_send: Callable[[], None] | None = None, hop: int = 1
    ) -> None:
        super().__init__(before_send)
        self._key = key
        self._hop = str(hop)

    def stream(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | Headers | None = None,
        timeout_s: float = 5.0,
        fresh_connection: bool = False,
    ) -> _AsyncGeneratorContextManager[StreamedReply, None]:
        """Send a signed request and give its answer piece by piece."""
        envelope = Envelope(str(address), target, self._hop, new_stamp())
        signed = full_headers(address, headers)
        signed.append((HOP_HEADER.encode(), self._hop.encode()))
        signed.append((STAMP_HEADER.encode(), envelope.stamp.encode()))
        signed.append((SIGNATURE_HEADER.encode(), sign(self._key, envelope, body).encode()))
        return super().stream(address, method, target, body, signed, timeout_s, fresh_connection)


class Forwarder:
    """Sends requests to daemons that can call endpoints which this one cannot."""

    def __init__(
        self,
        own_id: str,
        zone: str,
        key: bytes,
        view: Callable[[], View],
        rng: Random,
        before_send: Callable[[], None] | None = None,
        hop: int = 1,
    ) -> None:
        self._own_id = own_id
        self._zone = zone
        self._view = view
        self._rng = rng
        self._client = SigningClient(key, before_send, hop)
        self._engine = HttpEngine(self._client)

    def candidates(self, config: FleetConfig, holders: Set[str] = frozenset()) -> list[Member]:
        """Return daemons that may take forwarded work, in random order within each rank.

        Args:
            config: Configuration in force.
            holders: Daemons of the own zone that hold slots; they come first, then other zones.
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
        """Return the live daemons among those named, in random order."""
        members = [m for m in self._view().member_by_id.values() if m.instance_id in instance_ids]
        self._rng.shuffle(members)
        return members

    def generate_via(
        self, member: Member
    ) -> Callable[[GenerateRequest], AsyncGenerator[Chunk, None]]:
        """Return a function that opens an answer through a daemon."""
        target = Instance(member.instance_id, Role.DAEMON, member.zone, member.http)
        return lambda request: self._engine.generate(target, request)

    async def call(
        self, member: Member, service: str, request: ServiceRequest, timeout_s: float
    ) -> tuple[ServiceAnswer, Served | None]:
        """Call a plain service through a daemon.

        Raises:
            HttpError: If the daemon could not be reached or did not answer.
            BackendError: If the endpoint failed or refused.
        """
        body = encode(ForwardedCall(service, request, timeout_s))
        answer = await self._ask(member, CALL_PATH, body, timeout_s)
        if answer.answer is None:
            raise BackendError(answer.message, answer.code, answer.ran)
        return answer.answer, answer.served

    async def call_runner(self, member: Member, call: ForwardedMintedCall) -> ServiceAnswer:
        """Hand a call under a minted key to its runner.

        Raises:
            BackendError: If the runner refused the call or it failed.
            HttpError: If the runner could not be reached or did not answer.
        """
        answer = await self._ask(member, MINTED_PATH, encode(call), call.timeout_s)
        if answer.answer is None:
            raise BackendError(answer.message, answer.code, answer.ran)
        return answer.answer

    async def _ask(
        self, member: Member, path: str, body: bytes, timeout_s: float
    ) -> ForwardedAnswer:
        reply = await self._client.request(
            member.http, "POST", path, body, timeout_s=timeout_s, fresh_connection=True
        )
        if reply.status != 200:
            raise BackendError(f"peer {member.instance_id} answered {reply.status}")
        return decode(reply.body, type=ForwardedAnswer)


class ForwardedRequestHandler:
    """Handler of the listener for forwarded requests."""

    def __init__(self, dispatcher: Dispatcher, keys: tuple[bytes, ...], onward: Forwarder) -> None:
        """Create the handler.

        Args:
            dispatcher: Calls the endpoints of this zone.
            keys: Fleet keys that are accepted.
            onward: Forwards to the zone's holders what this daemon has no share for.

        The address of the listener has to be set before it is known to others.
        """
        self._dispatcher = dispatcher
        self._keys = keys
        self._onward = onward
        self.address = Address("", 0)
        self._stamps = ReplayGuard()
        self.run_minted: Callable[[ForwardedMintedCall], Awaitable[ServiceAnswer]] | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a forwarded request; one that is forged, replayed or too old is refused."""
        hop, stamp = request.header(HOP_HEADER), request.header(STAMP_HEADER)
        envelope = Envelope(str(self.address), request.path, hop, stamp)
        signature = request.header(SIGNATURE_HEADER).encode()
        expected = [sign(key, envelope, request.body).encode() for key in self._keys]
        if not any(hmac.compare_digest(signature, each) for each in expected):
            return error_response(PeerError("the signature is wrong"))
        if not self._stamps.accept(stamp, time()):
            return error_response(PeerError("the request was seen before or is too old"))
        last = not hop.isdecimal() or int(hop) >= MAX_HOPS
        try:
            if request.path == GENERATE_PATH:
                return await self._generate(decode(request.body, type=GenerateRequest), last)
            if request.path == CALL_PATH:
                call = decode(request.body, type=ForwardedCall)
                return json_response(await self._call(call, last))
            if request.path == MINTED_PATH and self.run_minted:
                work = decode(request.body, type=ForwardedMintedCall)
                return json_response(await _answered(self.run_minted(work)))
        except ValidationError as error:
            return error_response(RequestError(str(error)))
        return error_response(RequestError("no such resource", ResultCode.NOT_FOUND))

    async def _generate(self, request: GenerateRequest, last: bool) -> HttpResponse:
        member = None if last else self._holder(request.version_id)
        open_answer = self._onward.generate_via(member) if member else self._dispatcher.generate
        chunks = open_answer(request)
        first = await anext(chunks)
        return HttpResponse(
            200, content_type=EVENT_STREAM_TYPE, stream=_encode_events(first, chunks)
        )

    def _holder(self, wanted: str) -> Member | None:
        """Return a daemon of the zone to pass work on to; None if this one has a share."""
        config = self._dispatcher.config()
        if self._dispatcher.has_slots(wanted, config):
            return None
        holders = self._onward.live_members(self._dispatcher.holders(wanted, config))
        return holders[0] if holders else None

    async def _call(self, call: ForwardedCall, last: bool) -> ForwardedAnswer:
        member = None if last else self._holder(call.service)
        name, request, timeout_s = call.service, call.request, call.timeout_s
        try:
            if member:
                return ForwardedAnswer(*await self._onward.call(member, name, request, timeout_s))
            answer, served = await self._dispatcher.call(name, request, timeout_s)
        except ComfreyhatchError as error:
            return ForwardedAnswer(code=error.code, ran=error.ran, message=str(error))
        return ForwardedAnswer(answer, served)


async def _answered(answer: Awaitable[ServiceAnswer]) -> ForwardedAnswer:
    try:
        return ForwardedAnswer(await answer)
    except ComfreyhatchError as error:
        return ForwardedAnswer(code=error.code, ran=error.ran, message=str(error))


async def _encode_events(first: Chunk, chunks: AsyncGenerator[Chunk, None]) -> AsyncIterator[bytes]:
    async with aclosing(chunks):
        yield b"data: " + encode(first) + b"\n\n"
        async for chunk in chunks:
            yield b"data: " + encode(chunk) + b"\n\n"
