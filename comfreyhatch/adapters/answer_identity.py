"""How the answer to a request is told from others on its connection.

An endpoint may send an answer once more, at the point where the answer to the next request of the
connection is due. The id that answers repeat tells the two apart, unless the connection has carried
that id before.
"""

from enum import Enum
from math import inf

from msgspec import Struct
from xxhash import xxh64_intdigest

from comfreyhatch.adapters.http_message import REQUEST_ID_HEADER, Headers

# Requests after which a connection is not kept, so that what it remembers is bounded.
CARRIED_LIMIT = 256
# In the own fleet, endpoints of the build before name no request in a refusal.
UNNAMED_WAIT_S = 1.0


class RequestIdentity(Struct, frozen=True):
    """What the answer to a request says of it.

    Attributes:
        request_id: Id of the request; empty if it has none.
        header: Name of the header in which answers repeat the id, in lower case.
        unnamed_wait_s: Longest wait for another answer after one without an id, in seconds; for
            endpoints that may name none, so that it may have been the own one.
    """

    request_id: bytes
    header: bytes
    unnamed_wait_s: float = inf


def fleet_identity(request_id: str) -> RequestIdentity:
    """Return what tells the answer to a request of the own fleet from others."""
    return RequestIdentity(request_id.encode(), REQUEST_ID_HEADER.encode(), UNNAMED_WAIT_S)


def id_text(identity: RequestIdentity | None) -> str:
    """Return the id of a request for the log."""
    return identity.request_id.decode("latin-1") if identity else ""


class AnswerOwner(Enum):
    """Whose answer a head belongs to, by the id that it names."""

    OWN = "own"
    # Without an id, but the first answer of its connection.
    FIRST = "first"
    OTHER = "other_id"
    # Without an id, on a connection that has carried an earlier request.
    UNNAMED = "no_id"


class CarriedRequests:
    """The requests that a connection has carried."""

    __slots__ = ("_count", "_hashes")

    def __init__(self) -> None:
        self._count = 0
        # Callers choose ids and their length. Two with one hash only cost a new connection.
        self._hashes: set[int] = set()

    def add(self, identity: RequestIdentity | None) -> None:
        """Note that a request is sent; None if its answer names no id."""
        self._count += 1
        if identity is not None:
            self._hashes.add(xxh64_intdigest(identity.request_id))

    def allows(self, identity: RequestIdentity | None) -> bool:
        """Return whether the answer to a request could be told from those before it.

        That to one without an id could not: a copy may name none either.
        """
        if identity is None:
            return True
        if not identity.request_id:
            return self._count == 0
        return xxh64_intdigest(identity.request_id) not in self._hashes

    @property
    def has_earlier(self) -> bool:
        """Whether requests came before the one that was sent last."""
        return self._count > 1

    @property
    def is_full(self) -> bool:
        """Whether the connection should carry no further request."""
        return self._count >= CARRIED_LIMIT


def answer_owner(
    headers: Headers, identity: RequestIdentity | None, carried: CarriedRequests
) -> AnswerOwner:
    """Return whose answer a head belongs to.

    Args:
        headers: Headers of the answer, with names in lower case.
        identity: The request that was sent last; None if its answer names no id.
        carried: All requests of the connection, which has not carried this one before.
    """
    if identity is None:
        return AnswerOwner.OWN
    named = {value.strip() for name, value in headers if name == identity.header} - {b""}
    if named == {identity.request_id} - {b""}:
        return AnswerOwner.OWN
    if named:
        return AnswerOwner.OTHER
    return AnswerOwner.UNNAMED if carried.has_earlier else AnswerOwner.FIRST
