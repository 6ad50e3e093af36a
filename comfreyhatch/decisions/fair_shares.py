"""Max-min fair shares of workspaces, and a floor under the service of each group of requests."""

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping

from msgspec import Struct

# Time in which past service loses half of its weight, in seconds. A daemon gets some requests a
# second, so that shares rest on some tens of requests.
SHARE_HALF_LIFE_S = 5.0
FLOOR_HALF_LIFE_S = 20.0
# Part of the served fraction of the others from which a group goes first; half is the bound kept.
FLOOR_FRACTION = 0.65
# Number of recent requests from which the served fraction of a group tells anything.
MIN_FLOOR_REQUESTS = 2.0
# Bound on the workspaces and groups that are remembered; the longest unused one is forgotten.
MAX_KEYS = 1024
# Sums below this are left out, so that workspaces without recent use cost nothing.
MIN_SUM = 1e-4
# Relative excess that still counts as within the share, against rounding.
SHARE_TOLERANCE = 1.001
LARGE_QUANTILE = 0.9
SIZE_SAMPLES = 128


def max_min_shares(demand_by_key: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair division of a capacity.

    Nobody gets more than its demand, and what it leaves is divided among the others, so that
    capacity is left over only if all demands are met.

    Args:
        demand_by_key: What each one asks for.
        capacity: What there is to divide.
    """
    share_by_key: dict[str, float] = {}
    left = capacity
    for done, key in enumerate(sorted(demand_by_key, key=lambda k: (demand_by_key[k], k))):
        share_by_key[key] = min(demand_by_key[key], left / (len(demand_by_key) - done))
        left -= share_by_key[key]
    return share_by_key


class DecayingSums:
    """Sums by key that lose half of their weight in a fixed time; bounded in number."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._sum_at_by_key: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def add(self, key: str, amount: float, now: float) -> None:
        """Add an amount, which may be negative, to the sum of a key."""
        self._sum_at_by_key[key] = (max(0.0, self.get(key, now) + amount), now)
        self._sum_at_by_key.move_to_end(key)
        if len(self._sum_at_by_key) > MAX_KEYS:
            self._sum_at_by_key.popitem(last=False)

    def get(self, key: str, now: float) -> float:
        """Return the sum of a key."""
        total, at = self._sum_at_by_key.get(key, (0.0, now))
        return float(total * 0.5 ** ((now - at) / self._half_life_s))

    def items(self, now: float) -> dict[str, float]:
        """Return all sums that are not negligible."""
        sums = {key: self.get(key, now) for key in self._sum_at_by_key}
        return {key: total for key, total in sums.items() if total >= MIN_SUM}


class WorkspaceUse:
    """Work in service and lately served of each workspace, and who is over the fair share.

    Attributes:
        over_share: Workspaces that had more than their share when last divided.
    """

    def __init__(self) -> None:
        self._used = DecayingSums(SHARE_HALF_LIFE_S)
        self._refused = DecayingSums(SHARE_HALF_LIFE_S)
        self._repeated = DecayingSums(SHARE_HALF_LIFE_S)
        self.over_share: frozenset[str] = frozenset()

    def charge(self, workspace: str, work_s: float, now: float) -> None:
        """Add work to the use of a workspace, in seconds; negative to correct an estimate."""
        self._used.add(workspace, work_s, now)

    def note_refused(self, workspace: str, work_s: float, now: float) -> None:
        """Add refused work of a workspace, in seconds, to what it asks for."""
        self._refused.add(workspace, work_s, now)

    def note_repeated(self, workspace: str, work_s: float, now: float) -> None:
        """Add work that a caller repeated before the told time to the use of its workspace.

        At most as much as was served in all, so that a workspace is not held back for long by
        callers that repeat without a pause.
        """
        room_s = sum(self._used.items(now).values()) - self._repeated.get(workspace, now)
        self._repeated.add(workspace, max(0.0, min(work_s, room_s)), now)

    def divide(self, waiting_s_by_workspace: Mapping[str, float], now: float) -> None:
        """Divide the capacity used lately among the workspaces by use, waiting and refused work.

        Work that was repeated too early counts as used. While no work waits or was refused, all
        have what they ask for, and none is over its share.

        Args:
            waiting_s_by_workspace: Work that waits, in seconds.
            now: Monotonic time in seconds.
        """
        used = self._used.items(now)
        for workspace, work_s in self._repeated.items(now).items():
            used[workspace] = used.get(workspace, 0.0) + work_s
        demand = dict(used)
        for unmet in (waiting_s_by_workspace, self._refused.items(now)):
            for workspace, work_s in unmet.items():
                demand[workspace] = demand.get(workspace, 0.0) + work_s
        shares = max_min_shares(demand, sum(used.values()))
        self.over_share = frozenset(
            workspace
            for workspace, used_s in used.items()
            if used_s > SHARE_TOLERANCE * shares[workspace]
        )


class Group(Struct, frozen=True):
    """A group of requests, and the wider one that its service is compared with."""

    name: str
    whole: str


class ServiceFloors:
    """Served fractions of groups of requests, to keep each above a part of that of the others."""

    def __init__(self) -> None:
        self._offered = DecayingSums(FLOOR_HALF_LIFE_S)
        self._served = DecayingSums(FLOOR_HALF_LIFE_S)

    def record_offered(self, groups: Iterable[Group], now: float) -> None:
        """Record that a request of some groups came, for the first time."""
        _add_one(self._offered, groups, now)

    def record_served(self, groups: Iterable[Group], now: float) -> None:
        """Record that a request of some groups was served, whenever it came first."""
        _add_one(self._served, groups, now)

    def is_below_floor(self, group: Group, now: float) -> bool:
        """Return whether a group was served too little, compared with the others of its whole."""
        offered, served = self._offered.get(group.name, now), self._served.get(group.name, now)
        others = self._offered.get(group.whole, now) - offered
        others_served = self._served.get(group.whole, now) - served
        if offered < MIN_FLOOR_REQUESTS or others < MIN_FLOOR_REQUESTS:
            return False
        return served / offered < FLOOR_FRACTION * others_served / others


def _add_one(sums: DecayingSums, groups: Iterable[Group], now: float) -> None:
    for name in {name for group in groups for name in (group.name, group.whole)}:
        sums.add(name, 1.0, now)


class WorkSizes:
    """Recent work of the requests of one kind, to tell the largest tenth."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, work_s: float) -> None:
        """Add the work of a request, in seconds."""
        self._recent.append(work_s)
        insort(self._ordered, work_s)
        if len(self._recent) > SIZE_SAMPLES:
            del self._ordered[bisect_left(self._ordered, self._recent.popleft())]

    def is_large(self, work_s: float) -> bool:
        """Return whether some work, in seconds, belongs to the largest tenth."""
        if not self._ordered:
            return False
        bound = self._ordered[min(len(self._ordered) - 1, int(LARGE_QUANTILE * len(self._ordered)))]
        return work_s >= bound and work_s > self._ordered[0]
