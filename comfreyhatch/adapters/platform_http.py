"""The platform's instance list, rating service and weight store over HTTP."""

import logging
import re
from collections.abc import Mapping
from secrets import token_hex
from typing import TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json

from comfreyhatch.adapters.answer_identity import fleet_identity
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import REQUEST_ID_HEADER
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.errors import HttpError, PlatformError
from comfreyhatch.ports.platform import RatingRequest

PLATFORM_TIMEOUT_S = 2.0
NOT_MODIFIED_STATUS = 304
# Random bytes of the id of a request.
ID_BYTES = 8

MAX_PORT = 65535

# Strings, and the characters outside of them that begin, divide and end lists and objects.
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)

T = TypeVar("T")

log = logging.getLogger("comfreyhatch.platform")


class RatingReply(Struct, frozen=True):
    """A rating from 0 to 1."""

    rating: float


class AcquireRequest(Struct, frozen=True):
    """Asks for leave to download the weights of a version."""

    version_id: str


class AcquireReply(Struct, frozen=True):
    """Whether the download may start now."""

    granted: bool


class HttpInstanceList:
    """The instance list over HTTP."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address
        self._etag = ""
        self._rows: list[Instance] = []

    async def instances(self) -> list[Instance]:
        """Return the list; the same object as before when the platform says so.

        Raises:
            PlatformError: If the list does not answer.
        """
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            reply = await send_named(
                self._client, self._address, "GET", "/instances", headers=headers
            )
        except HttpError as error:
            raise PlatformError(f"platform at {self._address}: {error}") from error
        if reply.status == NOT_MODIFIED_STATUS and self._etag:
            return self._rows
        if reply.status != 200:
            raise PlatformError(f"platform at {self._address} answered {reply.status}")
        self._rows = decode_instances(reply.body)
        self._etag = reply.header_by_name.get("etag", "")
        return self._rows

    async def announce(self, instance: Instance) -> None:
        """Announce this daemon or its leaving.

        Raises:
            PlatformError: If the list does not answer.
        """
        body = encode_json(instance)
        await ask(self._client, self._address, "POST", "/instances", body)


class HttpRatingService:
    """The rating service over HTTP."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        """Return a rating.

        Raises:
            PlatformError: If the service is down, slow or over its rate.
        """
        body = encode_json(request)
        reply = await ask(self._client, self._address, "POST", "/ratings", body, timeout_s)
        return _decoded(reply, RatingReply).rating


class HttpWeightStore:
    """The weight store over HTTP."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def acquire(self, version_id: str) -> bool:
        """Return whether a download may start now.

        Raises:
            PlatformError: If the store does not answer.
        """
        body = encode_json(AcquireRequest(version_id))
        reply = await ask(self._client, self._address, "POST", "/weights/acquire", body)
        return _decoded(reply, AcquireReply).granted


async def send_named(
    client: HttpClient,
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = PLATFORM_TIMEOUT_S,
) -> HttpReply:
    """Send a request to the platform under an id of its own, and return the answer to it.

    Raises:
        HttpError: If there is none in time; with ConnectError, nothing was sent.
    """
    request_id = token_hex(ID_BYTES)
    return await client.request(
        address,
        method,
        target,
        body,
        {**(headers or {}), REQUEST_ID_HEADER: request_id},
        timeout_s,
        identity=fleet_identity(request_id),
    )


async def ask(
    client: HttpClient,
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = PLATFORM_TIMEOUT_S,
) -> bytes:
    """Send a request whose repetition does no harm and return the body of the answer.

    Raises:
        PlatformError: If the platform does not answer or answers with an error.
    """
    try:
        reply = await send_named(client, address, method, target, body, timeout_s=timeout_s)
    except HttpError as error:
        raise PlatformError(f"platform at {address}: {error}") from error
    if reply.status >= 300:
        raise PlatformError(f"platform at {address} answered {reply.status} to {target}")
    return reply.body


def decode_instances(body: bytes) -> list[Instance]:
    """Decode an instance list; entries that can't be decoded or used are logged and left out.

    Raises:
        PlatformError: If the body is no list.
    """
    try:
        found = decode_json(body, type=list[Instance])
    except (DecodeError, ValidationError, RecursionError):
        found = [i for i in map(_decode_instance, list_entries(body)) if i is not None]
    return [instance for instance in found if _is_usable(instance)]


def _decode_instance(entry: bytes) -> Instance | None:
    try:
        return decode_json(entry, type=Instance)
    except (DecodeError, ValidationError, RecursionError) as error:
        log.warning("event=instance_unreadable entry=%r reason=%r", entry[:80], str(error))
        return None


def _is_usable(instance: Instance) -> bool:
    addresses = [instance.address, *([instance.control] if instance.control else [])]
    if all(0 < address.port <= MAX_PORT for address in addresses):
        return True
    log.warning("event=instance_unusable instance=%r", instance.instance_id)
    return False


def list_entries(body: bytes) -> list[bytes]:
    """Return the encoded entries of a JSON list, however deeply nested one of them is.

    Raises:
        PlatformError: If the body is no list.
    """
    entries = []
    depth = start = lists = 0
    for token in _STRUCTURE.finditer(body):
        char = token[0][:1]
        if char in b"]}":
            depth -= 1
        lists += char == b"]" and depth == 0
        if (char == b"," and depth == 1) or (char == b"]" and depth == 0):
            entries.append(body[start : token.start()])
            start = token.end()
        if char in b"[{":
            depth += 1
            start = token.end() if depth == 1 else start
    if not body.lstrip().startswith(b"[") or depth or lists != 1 or body[start:].strip():
        raise PlatformError("the platform's answer is malformed: it is no list")
    return entries


def _decoded(body: bytes, kind: type[T]) -> T:
    try:
        return decode_json(body, type=kind)
    except (DecodeError, ValidationError) as error:
        raise PlatformError(f"the platform's answer is malformed: {error}") from error
