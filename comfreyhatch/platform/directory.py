"""The directory of operators, endpoints and daemons, kept in tables of the platform's store."""

import logging
from typing import Any, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.operations import (
    Evidence,
    Operations,
    RolloutOrder,
    RolloutRecord,
    SharedRecords,
)
from comfreyhatch.domain.usage import UsageBatch
from comfreyhatch.platform.documents import decode_catalog, decode_endpoint, decode_order
from comfreyhatch.platform.store import (
    HistoryGoneError,
    Row,
    Rows,
    StoreClient,
    Write,
    WriteResult,
)

OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
STATUS_TABLE = "status"
OWN_TABLE = "comfreyhatch"
USAGE_TABLE = "comfreyhatch-usage"

CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
TRIAL_PREFIX = "trial/"
EVIDENCE_PREFIX = "evidence/"
DAEMON_PREFIX = "daemon/"

S = TypeVar("S", bound=Struct)

log = logging.getLogger("comfreyhatch.platform")


class _RolloutStatus(Struct):
    state: str
    to: str


class _DaemonAddress(Struct):
    control: str
    region: str = ""


class StoreDirectory:
    """Reads and follows the tables of operators, endpoints and daemons."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the operators' standing orders."""
        rows, whole = await self._rows(OPERATOR_TABLE, held.revision if held else None, wait_s)
        return _apply_operations(held, rows, whole)

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""
        rows, whole = await self._rows(ENDPOINT_TABLE, held.revision if held else None, wait_s)
        return _apply_endpoints(held, rows, whole)

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return what the daemons have published."""
        rows, whole = await self._rows(OWN_TABLE, held.revision if held else None, wait_s)
        return _apply_records(held, rows, whole)

    async def put_control(self, daemon: str, address: str, region: str) -> bool:
        """Publish the control address and the region of this daemon."""
        value = encode(_DaemonAddress(address, region))
        return await self._put([Write(OWN_TABLE, DAEMON_PREFIX + daemon, value)])

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Publish what this daemon has counted."""
        key = f"{EVIDENCE_PREFIX}{evidence.service}/{evidence.daemon}"
        return await self._put([Write(OWN_TABLE, key, encode(evidence))])

    async def put_rollout(self, rollout: RolloutRecord) -> bool:
        """Publish the state of a roll-out, for the daemons and for the operator, in one write."""
        status = encode(_RolloutStatus(rollout.state.value, rollout.version))
        return await self._put(
            [
                Write(OWN_TABLE, TRIAL_PREFIX + rollout.service, encode(rollout), rollout.revision),
                Write(STATUS_TABLE, ROLLOUT_PREFIX + rollout.service, status),
            ]
        )

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Store a batch of usage unless it is stored already; return whether it is stored."""
        key = f"{batch.daemon}/{batch.started_ms}/{batch.sequence}"
        result = await self._store.write([Write(USAGE_TABLE, key, encode(batch), 0)])
        # A refused insert means that the row exists: an earlier answer was lost.
        return result in (WriteResult.DONE, WriteResult.CONFLICT)

    async def usage(self) -> list[UsageBatch]:
        """Return all batches of usage that are stored.

        Raises:
            PlatformError: If the store does not answer.
        """
        rows = (await self._store.read(USAGE_TABLE)).rows
        return [batch for batch in (_decode(row, UsageBatch) for row in rows) if batch]

    async def _put(self, writes: list[Write]) -> bool:
        return await self._store.write(writes) is WriteResult.DONE

    async def _rows(self, table: str, after: int | None, wait_s: float) -> tuple[Rows, bool]:
        """Return changed rows, or all rows when nothing is held; and whether it is all."""
        if after is None:
            return await self._store.read(table), True
        try:
            return await self._store.follow(table, after, wait_s), False
        except HistoryGoneError:
            log.info("event=history_gone table=%s after=%d", table, after)
            return await self._store.read(table), True


def _apply_operations(held: Operations | None, rows: Rows, whole: bool) -> Operations:
    if held and rows.revision < held.revision:
        return held
    catalog = held.catalog if held else None
    orders = dict(held.order_by_service) if held and not whole else {}
    zones = set(held.zones_out) if held and not whole else set()
    for row in rows.rows:
        if row.key == CONFIG_KEY and not row.removed:
            found = decode_catalog(row.value)
            if found and (catalog is None or found.version > catalog.version):
                catalog = found
        elif row.key.startswith(ROLLOUT_PREFIX):
            _apply_order(orders, row)
        elif row.key.startswith(EVACUATION_PREFIX):
            zone = row.key.removeprefix(EVACUATION_PREFIX)
            zones.discard(zone) if row.removed else zones.add(zone)
    return Operations(rows.revision, catalog, orders, frozenset(zones))


def _apply_order(orders: dict[str, RolloutOrder], row: Row) -> None:
    if row.removed:
        orders.pop(row.key.removeprefix(ROLLOUT_PREFIX), None)
        return
    order = decode_order(row)
    if order:
        orders[order.service] = order


def _apply_endpoints(held: EndpointList | None, rows: Rows, whole: bool) -> EndpointList:
    if held and rows.revision < held.revision:
        return held
    records: dict[str, EndpointRecord] = dict(held.record_by_id) if held and not whole else {}
    for row in rows.rows:
        record = None if row.removed else decode_endpoint(row)
        if record:
            records[row.key] = record
        else:
            records.pop(row.key, None)
    return EndpointList(rows.revision, records)


def _apply_records(held: SharedRecords | None, rows: Rows, whole: bool) -> SharedRecords:
    if held and rows.revision < held.revision:
        return held
    trials = dict(held.trial_by_service) if held and not whole else {}
    evidence = dict(held.evidence_by_key) if held and not whole else {}
    controls = dict(held.control_by_daemon) if held and not whole else {}
    regions = dict(held.region_by_daemon) if held and not whole else {}
    for row in rows.rows:
        if row.key.startswith(TRIAL_PREFIX):
            _apply(trials, row, row.key.removeprefix(TRIAL_PREFIX), RolloutRecord)
        elif row.key.startswith(EVIDENCE_PREFIX):
            _apply(evidence, row, row.key.removeprefix(EVIDENCE_PREFIX), Evidence)
        elif row.key.startswith(DAEMON_PREFIX):
            address = _decode(row, _DaemonAddress)
            if address:
                controls[row.key.removeprefix(DAEMON_PREFIX)] = address.control
                regions[row.key.removeprefix(DAEMON_PREFIX)] = address.region
    return SharedRecords(rows.revision, rows.store_ms, trials, evidence, controls, regions)


def _apply(held: dict[str, Any], row: Row, name: str, form: type[Struct]) -> None:
    value = _decode(row, form)
    if value is None:
        held.pop(name, None)
        return
    if isinstance(value, RolloutRecord):
        value = replace(value, revision=row.revision)
    held[name] = value


def _decode(row: Row, form: type[S]) -> S | None:
    if row.removed:
        return None
    try:
        return decode(row.value, type=form)
    except (DecodeError, ValidationError) as error:
        log.warning("event=record_unreadable key=%r reason=%r", row.key, str(error))
        return None
