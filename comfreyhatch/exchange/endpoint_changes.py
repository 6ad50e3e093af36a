"""What has changed in the list of endpoints since a revision, for daemons that ask for it."""

from collections import deque

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord

MAX_REMOVALS = 1000


class EndpointChanges(Struct, frozen=True):
    """Changes up to one revision of the list.

    Attributes:
        revision: Revision of the list to which they lead.
        record_by_id: Records that are new or say something new.
        removed: Endpoints that are no longer listed.
        whole: Whether the records are the whole list, so that all others are gone.
    """

    revision: int
    record_by_id: dict[str, EndpointRecord]
    removed: tuple[str, ...] = ()
    whole: bool = False


class EndpointHistory:
    """The present list and when each part of it last changed.

    A renewal that says nothing new is no change, though it gives the record a new revision.
    """

    def __init__(self) -> None:
        self.changed_revision = 0
        self._list = EndpointList(0, {})
        self._changed_revision_by_id: dict[str, int] = {}
        self._removals: deque[tuple[int, str]] = deque()
        self._complete_since = 1

    def update(self, found: EndpointList) -> None:
        """Take a newer list."""
        held = self._list.record_by_id
        for endpoint_id, record in found.record_by_id.items():
            if not _only_renews(held.get(endpoint_id), record):
                self._changed_revision_by_id[endpoint_id] = found.revision
                self.changed_revision = found.revision
        for endpoint_id in held.keys() - found.record_by_id.keys():
            self._changed_revision_by_id.pop(endpoint_id, None)
            self._removals.append((found.revision, endpoint_id))
            self.changed_revision = found.revision
        while len(self._removals) > MAX_REMOVALS:
            self._complete_since = self._removals.popleft()[0]
        self._list = found

    def since(self, revision: int) -> EndpointChanges:
        """Return what is new for a daemon that holds the list as of a revision; 0 for none."""
        if revision < self._complete_since:
            return EndpointChanges(self._list.revision, self._list.record_by_id, whole=True)
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
        )


def apply_changes(held: EndpointList | None, changes: EndpointChanges) -> EndpointList:
    """Return the list after some changes."""
    if held is None or changes.whole:
        return EndpointList(changes.revision, changes.record_by_id)
    records = {**held.record_by_id, **changes.record_by_id}
    for endpoint_id in changes.removed:
        records.pop(endpoint_id, None)
    return EndpointList(changes.revision, records)


def _only_renews(held: EndpointRecord | None, found: EndpointRecord) -> bool:
    return held is not None and replace(held, revision=found.revision) == found
