"""Version affinity of sessions: roll-out split, signed session tokens, pins and their holders.

A session keeps the version that it started on. A session token carries that version and needs no
state. For sessions without a token, two daemons hold a pin, in different zones if possible.
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Iterable, Set
from hashlib import sha256
from typing import Literal

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import decode, encode
from xxhash import xxh3_128_hexdigest, xxh64_intdigest

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import FULL_SHARE, Version, VersionState
from comfreyhatch.ports.peers import Member

SPLIT_RESOLUTION = 1_000_000
PIN_BUCKETS = 256
# Bytes of the HMAC that a token carries.
SIGNATURE_BYTES = 16
MAX_TOKEN_CHARS = 1024
# Keeps signatures of tokens apart from other signatures with the fleet key.
TOKEN_CONTEXT = b"session token\0"

PinSource = Literal["token", "pin", "split"]


class SessionToken(Struct, frozen=True, array_like=True):
    """Content of a signed session token.

    Attributes:
        customer: Customer that the token was issued to.
        session: Session id.
        wanted: Model or version that the session's requests name; empty for none.
        version_id: Version that serves the session.
    """

    customer: str
    session: str
    wanted: str
    version_id: str


class Pin(Struct, frozen=True, array_like=True):
    """The version that serves a session, as stored by the pin's holders.

    Attributes:
        key: Hash of customer, session and requested model or version.
        version_id: Version that serves the session.
        at_unix_s: Time at which the pin was proposed, in seconds since the epoch; of two pins with
            equal moves the older one wins.
        moves: Times that the session was moved to another version; the pin with more moves wins.
    """

    key: str
    version_id: str
    at_unix_s: float
    moves: int = 0


class PinHolders(Struct, frozen=True):
    """Instance ids of the daemons that hold a pin, in different zones if possible."""

    names: tuple[str, ...]


def session_key(customer: str, session: str, wanted: str) -> str:
    """Return the key of a session's pin.

    Args:
        customer: Customer that the session belongs to.
        session: Session id.
        wanted: Model or version that the session's requests name; empty for none.
    """
    return xxh3_128_hexdigest(f"{customer}\0{session}\0{wanted}".encode())


def split_version(
    key: str, model: str, contract: Contract, config: FleetConfig, avoided: Set[str] = frozenset()
) -> Version | None:
    """Return the version that the roll-out split assigns to a new session.

    A session's hash with a version does not depend on the shares, so a session assigned to a
    version stays assigned to it while the share grows.

    Args:
        key: Key of the session.
        model: Model that the session uses.
        contract: Contract of the customer.
        config: Configuration in force.
        avoided: Versions that get no new sessions at present.

    Returns:
        The version, or None if there is no active version that the contract allows.
    """
    versions = [
        version
        for version in config.version_by_id.values()
        if version.model == model
        and version.state is VersionState.ACTIVE
        and version.version_id not in avoided
        and contract.allows(version.model, version.version_id)
    ]
    versions.sort(key=lambda v: (-_generation(v, config), v.version_id))
    for version in versions:
        if _split_hash(key, version) < version.share * SPLIT_RESOLUTION // FULL_SHARE:
            return version
    return max(versions, key=lambda v: v.share, default=None)


def sign_token(fleet_key: bytes, token: SessionToken) -> str:
    """Return a token with its signature, encoded for a header."""
    payload = encode(token)
    return f"{_to_text(payload)}.{_to_text(_signature(fleet_key, payload))}"


def verify_token(fleet_keys: Iterable[bytes], text: str) -> SessionToken | None:
    """Return the content of a token, or None if it is malformed or has no valid signature.

    Args:
        fleet_keys: Keys whose signatures are accepted.
        text: The header's value.
    """
    head, _, tail = text.partition(".")
    if len(text) > MAX_TOKEN_CHARS:
        return None
    try:
        payload, signature = _from_text(head), _from_text(tail)
    except ValueError:
        return None
    if not any(hmac.compare_digest(signature, _signature(key, payload)) for key in fleet_keys):
        return None
    try:
        return decode(payload, type=SessionToken)
    except (DecodeError, ValidationError):
        return None


def bucket_of(key: str) -> int:
    """Return the bucket of a pin's key; all pins of a bucket have the same holders."""
    return int(key[:2], 16) % PIN_BUCKETS


def holders_of_bucket(bucket: int, members: Iterable[Member]) -> PinHolders:
    """Return the daemons that hold a bucket's pins.

    Args:
        bucket: Number of the bucket.
        members: Live daemons that are not leaving, this one included.
    """
    ranked = sorted(members, key=lambda m: xxh64_intdigest(f"{bucket}\0{m.instance_id}".encode()))
    if not ranked:
        return PinHolders(())
    first = ranked[0]
    elsewhere = [member for member in ranked[1:] if member.zone != first.zone]
    second = (elsewhere or ranked[1:])[:1]
    return PinHolders((first.instance_id, *(member.instance_id for member in second)))


def winning_pin(one: Pin, other: Pin) -> Pin:
    """Return the pin that wins over another one of the same session, the same at every daemon."""
    return min(one, other, key=lambda pin: (-pin.moves, pin.at_unix_s, pin.version_id))


def may_serve_session(version_id: str, contract: Contract, config: FleetConfig) -> bool:
    """Return whether a session's version may still serve it."""
    version = config.version_by_id.get(version_id)
    if version is None or version.state is VersionState.WITHDRAWN:
        return False
    return contract.allows(version.model, version_id)


def _generation(version: Version, config: FleetConfig) -> int:
    """Return the length of the chain of versions along `replaces`, the version included."""
    seen = {version.version_id}
    while version.replaces in config.version_by_id and version.replaces not in seen:
        seen.add(version.replaces)
        version = config.version_by_id[version.replaces]
    return len(seen)


def _split_hash(key: str, version: Version) -> int:
    return xxh64_intdigest(f"{key}\0{version.version_id}".encode()) % SPLIT_RESOLUTION


def _signature(fleet_key: bytes, payload: bytes) -> bytes:
    return hmac.new(fleet_key, TOKEN_CONTEXT + payload, sha256).digest()[:SIGNATURE_BYTES]


def _to_text(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _from_text(text: str) -> bytes:
    return urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
