"""Stranded slots and overshoot of schemes that divide endpoint limits among daemons.

Run: python -m bench.limits [--seconds 600] [--seeds 1 2 3]
"""

import argparse
from collections import defaultdict
from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from comfreyhatch.decisions.shares import JoinRequest, Peer, ShareGroup, rank_key, slots_of_rank

DAEMONS = 6
LIMITS = (2, 2, 8, 8, 16, 32)
STEP_S = 0.05
SERVICE_S = 2.0
LOAD = 0.9
DEADLINE_S = 5.0
VIEW_TIMEOUT_S = 1.5
KEEPER_LEASE_S = 2.0
LIST_LAG_S = 10.0
ORPHAN_S = 2.0
HOLD_S = 5.0
ASK_S = 0.25
PROBE_S = 1.0


class Work(Struct):
    """A request that runs at an endpoint."""

    endpoint: int
    until: float


class Node(Struct):
    """A daemon; `start` counts its starts."""

    name: str
    start: int = 1
    up: bool = True
    host_up: bool = True
    back_at: float = float("inf")
    down_at: float = 0.0
    paused_until: float = 0.0
    running: list[Work] = field(default_factory=list)
    queue: list[float] = field(default_factory=list)
    count: dict[int, int] = field(default_factory=lambda: defaultdict(int))


class Totals(Struct):
    """What a run measured; slot-seconds but for the counts."""

    slots: float = 0.0
    stranded: float = 0.0
    above: float = 0.0
    peak: int = 0
    offered: int = 0
    served: int = 0


class Zone:
    """A zone under joins, kills, pauses, cuts between daemons and cold endpoints."""

    def __init__(self, seed: int, faults: bool, skew: float) -> None:
        self.rng = Random(seed)
        self.fault_rng = Random(seed + 1000)
        self.now = 0.0
        self.faults = faults
        self.nodes = [Node(f"d{number}") for number in range(DAEMONS)]
        self.limits = list(LIMITS)
        self.cold_until = [0.0] * len(LIMITS)
        self.orphans: list[Work] = []
        self.cut_until: dict[frozenset[str], float] = {}
        self.heard: dict[tuple[str, str], float] = defaultdict(float)
        self.weights = [1.0 / (number + 1) ** skew for number in range(DAEMONS)]
        self.totals = Totals()

    def works(self, node: Node) -> bool:
        return node.up and self.now >= node.paused_until

    def reach(self, one: Node, other: Node) -> bool:
        cut = self.cut_until.get(frozenset((one.name, other.name)), 0.0) > self.now
        return self.works(one) and self.works(other) and not cut

    def happens(self, every_s: float) -> bool:
        return self.fault_rng.random() < STEP_S / every_s and self.faults

    def view(self, node: Node) -> list[Node]:
        return [
            other
            for other in self.nodes
            if other is node or self.now - self.heard[node.name, other.name] <= VIEW_TIMEOUT_S
        ]

    def move(self) -> None:
        """Advance one step: faults, ends of requests, heartbeats."""
        self.now += STEP_S
        if self.happens(60):
            self.kill(self.fault_rng.choice(self.nodes))
        if self.happens(120):
            self.fault_rng.choice(self.nodes).paused_until = self.now + 10
        if self.happens(90):
            pair = frozenset(node.name for node in self.fault_rng.sample(self.nodes, 2))
            self.cut_until[pair] = self.now + 20
        if self.happens(60):
            self.cold_until[self.fault_rng.randrange(len(LIMITS))] = self.now + 15
        for number, until in enumerate(self.cold_until):
            self.limits[number] = min(2, LIMITS[number]) if self.now < until else LIMITS[number]
        for node in self.nodes:
            if not node.up and self.now >= node.back_at:
                node.up = node.host_up = True
                node.start += 1
            for work in [work for work in node.running if work.until <= self.now]:
                node.running.remove(work)
                node.count[work.endpoint] -= 1
            for other in self.nodes:
                if self.reach(node, other):
                    self.heard[node.name, other.name] = self.now
        self.orphans = [work for work in self.orphans if work.until > self.now]

    def kill(self, node: Node) -> None:
        host_up = self.fault_rng.random() < 0.7
        if not node.up:
            return
        node.up, node.down_at, node.back_at = False, self.now, self.now + 15
        node.host_up = host_up
        self.orphans += [
            Work(work.endpoint, min(work.until, self.now + self.rng.random() * ORPHAN_S))
            for work in node.running
        ]
        self.totals.offered -= len(node.running)
        self.totals.served -= len(node.running)
        node.running.clear()
        node.queue.clear()
        node.count.clear()

    def in_flight(self, endpoint: int) -> int:
        orphans = sum(work.endpoint == endpoint for work in self.orphans)
        return orphans + sum(node.count[endpoint] for node in self.nodes)

    def measure(self, warm: float) -> None:
        if self.now < warm:
            return
        waiting = sum(len(node.queue) for node in self.nodes)
        free = 0
        for endpoint, limit in enumerate(self.limits):
            running = self.in_flight(endpoint)
            free += max(0, limit - running)
            # Work that ran before the endpoint turned cold is not counted against the scheme.
            above = running - LIMITS[endpoint]
            self.totals.above += max(0, above) * STEP_S
            self.totals.peak = max(self.totals.peak, above)
        self.totals.slots += sum(self.limits) * STEP_S
        self.totals.stranded += min(free, waiting) * STEP_S


class Static:
    """Each configured daemon has the same part of each limit, for good."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone

    def step(self) -> None:
        """Nothing moves."""

    def slots(self, node: Node, endpoint: int) -> int:
        return self.zone.limits[endpoint] // DAEMONS


class ViewTimeout:
    """Shares follow from the view at once; a silent member is dropped after the timeout."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone

    def step(self) -> None:
        """Views move by themselves."""

    def slots(self, node: Node, endpoint: int) -> int:
        members = self.zone.view(node)
        key = f"e{endpoint}"
        order = sorted(members, key=lambda member: rank_key(key, Peer(member.name, "")))
        return slots_of_rank(self.zone.limits[endpoint], len(members), order.index(node))


class Keeper:
    """The first in order of a daemon's view grants free slots under a lease.

    A new keeper waits for the leases of the one before, and counts what it is told runs.
    """

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.since: dict[tuple[str, int], float] = {}

    def step(self) -> None:
        """Note since when each daemon holds itself for the keeper."""
        for node in self.zone.nodes:
            for endpoint in range(len(LIMITS)):
                key = node.name, endpoint
                if self.zone.works(node) and self.keeper(node, endpoint) is node:
                    self.since.setdefault(key, self.zone.now)
                else:
                    self.since.pop(key, None)

    def keeper(self, node: Node, endpoint: int) -> Node:
        key = f"e{endpoint}"
        return min(self.zone.view(node), key=lambda member: rank_key(key, Peer(member.name, "")))

    def slots(self, node: Node, endpoint: int) -> int:
        keeper = self.keeper(node, endpoint)
        since = self.since.get((keeper.name, endpoint), self.zone.now)
        waited = self.zone.now - since >= KEEPER_LEASE_S
        if not waited or (keeper is not node and not self.zone.reach(node, keeper)):
            return 0
        granted = sum(member.count[endpoint] for member in self.zone.view(keeper))
        return node.count[endpoint] + max(0, self.zone.limits[endpoint] - granted)


class Shares:
    """The scheme in use: members are counted pairwise and dropped on proof that they ended."""

    def __init__(self, zone: Zone) -> None:
        self.zone = zone
        self.group_by_name: dict[str, ShareGroup] = {}
        self.ask_at = self.probe_at = 0.0

    def step(self) -> None:
        """Start groups of new starts, exchange joins, probe and expire."""
        zone = self.zone
        for node in zone.nodes:
            me = Peer(node.name, str(node.start))
            group = self.group_by_name.get(node.name)
            if node.up and (group is None or group.me != me):
                group = self.group_by_name[node.name] = ShareGroup(me, zone.now, HOLD_S)
                group.discover([n.name for n in zone.nodes if n is not node], complete=True)
        if zone.now >= self.ask_at:
            self.ask_at = zone.now + ASK_S
            self.ask()
        if zone.now >= self.probe_at:
            self.probe_at = zone.now + PROBE_S
            self.probe()
        for node in filter(zone.works, zone.nodes):
            self.group_by_name[node.name].expire(zone.now)

    def ask(self) -> None:
        node_by_name = {node.name: node for node in self.zone.nodes}
        for node in filter(self.zone.works, self.zone.nodes):
            group = self.group_by_name[node.name]
            for peer in group.peers_to_ask():
                other = node_by_name[peer.instance_id]
                if not self.zone.reach(node, other):
                    continue
                limits = {f"e{number}": limit for number, limit in enumerate(self.zone.limits)}
                running = {f"e{number}": count for number, count in other.count.items() if count}
                theirs = self.group_by_name[other.name]
                answer = theirs.handle_join(JoinRequest(group.me), limits, running)
                group.handle_answer(answer, peer, self.zone.now)

    def probe(self) -> None:
        """A refused connection, or the lagging list, proves that a daemon has ended."""
        node_by_name = {node.name: node for node in self.zone.nodes}
        for node in filter(self.zone.works, self.zone.nodes):
            group = self.group_by_name[node.name]
            for peer in list(group.state_by_peer):
                other = node_by_name[peer.instance_id]
                listed = self.zone.now - other.down_at < LIST_LAG_S
                if not other.up and (other.host_up or not listed):
                    group.handle_end(peer, self.zone.now)

    def slots(self, node: Node, endpoint: int) -> int:
        return self.group_by_name[node.name].slots(f"e{endpoint}", self.zone.limits[endpoint])


Scheme = Static | ViewTimeout | Keeper | Shares


def run(
    make: Callable[[Zone], Scheme], seed: int, seconds: float, faults: bool, skew: float
) -> Totals:
    """Drive one scheme; daemons without a free slot forward to one that has one."""
    zone = Zone(seed, faults, skew)
    scheme = make(zone)
    rate = LOAD * sum(LIMITS) / SERVICE_S
    warm = 2 * HOLD_S
    while zone.now < seconds:
        zone.move()
        scheme.step()
        arrivals = sum(zone.rng.random() < rate * STEP_S / 20 for _ in range(20))
        for _ in range(arrivals):
            live = [node if node.up else None for node in zone.nodes]
            chosen = zone.rng.choices(live, zone.weights)[0]
            node = chosen or zone.rng.choice([n for n in zone.nodes if n.up])
            node.queue.append(zone.now)
            zone.totals.offered += zone.now >= warm
        for node in filter(zone.works, zone.nodes):
            serve(zone, scheme, node, warm)
        zone.measure(warm)
    return zone.totals


def serve(zone: Zone, scheme: Scheme, node: Node, warm: float) -> None:
    """Dispatch or forward what waits at a daemon; drop what is too late."""
    node.queue = [at for at in node.queue if at > zone.now - DEADLINE_S]
    others = [other for other in zone.nodes if other is not node and zone.reach(node, other)]
    zone.rng.shuffle(others)
    while node.queue:
        found = next(
            (
                (holder, endpoint)
                for holder in (node, *others)
                for endpoint in range(len(LIMITS))
                if holder.count[endpoint] < scheme.slots(holder, endpoint)
            ),
            None,
        )
        if found is None:
            return
        holder, endpoint = found
        holder.running.append(Work(endpoint, zone.now + zone.rng.expovariate(1 / SERVICE_S)))
        holder.count[endpoint] += 1
        at = node.queue.pop(0)
        zone.totals.served += at >= warm


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    options = parser.parse_args()
    print("| load | faults | scheme | stranded | served | most above limit | slot-s above |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for faults, skew in ((False, 0.0), (False, 1.5), (True, 0.0), (True, 1.5)):
        for make in (Static, ViewTimeout, Keeper, Shares):
            found = [run(make, seed, options.seconds, faults, skew) for seed in options.seeds]
            stranded = sum(t.stranded for t in found) / sum(t.slots for t in found)
            served = sum(t.served for t in found) / sum(t.offered for t in found)
            print(
                f"| {'skewed' if skew else 'even'} | {'yes' if faults else 'no'} "
                f"| {make.__name__} | {stranded:.2%} | {served:.2%} "
                f"| {max(t.peak for t in found)} | {sum(t.above for t in found):.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
