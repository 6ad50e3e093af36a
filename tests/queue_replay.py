"""Load patterns replayed in simulated time against the schedulers of a fleet with one service.

`python -m tests.queue_replay` prints what each kind of caller gets, with admission by count and by
cost. The daemons know the free slots of the service at any time; nothing is sent.
"""

import asyncio
import sys
from collections.abc import Callable, Iterable
from random import Random

from msgspec import Struct, field
from prometheus_client import CollectorRegistry

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.catalog import RequestKind, Route, ServiceShare
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import SharedRecords
from comfreyhatch.errors import RefusedError
from comfreyhatch.exchange.endpoint_limits import EndpointLimits
from comfreyhatch.exchange.endpoint_rates import EndpointRates
from comfreyhatch.exchange.load.load_probes import LoadProbes
from comfreyhatch.exchange.load.load_view import LoadView
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.permits import PermitClient
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.session_pins import SessionPins
from comfreyhatch.exchange.view import FleetView
from comfreyhatch.platform.header_codec import PlatformHeaderCodec
from tests.exchange_values import deployment, exchange, record
from tests.platform_harness import BOUNDS
from tests.simulated_fleet import run_simulated

# Time after which callers that do not wait for the told time repeat a refused request.
REPEAT_S = 0.05
# Start of the daemons: long enough ago that all others have registered.
LONG_STARTED_S = -100.0
SEEDS = (1, 2, 3, 4, 5)


class Kind(Struct, frozen=True):
    """Requests of one route: `per_s` in all, of a workspace chosen by weight."""

    name: str
    per_s: float
    hold_s: float
    aim_s: float
    timeout_s: float
    rank: int = 1
    weight_by_workspace: dict[str, float] = field(default_factory=lambda: {"w": 1.0})
    repeats_at_once: frozenset[str] = frozenset()
    large_hold_s: float = 0.0  # of one in twenty; 0 if all are alike
    tells_work: bool = False


class Outcome(Struct, frozen=True):
    """What a caller got; `waited_s` is the longest time to a refusal."""

    kind: str
    workspace: str
    large: bool
    in_time: bool
    refusals: int
    waited_s: float


class SharedTracker(EndpointTracker):
    """An endpoint of which each daemon knows how many requests run on it in all."""

    def __init__(self, slots: int, running: list[int]) -> None:
        self._all = running
        self._own = 0
        super().__init__(record("e1", slots=slots), 0.0)

    @property  # type: ignore[override]
    def in_flight(self) -> int:
        return self._own

    @in_flight.setter
    def in_flight(self, value: int) -> None:
        self._all[0] += value - self._own
        self._own = value

    def running(self, now: float) -> float:
        return self._all[0]


class Fleet:
    """Schedulers of some daemons that share the slots of one endpoint."""

    def __init__(self, daemons: int, slots: int, by_cost: bool, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.running = [0]
        self.slots = slots
        self.outcomes: list[Outcome] = []
        self.trackers: list[EndpointTracker] = []
        self.schedulers = [self._scheduler(daemons, by_cost) for _ in range(daemons)]
        self._calls: list[asyncio.Task[None]] = []
        self._next_id = 0

    def _scheduler(self, daemons: int, by_cost: bool) -> EndpointScheduler:
        view, settings, reports = FleetView(), deployment(BOUNDS), PeerReports(1.0)
        names = {f"d{number}": "" for number in range(1, daemons + 1)}
        view.apply_records(SharedRecords(1, 0, {}, {}, names), 0.0)
        tracker = SharedTracker(self.slots, self.running)
        tracker.reports_pace = by_cost
        view.trackers_by_service["s"] = [tracker]
        self.trackers.append(tracker)
        registry = CollectorRegistry()
        limits, permits = EndpointLimits(reports, registry), PermitClient(lambda daemon: None)
        rates = EndpointRates(settings, view, limits, permits, registry, self.rng, LONG_STARTED_S)
        pins = SessionPins(view, reports, 0.1, 5.0)
        # Without a configuration no health path is known, so that nothing is probed.
        probes = LoadProbes(HttpClient(), PlatformHeaderCodec(), lambda: None, CollectorRegistry())
        return EndpointScheduler(
            settings,
            view,
            self.rng,
            lambda order: False,
            pins,
            rates,
            lambda job, now: None,
            LoadView(settings, view, probes, self.rng),
        )

    def job(self, kind: Kind, workspace: str, identity: bytes, deadline: float) -> Job:
        self._next_id += 1
        share = (ServiceShare("s"),)
        route = Route(
            kind.name, "h", "/", RequestKind.STREAM, kind.timeout_s, kind.aim_s, kind.rank, share
        )
        now = asyncio.get_running_loop().time()
        request = exchange(f"r{self._next_id}")
        return Job(request, route, workspace, "s", kind.rank, now, deadline, identity)

    async def call(self, kind: Kind, scheduler: EndpointScheduler) -> None:
        """Send one request, and repeat it while it is refused and there is time left."""
        loop, rng = asyncio.get_running_loop(), self.rng
        weights = kind.weight_by_workspace
        workspace = rng.choices(list(weights), list(weights.values()))[0]
        large = bool(kind.large_hold_s) and rng.random() < 0.05
        hold_s = (kind.large_hold_s if large else kind.hold_s) * rng.uniform(0.7, 1.3)
        identity = rng.randbytes(8)
        until = loop.time() + kind.timeout_s
        refusals, waited_s, in_time = 0, 0.0, False
        while loop.time() < until:
            job = self.job(kind, workspace, identity, until)
            try:
                lease = await scheduler.acquire(job, set(), hold_s if kind.tells_work else 0.0)
            except RefusedError as error:
                refusals += 1
                waited_s = max(waited_s, loop.time() - job.arrived)
                at_once = workspace in kind.repeats_at_once
                await asyncio.sleep(REPEAT_S if at_once else error.retry_after_s or 0.0)
                continue
            await asyncio.sleep(hold_s)
            scheduler.release(lease)
            in_time = loop.time() <= min(until, job.arrived + kind.aim_s)
            break
        self.outcomes.append(Outcome(kind.name, workspace, large, in_time, refusals, waited_s))

    async def send(self, kind: Kind, factor_at: Callable[[float], float], for_s: float) -> None:
        """Send the requests of a kind for some time, to daemons chosen at random."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + for_s
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * factor_at(loop.time())))
            call = self.call(kind, self.rng.choice(self.schedulers))
            self._calls.append(asyncio.create_task(call))

    async def replay(
        self, kinds: Iterable[Kind], factor_at: Callable[[float], float], for_s: float
    ) -> None:
        await asyncio.gather(*(self.send(kind, factor_at, for_s) for kind in kinds))
        await asyncio.gather(*self._calls)


class Pattern(Struct, frozen=True):
    """A load: `factor` of the kinds' rates from 4 s to 16 s, and 0.6 of it at other times."""

    daemons: int
    slots: int
    kinds: tuple[Kind, ...]
    factor: float = 1.0

    def outcomes(self, by_cost: bool, seed: int = 1) -> list[Outcome]:
        """Replay it for 20 s; return what the callers got."""
        found: list[Outcome] = []

        async def run() -> None:
            fleet = Fleet(self.daemons, self.slots, by_cost, seed)
            usual = min(0.6, self.factor)
            await fleet.replay(
                self.kinds, lambda now: self.factor if 4 <= now < 16 else usual, 20.0
            )
            found.extend(fleet.outcomes)

        run_simulated(run)
        return found


def rate(slots: int, hold_s: float, part: float) -> float:
    """Return the requests a second that use a part of some slots."""
    return slots * part / hold_s


SMALL = {f"small-{number}": 1.0 for number in range(11)}
# Calls of 90 ms (target 0.4 s, deadline 3 s) of three ranks: 1.7 times what 18 slots serve.
BURST = Pattern(
    59,
    18,
    tuple(Kind(f"rank-{r}", rate(18, 0.09, 1 / 3), 0.09, 0.4, 3.0, rank=r) for r in range(3)),
    1.7,
)
# Twelve workspaces use 0.85 of the capacity; then one of them sends 7.5 times its usual load.
ONE_WORKSPACE = Pattern(
    8,
    18,
    (
        Kind(
            "call",
            rate(18, 0.09, 0.85 * 18.5 / 12),
            0.09,
            0.4,
            3.0,
            weight_by_workspace=SMALL | {"big": 7.5},
        ),
    ),
)
# 1.4 times the capacity, half of it of a workspace whose callers repeat at once.
REPEATERS = Pattern(
    8,
    18,
    (
        Kind(
            "call",
            rate(18, 0.09, 1.4),
            0.09,
            0.4,
            3.0,
            weight_by_workspace={"patient": 1.0, "repeats": 1.0},
            repeats_at_once=frozenset({"repeats"}),
        ),
    ),
)
# Long prompts (0.5 s) beside short ones (0.06 s), 1.5 times what 18 slots of 59 daemons serve; both
# have large ones among them.
LONG_AND_SHORT = Pattern(
    59,
    18,
    (
        Kind("long", rate(18, 0.5, 0.4), 0.45, 2.5, 8.0, large_hold_s=1.45, tells_work=True),
        Kind("short", rate(18, 0.06, 0.6), 0.054, 0.4, 3.0, large_hold_s=0.174, tells_work=True),
    ),
    1.5,
)
PATTERN_BY_NAME = {
    "burst": BURST,
    "one-workspace": ONE_WORKSPACE,
    "repeaters": REPEATERS,
    "long-and-short": LONG_AND_SHORT,
}


def in_time(outcomes: Iterable[Outcome], select: Callable[[Outcome], bool]) -> float:
    """Return the part of some callers that were served in time."""
    found = [outcome.in_time for outcome in outcomes if select(outcome)]
    return sum(found) / len(found)


def _group(outcome: Outcome) -> str:
    return (
        f"{outcome.kind} {'large' if outcome.large else ''} {outcome.workspace.partition('-')[0]}"
    )


def main(names: list[str]) -> None:
    """Print a table of the parts of callers that were served in time, before and after."""
    print(
        "| load | callers | number | in time by count | by cost | refusals each, before | after |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names or list(PATTERN_BY_NAME):
        pattern = PATTERN_BY_NAME[name]
        before, after = (
            [outcome for seed in SEEDS for outcome in pattern.outcomes(by_cost, seed)]
            for by_cost in (False, True)
        )
        for group in sorted({_group(outcome) for outcome in before}):
            parts = [[o for o in found if _group(o) == group] for found in (before, after)]
            served = [in_time(part, lambda o: True) for part in parts]
            refusals = [sum(o.refusals for o in part) / len(part) for part in parts]
            print(
                f"| {name} | {group} | {len(parts[0])} | {served[0]:.3f} | {served[1]:.3f}"
                f" | {refusals[0]:.2f} | {refusals[1]:.2f} |"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
