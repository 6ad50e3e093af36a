"""Deltas between two states of the instance list, and order-independent digests of a state."""

from collections.abc import Iterable, Mapping

from msgspec import Struct
from msgspec.msgpack import Encoder
from xxhash import xxh64_intdigest

from comfreyhatch.domain.instance import Instance

_encoder = Encoder()


class ListDelta(Struct, frozen=True, array_like=True):
    """Changes that turn one state of the list into another.

    Attributes:
        base_digest: Digest of the state before the changes.
        new_digest: Digest of the state after the changes.
        rows: Rows that are new or changed.
        removed: Ids of the removed rows.
    """

    base_digest: int
    new_digest: int
    rows: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()


def list_digest(rows: Iterable[Instance]) -> int:
    """Return a digest of rows that does not depend on their order."""
    digest = 0
    for row in rows:
        digest ^= _row_digest(row)
    return digest


def delta_between(
    old_by_id: Mapping[str, Instance], old_digest: int, rows: Iterable[Instance]
) -> ListDelta:
    """Return the delta from an old state to a new one.

    Args:
        old_by_id: Rows of the old state by instance id.
        old_digest: Digest of the old state.
        rows: Rows of the new state.
    """
    new_by_id = {row.instance_id: row for row in rows}
    changed = tuple(row for i, row in new_by_id.items() if old_by_id.get(i) != row)
    removed = tuple(i for i in old_by_id if i not in new_by_id)
    digest = old_digest
    for row in changed:
        digest ^= _row_digest(row)
    for instance_id in (*removed, *(row.instance_id for row in changed)):
        if instance_id in old_by_id:
            digest ^= _row_digest(old_by_id[instance_id])
    return ListDelta(old_digest, digest, changed, removed)


def apply_delta(row_by_id: Mapping[str, Instance], delta: ListDelta) -> dict[str, Instance]:
    """Return the rows by instance id after a delta is applied."""
    changed = {row.instance_id: row for row in delta.rows}
    return {
        instance_id: row
        for instance_id, row in {**row_by_id, **changed}.items()
        if instance_id not in delta.removed
    }


def _row_digest(row: Instance) -> int:
    return xxh64_intdigest(_encoder.encode(row))
