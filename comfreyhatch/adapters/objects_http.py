"""The platform's object store over HTTP."""

from urllib.parse import quote, urlencode

from msgspec import DecodeError, ValidationError
from msgspec.json import decode as decode_json

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.adapters.platform_http import PLATFORM_TIMEOUT_S, send_named
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import ConnectError, HttpError, PlatformError
from comfreyhatch.ports.table import WriteOutcome

NOT_FOUND_STATUS = 404
PRESENT_STATUS = 412
UNAVAILABLE_STATUS = 503


class HttpObjectStore:
    """Objects that are put by PUT with `If-None-Match: *` and read by GET."""

    def __init__(
        self, client: HttpClient, address: Address, timeout_s: float = PLATFORM_TIMEOUT_S
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def put_if_absent(self, key: str, value: bytes) -> WriteOutcome:
        """Store an object; REFUSED if the key is present, UNKNOWN if the answer was lost.

        Raises:
            PlatformError: If it is certain that nothing was stored.
        """
        headers = {"if-none-match": "*", "content-type": "application/octet-stream"}
        try:
            reply = await send_named(
                self._client, self._address, "PUT", _target(key), value, headers, self._timeout_s
            )
        except ConnectError as error:
            raise PlatformError(f"object store at {self._address}: {error}") from error
        except HttpError:
            return WriteOutcome.UNKNOWN
        if reply.status == UNAVAILABLE_STATUS:
            raise PlatformError(f"object store at {self._address} refused the write")
        if reply.status == PRESENT_STATUS:
            return WriteOutcome.REFUSED
        return WriteOutcome.DONE if reply.status < 300 else WriteOutcome.UNKNOWN

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if absent.

        Raises:
            PlatformError: If the store does not answer.
        """
        reply = await self._get(_target(key))
        return None if reply.status == NOT_FOUND_STATUS else reply.body

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return keys with the prefix that sort after `after`, in order.

        Raises:
            PlatformError: If the store does not answer.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = await self._get(f"/objects?{query}")
        try:
            return decode_json(reply.body, type=list[str])
        except (DecodeError, ValidationError) as error:
            raise PlatformError(f"the object store's answer is malformed: {error}") from error

    async def _get(self, target: str) -> HttpReply:
        try:
            reply = await send_named(
                self._client, self._address, "GET", target, timeout_s=self._timeout_s
            )
        except HttpError as error:
            raise PlatformError(f"object store at {self._address}: {error}") from error
        if reply.status >= 300 and reply.status != NOT_FOUND_STATUS:
            raise PlatformError(f"object store at {self._address} answered {reply.status}")
        return reply


def _target(key: str) -> str:
    return "/objects/" + quote(key)
