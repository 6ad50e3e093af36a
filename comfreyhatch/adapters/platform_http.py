"""The platform's instance list, rating service and weight store over HTTP."""

from typing import TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.errors import HttpError, PlatformError
from comfreyhatch.ports.platform import RatingRequest

PLATFORM_TIMEOUT_S = 2.0
NOT_MODIFIED_STATUS = 304

T = TypeVar("T")


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
            reply = await self._client.request(
                self._address, "GET", "/instances", b"", headers, PLATFORM_TIMEOUT_S
            )
        except HttpError as error:
            raise PlatformError(f"platform at {self._address}: {error}") from error
        if reply.status == NOT_MODIFIED_STATUS and self._etag:
            return self._rows
        if reply.status != 200:
            raise PlatformError(f"platform at {self._address} answered {reply.status}")
        self._rows = _decoded(reply.body, list[Instance])
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
        reply = await client.request(address, method, target, body, timeout_s=timeout_s)
    except HttpError as error:
        raise PlatformError(f"platform at {address}: {error}") from error
    if reply.status >= 300:
        raise PlatformError(f"platform at {address} answered {reply.status} to {target}")
    return reply.body


def _decoded(body: bytes, kind: type[T]) -> T:
    try:
        return decode_json(body, type=kind)
    except (DecodeError, ValidationError) as error:
        raise PlatformError(f"the platform's answer is malformed: {error}") from error
