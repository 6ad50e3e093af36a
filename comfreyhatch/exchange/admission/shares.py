"""Shares of workspaces and floors of groups for the requests of one service."""

from collections.abc import Iterable
from math import inf

from comfreyhatch.decisions.fair_shares import Group, ServiceFloors, WorkSizes, WorkspaceUse
from comfreyhatch.decisions.least_cost import Lane
from comfreyhatch.decisions.return_bookings import Return
from comfreyhatch.domain.exchange import Job
from comfreyhatch.exchange.admission.pending import PendingRequest, workspace_of

ALL = "all"
# The division is kept for this time: it counts all workspaces, and changes slowly.
DIVISION_LIFE_S = 0.1


class ServiceShares:
    """What the workspaces and the groups of requests of one service have had of it."""

    def __init__(self) -> None:
        self._use = WorkspaceUse()
        self._floors = ServiceFloors()
        self._sizes_by_route: dict[str, WorkSizes] = {}
        self._divided_at = -inf

    @property
    def over_share(self) -> frozenset[str]:
        """Workspaces that had more than their fair share, while others asked for more."""
        return self._use.over_share

    def groups(self, job: Job, work_s: float) -> tuple[Group, ...]:
        """Return the groups of a request, and note its work, in seconds."""
        route = job.route.name
        sizes = self._sizes_by_route.setdefault(route, WorkSizes())
        sizes.add(work_s)
        kind = f"kind {route}"
        found = [Group(kind, ALL), Group(f"workspace {workspace_of(job)}", ALL)]
        if sizes.is_large(work_s):
            found.append(Group(f"large {route}", kind))
        return tuple(found)

    def charge(self, job: Job, work_s: float, now: float) -> None:
        """Add work to the use of a request's workspace, in seconds; negative to correct it."""
        self._use.charge(workspace_of(job), work_s, now)

    def note_arrived(self, pending: PendingRequest, now: float) -> None:
        """Count a request that comes for the first time, or that is repeated too early."""
        if pending.early:
            self._use.note_repeated(workspace_of(pending.job), pending.work.work_s, now)
        if pending.returned is Return.NEW and not pending.work.resumes:
            self._floors.record_offered(pending.groups, now)

    def note_started(self, pending: PendingRequest, now: float) -> None:
        """Count a request that gets a slot, also against its workspace."""
        if not pending.work.resumes:
            self._floors.record_served(pending.groups, now)
        self.charge(pending.job, pending.work.work_s, now)

    def note_refused(self, pending: PendingRequest, now: float) -> None:
        """Count the work of a refused request as asked for, once however often it is repeated."""
        if pending.returned is Return.NEW:
            self._use.note_refused(workspace_of(pending.job), pending.work.work_s, now)

    def assign_lanes(self, waiting: Iterable[PendingRequest], now: float) -> None:
        """Divide the capacity, and set the lane of each waiting request."""
        found = list(waiting)
        if now >= self._divided_at + DIVISION_LIFE_S:
            waiting_s: dict[str, float] = {}
            for pending in found:
                workspace = workspace_of(pending.job)
                waiting_s[workspace] = waiting_s.get(workspace, 0.0) + pending.work.work_s
            self._use.divide(waiting_s, now)
            self._divided_at = now
        groups = {group for pending in found for group in pending.groups}
        below = {group for group in groups if self._floors.is_below_floor(group, now)}
        for pending in found:
            pending.work.lane = self._lane(pending, below)

    def _lane(self, pending: PendingRequest, below: set[Group]) -> Lane:
        if workspace_of(pending.job) in self._use.over_share or pending.early:
            return Lane.OVER_SHARE
        if not below.isdisjoint(pending.groups):
            return Lane.BELOW_FLOOR
        return Lane.WITHIN_SHARE
