"""Minted idempotency keys: each names the one process that may run its call."""

import hmac
from hashlib import sha256

from msgspec import Struct

from comfreyhatch.errors import RequestError

PREFIX = "mk1"
SEPARATOR = "~"
SIGNATURE_CHARS = 32
MINTED_KEY_LIFETIME_S = 3600.0
MILLISECONDS_PER_S = 1000


class MintedKey(Struct, frozen=True):
    """A minted key in its parts.

    Attributes:
        text: The key as the caller holds it.
        instance_id: Instance that may run its call.
        incarnation: Process on that instance that may run it.
        expires_at: Monotonic time of that process, in seconds, from which it does not run it.
    """

    text: str
    instance_id: str
    incarnation: str
    expires_at: float


def mint_key(
    fleet_key: bytes, customer: str, instance_id: str, incarnation: str, now: float, nonce: str
) -> str:
    """Return a new key.

    Args:
        fleet_key: Key shared by all daemons.
        customer: Customer that may use it.
        instance_id: Instance that may run its call.
        incarnation: Process on that instance.
        now: Monotonic time of that process, in seconds.
        nonce: Text that makes the key unique.
    """
    expires_ms = int((now + MINTED_KEY_LIFETIME_S) * MILLISECONDS_PER_S)
    unsigned = SEPARATOR.join((PREFIX, instance_id, incarnation, f"{expires_ms:x}", nonce))
    return f"{unsigned}{SEPARATOR}{_signature(fleet_key, customer, unsigned)}"


def is_minted(text: str) -> bool:
    """Return whether a key claims to be a minted one."""
    return text.startswith(PREFIX + SEPARATOR)


def parse_minted_key(fleet_keys: tuple[bytes, ...], customer: str, text: str) -> MintedKey:
    """Return a minted key in its parts.

    Raises:
        RequestError: If it was not minted by the fleet for the customer.
    """
    unsigned, _, signature = text.rpartition(SEPARATOR)
    expected = [_signature(key, customer, unsigned).encode() for key in fleet_keys]
    if not any(hmac.compare_digest(signature.encode(), each) for each in expected):
        raise RequestError("the minted key is not one of this customer's")
    _, instance_id, incarnation, expires_ms, _ = unsigned.split(SEPARATOR)
    return MintedKey(text, instance_id, incarnation, int(expires_ms, 16) / MILLISECONDS_PER_S)


def _signature(fleet_key: bytes, customer: str, unsigned: str) -> str:
    message = f"{customer}\n{unsigned}".encode()
    return hmac.new(fleet_key, message, sha256).hexdigest()[:SIGNATURE_CHARS]
