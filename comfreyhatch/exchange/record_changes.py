"""Changes of the daemons' records since a revision, so that peers need not send all of them."""

from collections.abc import Mapping
from typing import TypeVar

from msgspec import Struct

from comfreyhatch.domain.operations import Evidence, RolloutRecord, SharedRecords
from comfreyhatch.domain.position import Position
from comfreyhatch.domain.relay import RelayAddress

V = TypeVar("V")

# Kinds of records: the mappings of `SharedRecords`.
KINDS = (
    "trial_by_service",
    "evidence_by_key",
    "control_by_daemon",
    "region_by_daemon",
    "link_by_daemon",
    "relay_by_daemon",
)


class RecordChanges(Struct, frozen=True):
    """Changes of the daemons' records up to one revision.

    Attributes:
        revision: Revision of the records after the changes.
        store_ms: Time by the store's clock when the records were read, in milliseconds.
        trial_by_service: Roll-outs that were added or changed.
        evidence_by_key: Evidence that was added or changed.
        control_by_daemon: Control addresses that were added or changed.
        region_by_daemon: Regions that were added or changed.
        whole: Whether these are all records, which replace the held ones.
        generation: Generation of the store to which the revision belongs.
        link_by_daemon: Bandwidths of links that were added or changed.
        relay_by_daemon: Listeners for requests of daemons that were added or changed.
    """

    revision: int
    store_ms: int
    trial_by_service: dict[str, RolloutRecord]
    evidence_by_key: dict[str, Evidence]
    control_by_daemon: dict[str, str]
    region_by_daemon: dict[str, str]
    whole: bool = False
    generation: int = 0
    link_by_daemon: dict[str, float] = {}
    relay_by_daemon: dict[str, RelayAddress] = {}

    def applies_to(self, held: SharedRecords | None) -> bool:
        """Return whether the records after these changes follow from the held ones."""
        return self.whole or (held is not None and held.generation == self.generation)


class RecordHistory:
    """The current records, and the revision at which each last changed.

    No changes are kept across generations of the store.
    """

    def __init__(self) -> None:
        self._changed_revision = 0
        self._held = SharedRecords(0, 0, {}, {}, {})
        self._changed_revision_by_kind: dict[str, dict[str, int]] = {kind: {} for kind in KINDS}
        # No record was removed after this revision; followers below it get all records.
        self._complete_since = 1

    @property
    def changed_position(self) -> Position:
        """Position of the last records that changed one or removed one."""
        return Position(self._held.generation, self._changed_revision)

    def update(self, found: SharedRecords) -> None:
        """Replace the records by newer ones and note which have changed."""
        if found.generation != self._held.generation or not self._held.revision:
            self._restart(found)
            return
        for kind in KINDS:
            self._update_kind(kind, getattr(found, kind), found.revision)
        self._held = found

    def since(self, position: Position) -> RecordChanges:
        """Return the changes since a position; all records if they are no longer known.

        Args:
            position: Position of the records that the daemon holds; `Position()` for none.
        """
        held = self._held
        whole = position.generation != held.generation or position.revision < self._complete_since
        after = 0 if whole else position.revision
        return RecordChanges(
            held.revision,
            held.store_ms,
            self._changed("trial_by_service", held.trial_by_service, after),
            self._changed("evidence_by_key", held.evidence_by_key, after),
            self._changed("control_by_daemon", held.control_by_daemon, after),
            self._changed("region_by_daemon", held.region_by_daemon, after),
            whole,
            held.generation,
            self._changed("link_by_daemon", held.link_by_daemon, after),
            self._changed("relay_by_daemon", held.relay_by_daemon, after),
        )

    def _restart(self, found: SharedRecords) -> None:
        """Start anew with the first records of all, or of a generation."""
        self._held = found
        self._changed_revision = found.revision
        self._complete_since = found.revision
        for kind in KINDS:
            self._changed_revision_by_kind[kind] = dict.fromkeys(
                getattr(found, kind), found.revision
            )

    def _update_kind(self, kind: str, found: Mapping[str, object], revision: int) -> None:
        held: Mapping[str, object] = getattr(self._held, kind)
        changed_revision = self._changed_revision_by_kind[kind]
        for name, value in found.items():
            if name not in held or held[name] != value:
                changed_revision[name] = revision
                self._changed_revision = revision
        for name in held.keys() - found.keys():
            del changed_revision[name]
            self._complete_since = revision
            self._changed_revision = revision

    def _changed(self, kind: str, held: dict[str, V], after: int) -> dict[str, V]:
        changed_revision = self._changed_revision_by_kind[kind]
        return {name: value for name, value in held.items() if changed_revision[name] > after}


def apply_record_changes(held: SharedRecords | None, changes: RecordChanges) -> SharedRecords:
    """Return the records after changes.

    Args:
        held: Records before the changes; None only with changes that are all records.
        changes: Changes since the revision of those records.
    """
    if held is None or changes.whole:
        held = SharedRecords(0, 0, {}, {}, {})
    return SharedRecords(
        changes.revision,
        changes.store_ms,
        {**held.trial_by_service, **changes.trial_by_service},
        {**held.evidence_by_key, **changes.evidence_by_key},
        {**held.control_by_daemon, **changes.control_by_daemon},
        {**held.region_by_daemon, **changes.region_by_daemon},
        changes.generation,
        {**held.link_by_daemon, **changes.link_by_daemon},
        {**held.relay_by_daemon, **changes.relay_by_daemon},
    )
