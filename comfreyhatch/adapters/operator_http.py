"""Client of the operators' port of daemons."""

from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote, urlencode

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode as decode_json
from msgspec.json import encode as encode_json

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.decisions.burn import BurnCount, BurnSegment, StoredBurn, add_stored, merge_burn
from comfreyhatch.decisions.rollout import Rollout
from comfreyhatch.domain.change import ChangeRecord
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import ComfreyhatchError, HttpError, PeerError
from comfreyhatch.ports.operators import (
    Accepted,
    BillReport,
    Edit,
    FleetState,
    HaltRollout,
    InForce,
)

OPERATOR_TIMEOUT_S = 10.0
BURN_SLICE_S = 1800.0

T = TypeVar("T")


class ErrorDetail(Struct, frozen=True):
    """The error that a daemon answered with."""

    code: int = int(ResultCode.INTERNAL)
    message: str = ""


class ErrorReply(Struct, frozen=True):
    """Body of a daemon's error."""

    error: ErrorDetail = ErrorDetail()


class OperatorClient:
    """Asks the first of several daemons that can be reached."""

    def __init__(self, client: HttpClient, addresses: Sequence[Address]) -> None:
        self._client = client
        self._addresses = addresses

    async def state(self) -> FleetState:
        """Return the state of the fleet as a daemon sees it."""
        return await self._get("/status", FleetState)

    async def config(self, revision: int = 0) -> FleetConfig:
        """Return the configuration in force, or the one at a revision."""
        return await self._get("/config", FleetConfig, revision=revision)

    async def history(self, after: int | None, limit: int) -> list[ChangeRecord]:
        """Return changes after a revision, or the newest."""
        if after is None:
            return await self._get("/config/history", list[ChangeRecord], limit=limit)
        return await self._get("/config/history", list[ChangeRecord], after=after, limit=limit)

    async def in_force(self, revision: int) -> InForce:
        """Return where a revision is in force."""
        return await self._get("/config/in-force", InForce, revision=revision)

    async def apply(self, edit: Edit) -> int:
        """Submit an edit and return its revision.

        The edit's id makes a repetition at the next daemon harmless.
        """
        reply = await self._ask("POST", "/changes", encode_json(edit))
        return _decoded(reply, Accepted).revision

    async def rollouts(self) -> list[Rollout]:
        """Return all roll-outs."""
        return await self._get("/rollouts", list[Rollout])

    async def start_rollout(self, rollout: Rollout) -> None:
        """Start a roll-out."""
        await self._ask("POST", "/rollouts", encode_json(rollout))

    async def halt_rollout(self, model: str, halted: bool) -> Rollout:
        """Halt a roll-out or let it go on, and return it."""
        halt = encode_json(HaltRollout(model, halted))
        return _decoded(await self._ask("POST", "/rollouts/halt", halt), Rollout)

    async def explain(self, request_id: str) -> RequestRecord:
        """Return the record of a request; asks every daemon before it gives up."""
        missing: ComfreyhatchError | None = None
        for address in self._addresses:
            client = OperatorClient(self._client, [address])
            try:
                return await client._get(f"/explain/{quote(request_id, safe='')}", RequestRecord)
            except ComfreyhatchError as error:
                if error.code is ResultCode.NOT_FOUND or missing is None:
                    missing = error
        raise missing or _no_address()

    async def records(self, customer: str, since_unix_s: float) -> list[RequestRecord]:
        """Return the records since a time of all daemons that answer."""
        found = await self._get_all(
            "/records", list[RequestRecord], customer=customer, since=since_unix_s
        )
        by_id = {record.request_id: record for records in found for record in records}
        return sorted(by_id.values(), key=lambda record: record.at_unix_s)

    async def bills(self, customer: str, since_unix_s: float) -> BillReport:
        """Return the bills of one customer or of all since a time."""
        return await self._get("/bills", BillReport, customer=customer, since=since_unix_s)

    async def burn_counts(self, from_unix_s: float, to_unix_s: float) -> list[BurnCount]:
        """Return the burn counts that are stored and those that daemons have not stored yet."""
        # Pending counts are read first: a segment stored in between is found twice, and counted
        # once, but never missed.
        pending = await self._get_all("/burn", list[BurnSegment])
        stored = StoredBurn((), {})
        start = from_unix_s
        while start < to_unix_s + BURN_SLICE_S:
            parameters = {"from": start, "to": start + BURN_SLICE_S}
            found = await self._get("/burn/stored", StoredBurn, **parameters)
            stored = add_stored(stored, found)
            start += BURN_SLICE_S
        return merge_burn(stored, [segment for found in pending for segment in found])

    async def _get(self, path: str, kind: type[T], **parameters: object) -> T:
        return _decoded(await self._ask("GET", _target(path, parameters)), kind)

    async def _get_all(self, path: str, kind: type[T], **parameters: object) -> list[T]:
        found: list[T] = []
        failure: ComfreyhatchError | None = None
        for address in self._addresses:
            try:
                client = OperatorClient(self._client, [address])
                found.append(await client._get(path, kind, **parameters))
            except ComfreyhatchError as error:
                failure = error
        if not found:
            raise failure or _no_address()
        return found

    async def _ask(self, method: str, target: str, body: bytes = b"") -> HttpReply:
        failures: list[str] = []
        for address in self._addresses:
            try:
                reply = await self._client.request(
                    address, method, target, body, timeout_s=OPERATOR_TIMEOUT_S
                )
            except HttpError as error:
                failures.append(f"daemon {address}: {error}")
                continue
            if reply.status >= 300:
                raise _error_of(reply, address)
            return reply
        if not failures:
            raise _no_address()
        raise PeerError("; ".join(failures), ResultCode.PEER_TIMEOUT)


def _target(path: str, parameters: dict[str, object]) -> str:
    given = {name: value for name, value in parameters.items() if value != ""}
    return f"{path}?{urlencode(given)}" if given else path


def _no_address() -> PeerError:
    return PeerError("no daemon is named; use --daemon host:port", ResultCode.BAD_REQUEST)


def _error_of(reply: HttpReply, address: Address) -> ComfreyhatchError:
    try:
        detail = decode_json(reply.body, type=ErrorReply).error
        code = ResultCode(detail.code)
    except (DecodeError, ValidationError, ValueError):
        message = f"daemon {address} answered {reply.status}"
        return ComfreyhatchError(message, ResultCode.INTERNAL, Ran.UNKNOWN)
    return ComfreyhatchError(detail.message, code)


def _decoded(reply: HttpReply, kind: type[T]) -> T:
    try:
        return decode_json(reply.body, type=kind)
    except (DecodeError, ValidationError) as error:
        raise PeerError(f"the daemon's answer is malformed: {error}") from error
