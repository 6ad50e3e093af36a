"""What was in force before the store came back from an older copy, and is not undone by that copy.

The copy lacks what operators, endpoints and daemons wrote in the seconds before. They write it
again; until then a daemon goes by what it held, for a bounded time. See
docs/design/store-generations.md.
"""

from collections.abc import Mapping

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList, EndpointRecord
from comfreyhatch.domain.operations import (
    Operations,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    SharedRecords,
)
from comfreyhatch.domain.relay import RelayAddress

# Endpoints write their records again within about 2 s of the store's return, and the platform
# stretches the bounds of operators' orders by 5 s at most after an outage.
CARRY_OVER_S = 5.0
# Orders of a service whose states are carried over.
MAX_CARRIED_TRIALS = 4
# Time for which a removed endpoint is remembered; the store's copy is some seconds old.
GONE_MEMORY_S = 30.0


class _Gone(Struct, frozen=True):
    """An endpoint whose record was removed: its start, and the monotonic time of the removal."""

    born_ms: int
    at: float


class _Withheld(Struct, frozen=True):
    """An endpoint that an older copy lists as ready although it was draining or gone.

    Attributes:
        born_ms: Start of the endpoint to which this applies.
        revision: Revision of its record in the first list of the generation.
        until: Monotonic time at which this ends.
    """

    born_ms: int
    revision: int
    until: float


def newer_catalog(held: Catalog | None, found: Catalog | None) -> Catalog | None:
    """Return the configuration with the higher version; `held` if they are equal."""
    if held is None or found is None:
        return held or found
    return found if found.version > held.version else held


def is_further(held: RolloutRecord, listed: RolloutRecord) -> bool:
    """Return whether a state of a roll-out is further than the listed one of the same order."""
    if listed.state is not RolloutState.RUNNING:
        return False
    return held.state is not RolloutState.RUNNING or held.share > listed.share


class OrderCarryOver:
    """Zones out and orders of roll-outs that were in force."""

    def __init__(self) -> None:
        self._until = float("-inf")
        self._zones: frozenset[str] = frozenset()
        self._order_by_service: dict[str, RolloutOrder] = {}
        self._first_revision_by_service: dict[str, int] = {}
        self._former_revisions: dict[tuple[str, int], frozenset[int]] = {}

    def begin(self, in_force: Operations, found: Operations, now: float) -> None:
        """Carry over what was in force and is not in the first list of a new generation.

        Args:
            in_force: Instructions that were in force, including what was carried over before.
            found: First instructions that were read in the new generation.
            now: Monotonic time in seconds.
        """
        self._until = now + CARRY_OVER_S
        self._zones = in_force.zones_out
        self._order_by_service = dict(in_force.order_by_service)
        self._first_revision_by_service = {
            service: order.revision for service, order in found.order_by_service.items()
        }

    def merge(self, found: Operations, now: float) -> Operations:
        """Return the instructions in force: those found, and those that are carried over."""
        if now >= self._until:
            self._zones = frozenset()
            self._order_by_service = {}
        self._zones -= found.zones_out
        for service in list(self._order_by_service):
            self._update_order(service, found.order_by_service.get(service))
        if not self._zones and not self._order_by_service:
            return found
        return replace(
            found,
            zones_out=found.zones_out | self._zones,
            order_by_service={**found.order_by_service, **self._order_by_service},
        )

    def is_carried(self, service: str) -> bool:
        """Return whether the order in force for a service is not the listed one."""
        return service in self._order_by_service

    def is_same_order(
        self, order: RolloutOrder, version: str, order_revision: int, service: str
    ) -> bool:
        """Return whether an order is the one that had a version and a revision.

        Args:
            order: Order in force.
            version: Target version of the other order.
            order_revision: Revision of the other order, maybe in an earlier generation.
            service: Service of the other order.
        """
        if (order.service, order.version) != (service, version):
            return False
        former = self._former_revisions.get((service, order.revision), frozenset())
        return order_revision == order.revision or order_revision in former

    def _update_order(self, service: str, listed: RolloutOrder | None) -> None:
        """Drop the carried order of a service if it is listed again or replaced."""
        carried = self._order_by_service[service]
        if listed is not None and listed.version == carried.version:
            self._note_continuation(carried, listed)
            del self._order_by_service[service]
            return
        revision = listed.revision if listed else 0
        first = self._first_revision_by_service.get(service, 0)
        # An order that the copy had before the carried one has a lower revision than that one.
        if revision != first or revision >= carried.revision:
            del self._order_by_service[service]

    def _note_continuation(self, carried: RolloutOrder, listed: RolloutOrder) -> None:
        former = self._former_revisions.pop((carried.service, carried.revision), frozenset())
        if carried.revision != listed.revision or former:
            revisions = former | {carried.revision}
            self._former_revisions[listed.service, listed.revision] = revisions


class EndpointCarryOver:
    """Endpoints that were draining or had left, and that an older copy lists as ready."""

    def __init__(self) -> None:
        self._gone_by_id: dict[str, _Gone] = {}
        self._withheld_by_id: dict[str, _Withheld] = {}

    def note_removed(self, record: EndpointRecord, now: float) -> None:
        """Remember an endpoint whose record was removed."""
        self._gone_by_id = {
            name: gone for name, gone in self._gone_by_id.items() if now - gone.at < GONE_MEMORY_S
        }
        self._gone_by_id[record.endpoint_id] = _Gone(record.born_ms, now)

    def begin(self, held: EndpointList, found: EndpointList, now: float) -> None:
        """Withhold the endpoints that the first list of a generation shows as ready again.

        Args:
            held: Last list of the generation before.
            found: First list of the new generation.
            now: Monotonic time in seconds.
        """
        before = self._withheld_by_id
        self._withheld_by_id = {
            name: _Withheld(record.born_ms, record.revision, now + CARRY_OVER_S)
            for name, record in found.record_by_id.items()
            if not record.draining and self._was_leaving(record, held, before, now)
        }

    def update(self, found: EndpointList) -> None:
        """Drop what is known of endpoints that have written their record again."""
        for name in list(self._withheld_by_id):
            record = found.record_by_id.get(name)
            if record is None or record.revision > self._withheld_by_id[name].revision:
                del self._withheld_by_id[name]
        for name in [name for name in self._gone_by_id if name in found.record_by_id]:
            if name not in self._withheld_by_id:
                del self._gone_by_id[name]

    def is_withheld(self, record: EndpointRecord, now: float) -> bool:
        """Return whether an endpoint must get nothing although it is listed as ready."""
        withheld = self._withheld_by_id.get(record.endpoint_id)
        return withheld is not None and withheld.born_ms == record.born_ms and now < withheld.until

    def _was_leaving(
        self,
        record: EndpointRecord,
        held: EndpointList,
        withheld: Mapping[str, _Withheld],
        now: float,
    ) -> bool:
        name = record.endpoint_id
        known = held.record_by_id.get(name)
        if known and known.born_ms == record.born_ms and known.draining:
            return True
        former = withheld.get(name)
        if former and former.born_ms == record.born_ms and now < former.until:
            return True
        gone = self._gone_by_id.get(name)
        return gone is not None and gone.born_ms == record.born_ms and now - gone.at < GONE_MEMORY_S


class RecordCarryOver:
    """States of roll-outs and addresses of daemons that an older copy may lack.

    Attributes:
        trials_by_service: States of roll-outs that were held, one an order, the newest last. A copy
            may list the state of an earlier order, so that a second return must not replace one.
        control_by_daemon: Control addresses that were held.
        region_by_daemon: Regions that were held.
        link_by_daemon: Bandwidths of links that were held.
        relay_by_daemon: Listeners for requests of daemons that were held.
    """

    def __init__(self) -> None:
        self.trials_by_service: dict[str, tuple[RolloutRecord, ...]] = {}
        self.control_by_daemon: dict[str, str] = {}
        self.region_by_daemon: dict[str, str] = {}
        self.link_by_daemon: dict[str, float] = {}
        self.relay_by_daemon: dict[str, RelayAddress] = {}

    def begin(self, held: SharedRecords) -> None:
        """Carry over the last records of a generation."""
        for service, trial in held.trial_by_service.items():
            carried = self.trials_by_service.get(service, ())
            same = [t for t in carried if _order_of(t) == _order_of(trial)]
            others = [t for t in carried if _order_of(t) != _order_of(trial)]
            furthest = same[0] if same and is_further(same[0], trial) else trial
            self.trials_by_service[service] = (*others, furthest)[-MAX_CARRIED_TRIALS:]
        self.control_by_daemon.update(held.control_by_daemon)
        self.region_by_daemon.update(held.region_by_daemon)
        self.link_by_daemon.update(held.link_by_daemon)
        self.relay_by_daemon.update(held.relay_by_daemon)


def _order_of(trial: RolloutRecord) -> tuple[str, int]:
    return trial.version, trial.order_revision
