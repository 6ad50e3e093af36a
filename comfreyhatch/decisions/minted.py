"""Minted idempotency keys: signed keys that name the only process that may run their request."""

import hmac
from hashlib import sha256

from msgspec import Struct

from comfreyhatch.errors import RequestError

KEY_PREFIX = "mk1"
SEPARATOR = "~"
# Hex digits of the HMAC that a key carries.
SIGNATURE_CHARS = 32
MINTED_KEY_LIFETIME_S = 3600.0
MILLISECONDS_PER_S = 1000


class MintedKey(Struct, frozen=True):
    """The parts of a minted key.

    Attributes:
        text: The key as the caller sends it.
        instance_id: Instance that may run the request.
        incarnation: Process on that instance that may run the request.
        expires_at: Expiry on the monotonic clock of that process, in seconds.
    """

    text: str
    instance_id: str
    incarnation: str
    expires_at: float


def mint_key(
    fleet_key: bytes, customer: str, instance_id: str, incarnation: str, now: float, nonce: str
) -> str:
    """Return a new signed key.

    Args:
        fleet_key: Key shared by all daemons.
        customer: Customer that may use the key.
        instance_id: Instance that may run the request.
        incarnation: Process on that instance that may run it.
        now: Present time on the monotonic clock of that process, in seconds.
        nonce: Text that makes the key unique.
    """
    expires_ms = int((now + MINTED_KEY_LIFETIME_S) * MILLISECONDS_PER_S)
    unsigned = SEPARATOR.join((KEY_PREFIX, instance_id, incarnation, f"{expires_ms:x}", nonce))
    return f"{unsigned}{SEPARATOR}{_signature(fleet_key, customer, unsigned)}"


def is_minted(text: str) -> bool:
    """Return whether a key has the form of a minted key; its signature is not checked."""
    return text.startswith(KEY_PREFIX + SEPARATOR)


def parse_minted_key(fleet_keys: tuple[bytes, ...], customer: str, text: str) -> MintedKey:
    """Verify a minted key and return its parts.

    Args:
        fleet_keys: Keys whose signatures are accepted.
        customer: Customer that sent the key.
        text: The key as sent.

    Raises:
        RequestError: If no daemon of the fleet minted the key for this customer.
    """
    unsigned, _, signature = text.rpartition(SEPARATOR)
    expected = [_signature(key, customer, unsigned).encode() for key in fleet_keys]
    if not any(hmac.compare_digest(signature.encode(), each) for each in expected):
        raise RequestError("the minted key is not valid for this customer")
    _, instance_id, incarnation, expires_ms, _ = unsigned.split(SEPARATOR)
    return MintedKey(text, instance_id, incarnation, int(expires_ms, 16) / MILLISECONDS_PER_S)


def _signature(fleet_key: bytes, customer: str, unsigned: str) -> str:
    message = f"{customer}\n{unsigned}".encode()
    return hmac.new(fleet_key, message, sha256).hexdigest()[:SIGNATURE_CHARS]
