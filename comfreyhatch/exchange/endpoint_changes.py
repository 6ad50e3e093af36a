"""Changes of the list of endpoints since a position, so that peers need not send it whole."""

from collections import deque

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.position import Position

# Removals that the history keeps; followers behind the oldest one get the whole list.
MAX_REMOVALS = 1000


class EndpointChanges(Struct, frozen=True):
    """Changes of the list of endpoints up to one revision.

    Attributes:
        revision: Revision of the list after the changes.
        record_by_id: Records that were added or changed.
        removed: Ids of endpoints that are no longer listed.
        whole: Whether `record_by_id` is the whole list, which replaces the held one.
        generation: Generation of the store to which the revision belongs.
    """

    revision: int
    record_by_id: dict[str, EndpointRecord]
    removed: tuple[str, ...] = ()
    whole: bool = False
    generation: int = 0


class EndpointHistory:
    """The current list of endpoints, and the revision at which each record last changed.

    A record that differs only in its revision, as after a heartbeat, has not changed. No changes
    are kept across generations of the store.

    Attributes:
        changed_revision: Revision of the last list that changed a record or removed one.
    """

    def __init__(self) -> None:
        self.changed_revision = 0
        self._list = EndpointList(0, {})
        self._changed_revision_by_id: dict[str, int] = {}
        self._removals: deque[tuple[int, str]] = deque()
        # Lowest revision since which all removals are known.
        self._complete_since = 1

    @property
    def changed_position(self) -> Position:
        """Position of the last list that changed a record or removed one."""
        return Position(self._list.generation, self.changed_revision)

    def update(self, found: EndpointList) -> None:
        """Replace the list by a newer one and record the changed and removed endpoints."""
        if found.generation != self._list.generation or not self._list.revision:
            self._restart(found)
            return
        held = self._list.record_by_id
        for endpoint_id, record in found.record_by_id.items():
            if not _same_but_revision(held.get(endpoint_id), record):
                self._changed_revision_by_id[endpoint_id] = found.revision
                self.changed_revision = found.revision
        for endpoint_id in held.keys() - found.record_by_id.keys():
            self._changed_revision_by_id.pop(endpoint_id, None)
            self._removals.append((found.revision, endpoint_id))
            self.changed_revision = found.revision
        while len(self._removals) > MAX_REMOVALS:
            self._complete_since = self._removals.popleft()[0]
        self._list = found

    def _restart(self, found: EndpointList) -> None:
        """Start anew with the first list of all, or of a generation."""
        self._list = found
        self._removals.clear()
        self._changed_revision_by_id = dict.fromkeys(found.record_by_id, found.revision)
        self.changed_revision = found.revision
        self._complete_since = found.revision

    def since(self, position: Position) -> EndpointChanges:
        """Return the changes since a position; the whole list if they are no longer known.

        Args:
            position: Position of the list that the daemon holds; `Position()` for none.
        """
        revision = position.revision
        generation = self._list.generation
        if position.generation != generation or revision < self._complete_since:
            return EndpointChanges(
                self._list.revision, self._list.record_by_id, whole=True, generation=generation
            )
        return EndpointChanges(
            self._list.revision,
            {
                endpoint_id: self._list.record_by_id[endpoint_id]
                for endpoint_id, changed in self._changed_revision_by_id.items()
                if changed > revision
            },
            tuple(
                endpoint_id
                for removed, endpoint_id in self._removals
                if removed > revision and endpoint_id not in self._list.record_by_id
            ),
            generation=generation,
        )


def apply_changes(held: EndpointList | None, changes: EndpointChanges) -> EndpointList:
    """Return the list after changes.

    Args:
        held: List before the changes; None only with changes that are the whole list.
        changes: Changes since the revision of that list.
    """
    if held is None or changes.whole:
        return EndpointList(changes.revision, changes.record_by_id, changes.generation)
    records = {**held.record_by_id, **changes.record_by_id}
    for endpoint_id in changes.removed:
        records.pop(endpoint_id, None)
    return EndpointList(changes.revision, records, changes.generation)


def _same_but_revision(held: EndpointRecord | None, found: EndpointRecord) -> bool:
    return held is not None and replace(held, revision=found.revision) == found
