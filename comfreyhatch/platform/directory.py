"""Directory of operators' instructions, endpoints and daemon records, in the platform's store."""

import logging
from typing import Any, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.operations import (
    DaemonAddresses,
    Evidence,
    Operations,
    RolloutOrder,
    RolloutRecord,
    SharedRecords,
)
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.usage import UsageBatch
from comfreyhatch.errors import PlatformError
from comfreyhatch.platform.documents import decode_catalog, decode_endpoint, decode_order
from comfreyhatch.platform.rows import Row, Rows, Write, WriteResult
from comfreyhatch.platform.store import HistoryGoneError, StoreClient

OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
STATUS_TABLE = "status"
DAEMON_TABLE = "comfreyhatch"
USAGE_TABLE = "comfreyhatch-usage"

CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
ROLLOUT_RECORD_PREFIX = "trial/"
EVIDENCE_PREFIX = "evidence/"
DAEMON_PREFIX = "daemon/"

S = TypeVar("S", bound=Struct)

log = logging.getLogger("comfreyhatch.platform")


class _RolloutStatus(Struct):
    """State of a roll-out, as written for the operator."""

    state: str
    to: str  # target version


class StoreDirectory:
    """Directory whose records are rows of the platform's store; see `ports.directory.Directory`."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def operations(self, held: Operations | None, wait_s: float) -> Operations:
        """Return the operators' instructions."""
        rows, is_full = await self._changed_rows(
            OPERATOR_TABLE, held.position if held else None, wait_s
        )
        return _apply_operations(held, rows, is_full)

    async def endpoints(self, held: EndpointList | None, wait_s: float) -> EndpointList:
        """Return the registered endpoints."""
        rows, is_full = await self._changed_rows(
            ENDPOINT_TABLE, held.position if held else None, wait_s
        )
        return _apply_endpoints(held, rows, is_full)

    async def records(self, held: SharedRecords | None, wait_s: float) -> SharedRecords:
        """Return the records that daemons have published."""
        rows, is_full = await self._changed_rows(
            DAEMON_TABLE, held.position if held else None, wait_s
        )
        return _apply_records(held, rows, is_full)

    async def put_addresses(self, daemon: str, addresses: DaemonAddresses) -> bool:
        """Publish where this daemon is reached; return whether it is stored."""
        return await self._put([Write(DAEMON_TABLE, DAEMON_PREFIX + daemon, encode(addresses))])

    async def put_evidence(self, evidence: Evidence) -> bool:
        """Publish the answer counts of this daemon; return whether they are stored."""
        key = f"{EVIDENCE_PREFIX}{evidence.service}/{evidence.daemon}"
        return await self._put([Write(DAEMON_TABLE, key, encode(evidence))])

    async def put_rollout(self, rollout: RolloutRecord) -> bool:
        """Publish the state of a roll-out if the stored one still has `rollout.revision`.

        Nothing is sent if that revision is of an earlier generation of the store. One transaction
        writes the record for the daemons and the status for the operator.

        Returns:
            Whether it is stored; False also if the result of the write is unknown.
        """
        status = encode(_RolloutStatus(rollout.state.value, rollout.version))
        return await self._put(
            [
                Write(
                    DAEMON_TABLE,
                    ROLLOUT_RECORD_PREFIX + rollout.service,
                    encode(rollout),
                    rollout.revision,
                    rollout.generation,
                ),
                Write(STATUS_TABLE, ROLLOUT_PREFIX + rollout.service, status),
            ]
        )

    async def put_usage(self, batch: UsageBatch) -> bool:
        """Store a batch of usage if absent; return whether it is stored."""
        key = f"{batch.daemon}/{batch.run}/{batch.sequence}"
        result = await self._store.write([Write(USAGE_TABLE, key, encode(batch), 0)])
        # A conflict means that the row exists: the answer to an earlier write was lost.
        return result in (WriteResult.DONE, WriteResult.CONFLICT)

    async def usage(self) -> list[UsageBatch]:
        """Return all stored batches of usage.

        Raises:
            PlatformError: If the store does not answer.
        """
        rows = (await self._store.read(USAGE_TABLE)).rows
        return [batch for batch in (_decode(row, UsageBatch) for row in rows) if batch]

    async def _put(self, writes: list[Write]) -> bool:
        return await self._store.write(writes) is WriteResult.DONE

    async def _changed_rows(
        self, table: str, after: Position | None, wait_s: float
    ) -> tuple[Rows, bool]:
        """Return the rows changed after a position, and False; or all rows of the table, and True.

        All rows are read if `after` is None or the store does not have the changes after it.

        Raises:
            PlatformError: If the store does not answer, or lists an older position than `after`.
        """
        if after is None:
            return await self._store.read(table), True
        try:
            return await self._store.follow(table, after, wait_s), False
        except HistoryGoneError as error:
            log.info("event=history_gone table=%s reason=%r", table, str(error))
        rows = await self._store.read(table)
        if rows.position < after:
            # Asking again at once would be answered in the same way, thousands of times a second.
            raise PlatformError(f"table {table} is listed at {rows.position}, older than {after}")
        return rows, True


def _apply_operations(held: Operations | None, rows: Rows, is_full: bool) -> Operations:
    """Apply rows to the current instructions.

    Rows of an older position than the current instructions are ignored. The configuration is
    replaced only by a well-formed one with a higher version.
    """
    if held and rows.position < held.position:
        return held
    catalog = held.catalog if held else None
    orders = dict(held.order_by_service) if held and not is_full else {}
    zones = set(held.zones_out) if held and not is_full else set()
    for row in rows.rows:
        if row.key == CONFIG_KEY and not row.removed:
            catalog = _newer_catalog(catalog, row)
        elif row.key.startswith(ROLLOUT_PREFIX):
            _apply_order(orders, row)
        elif row.key.startswith(EVACUATION_PREFIX):
            zone = row.key.removeprefix(EVACUATION_PREFIX)
            zones.discard(zone) if row.removed else zones.add(zone)
    return Operations(rows.revision, catalog, orders, frozenset(zones), rows.generation)


def _newer_catalog(held: Catalog | None, row: Row) -> Catalog | None:
    """Return the configuration of a row if it is well-formed and newer, otherwise the held one."""
    found = decode_catalog(row.value)
    if found and (held is None or found.version > held.version):
        return found
    if found and held and found.version == held.version:
        return held
    log.warning(
        "event=config_not_taken revision=%d version=%s held=%s",
        row.revision,
        found.version if found else "unreadable",
        held.version if held else "none",
    )
    return held


def _apply_order(orders: dict[str, RolloutOrder], row: Row) -> None:
    """Set or remove the order of a service; a malformed one leaves the current order in place."""
    if row.removed:
        orders.pop(row.key.removeprefix(ROLLOUT_PREFIX), None)
        return
    order = decode_order(row)
    if order:
        orders[order.service] = order


def _apply_endpoints(held: EndpointList | None, rows: Rows, is_full: bool) -> EndpointList:
    """Apply rows to the current list; a removed or malformed record drops its endpoint."""
    if held and rows.position < held.position:
        return held
    records: dict[str, EndpointRecord] = dict(held.record_by_id) if held and not is_full else {}
    for row in rows.rows:
        record = None if row.removed else decode_endpoint(row)
        if record:
            records[row.key] = record
        else:
            records.pop(row.key, None)
    return EndpointList(rows.revision, records, rows.generation)


def _apply_records(held: SharedRecords | None, rows: Rows, is_full: bool) -> SharedRecords:
    """Apply rows to the current records.

    Roll-outs and evidence are dropped if their row is removed or malformed. The address and region
    of a daemon are kept in that case until all rows of the table are read again.
    """
    if held and rows.position < held.position:
        return held
    rollouts = dict(held.trial_by_service) if held and not is_full else {}
    evidence = dict(held.evidence_by_key) if held and not is_full else {}
    controls = dict(held.control_by_daemon) if held and not is_full else {}
    regions = dict(held.region_by_daemon) if held and not is_full else {}
    links = dict(held.link_by_daemon) if held and not is_full else {}
    relays = dict(held.relay_by_daemon) if held and not is_full else {}
    for row in rows.rows:
        if row.key.startswith(ROLLOUT_RECORD_PREFIX):
            _update_value(rollouts, row, row.key.removeprefix(ROLLOUT_RECORD_PREFIX), RolloutRecord)
        elif row.key.startswith(EVIDENCE_PREFIX):
            _update_value(evidence, row, row.key.removeprefix(EVIDENCE_PREFIX), Evidence)
        elif row.key.startswith(DAEMON_PREFIX):
            found = _decode(row, DaemonAddresses)
            if found:
                daemon = row.key.removeprefix(DAEMON_PREFIX)
                controls[daemon] = found.control
                regions[daemon] = found.region
                links[daemon] = found.link_mbps
                if found.relay is not None:
                    relays[daemon] = found.relay
    return SharedRecords(
        rows.revision,
        rows.store_ms,
        rollouts,
        evidence,
        controls,
        regions,
        rows.generation,
        links,
        relays,
    )


def _update_value(
    value_by_name: dict[str, Any], row: Row, name: str, struct_type: type[Struct]
) -> None:
    """Set the value of a row; drop it if the row is removed or malformed."""
    value = _decode(row, struct_type)
    if value is None:
        value_by_name.pop(name, None)
        return
    if isinstance(value, RolloutRecord):
        value = replace(value, revision=row.revision, generation=row.generation)
    value_by_name[name] = value


def _decode(row: Row, struct_type: type[S]) -> S | None:
    """Decode a row; return None if it is removed or, with a warning, if it is malformed."""
    if row.removed:
        return None
    try:
        return decode(row.value, type=struct_type)
    except (DecodeError, ValidationError) as error:
        log.warning("event=record_unreadable key=%r reason=%r", row.key, str(error))
        return None
