"""Drives a load pattern through a policy and counts what callers get."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from msgspec import Struct

from comfreyhatch.decisions.cascade import CascadeState
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.engine_time import EngineTimes
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.decisions.waiting import ServiceTime, retry_after_s
from comfreyhatch.domain.endpoint import EndpointRecord
from comfreyhatch.domain.exchange import Exchange, ReportedLoad
from comfreyhatch.domain.instance import Address
from comfreyhatch.emulator.engine import EmulatedEngine, EngineSpeed
from comfreyhatch.emulator.load import Arrival, LoadPattern, arrivals
from comfreyhatch.emulator.policy import Policy

SMALL = "small"
LARGE = "large"
POOR_PAYOFF = 0.05
RETURNS_MOST = 6
UNREACHABLE_MOST = 8
ATTEMPTS = 3
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.9
BUDGET_SLACK = 50.0


class Fleet(Struct, frozen=True):
    """Engines and daemons of a replay."""

    engines: int
    daemons: int
    speed: EngineSpeed


class KindResult(Struct):
    """What callers of one kind got; payoffs are sums."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    failed: int = 0
    payoff: float = 0.0
    payoff_asked: float = 0.0


class ReplayResult(Struct):
    """What callers got, and how much of the engines' time the largest model took."""

    policy: str
    by_kind: dict[str, KindResult]
    large_answers: int = 0
    first_event_s: list[float] = []

    @property
    def payoff_share(self) -> float:
        """Payoff as a share of what answers within the aim would have given."""
        asked = sum(result.payoff_asked for result in self.by_kind.values())
        return sum(result.payoff for result in self.by_kind.values()) / asked if asked else 0.0

    def first_event_quantile_s(self, share: float) -> float:
        """Return a quantile of the time to the first event, in seconds."""
        ordered = sorted(self.first_event_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class _Daemon:
    """Beliefs of one daemon."""

    def __init__(self, engines: list[EmulatedEngine], daemons: int) -> None:
        self.states = [EndpointTracker(_record(engine), 0.0) for engine in engines]
        self.times = EngineTimes()
        self.budget = ExtraRequestBudget(BUDGET_WINDOW_S, BUDGET_RATIO, BUDGET_SLACK / daemons)
        self.service_time = ServiceTime()


class _Request(Struct):
    """A request under way."""

    arrival: Arrival
    model: str = SMALL
    attempts: int = 0
    unreachable: int = 0
    returns: int = 0


class Replay:
    """One run of a pattern; the same seed gives the same run."""

    def __init__(self, pattern: LoadPattern, fleet: Fleet, policy: Policy, seed: int) -> None:
        self._policy = policy
        self._engines = [EmulatedEngine(f"e{n}", "", fleet.speed) for n in range(fleet.engines)]
        self._daemons = [_Daemon(self._engines, fleet.daemons) for _ in range(fleet.daemons)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        self._result = ReplayResult(policy.name, {k.name: KindResult() for k in pattern.kinds})
        self._down_until = 0.0
        self._rng = rng = Random(seed)
        for restart in pattern.restarts:
            self._at(restart.at_s, self._restart(restart.down_s))
        for arrival in arrivals(pattern, fleet.daemons, rng):
            self._at(arrival.at, self._arrive(_Request(arrival)))
        for crash in pattern.crashes:
            chosen = rng.sample(self._engines, max(1, round(crash.share * fleet.engines)))
            for engine in chosen:
                self._at(crash.at_s, _crash(engine, crash.down_s))

    def run(self) -> ReplayResult:
        """Play all events and return what callers got."""
        while self._events:
            now, _, act = heappop(self._events)
            act(now)
        return self._result

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        heappush(self._events, (when, next(self._order), act))

    def _arrive(self, request: _Request) -> Callable[[float], None]:
        def act(now: float) -> None:
            if not request.returns:
                self._daemons[request.arrival.daemon].budget.record_request(now)
            self._send(request, now)

        return act

    def _send(self, request: _Request, now: float) -> None:
        daemon = self._daemons[request.arrival.daemon]
        arrival = request.arrival
        if now < self._down_until:
            self._at(self._down_until, lambda at: self._send(request, at))
            return
        work_s = daemon.times.first_event_s(request.model, arrival.prompt_tokens)
        usable = [s for s in daemon.states if s.running(now) < s.record.slots]
        if self._policy.ejects:
            usable = [s for s in usable if now >= s.ejected_until] or usable
        state = self._policy.place(_exchange(arrival), usable, work_s, now)
        if state is None:
            self._refuse(request, now)
            return
        engine = self._engines[daemon.states.index(state)]
        if engine.is_down(now):
            state.record_connection_failure(now, unreachable=True)
            self._not_reached(request, now)
            return
        request.attempts += 1
        state.in_flight += 1
        state.pending_s += work_s
        due = engine.read(request.model, arrival.prompt_tokens, now)
        epoch = engine.epoch
        self._at(due, lambda at: self._first_event(request, state, engine, epoch, now, work_s, at))

    def _first_event(
        self,
        request: _Request,
        state: EndpointTracker,
        engine: EmulatedEngine,
        epoch: int,
        sent: float,
        work_s: float,
        now: float,
    ) -> None:
        state.pending_s = max(0.0, state.pending_s - work_s)
        if engine.epoch != epoch:
            state.in_flight -= 1
            state.record_connection_failure(now, unreachable=False)
            self._again(request, now)
            return
        daemon = self._daemons[request.arrival.daemon]
        daemon.times.record(request.model, request.arrival.prompt_tokens, now - sent)
        state.record_success()
        state.record_delay(now - sent - work_s, now)
        state.record_load(ReportedLoad(engine.running, 0, engine.speed.slots), now)
        if self._escalates(request, daemon, now):
            engine.running -= 1
            state.in_flight -= 1
            request.model = LARGE
            self._send(request, now)
            return
        self._serve(request, now)
        ends = now + engine.answer_s(request.arrival.output_tokens, now)
        daemon.service_time.add(ends - sent)
        self._at(ends, lambda at: _end(state, engine, epoch))

    def _escalates(self, request: _Request, daemon: _Daemon, now: float) -> bool:
        arrival = request.arrival
        if request.model == LARGE or request.attempts >= ATTEMPTS:
            return False
        delays = sorted(state.delay_s(now) for state in daemon.states)
        running = sum(state.running(now) for state in daemon.states)
        state = CascadeState(
            rank=arrival.kind.rank,
            load=running / sum(s.record.slots for s in daemon.states),
            delay_s=delays[len(delays) // 2],
            larger_s=daemon.times.first_event_s(LARGE, arrival.prompt_tokens),
            aim_s=arrival.kind.aim_s,
            spent_s=now - arrival.at,
            budget_left=daemon.budget.remaining_share(now),
        )
        return self._policy.escalate(arrival.confidence, state) and daemon.budget.take(now)

    def _not_reached(self, request: _Request, now: float) -> None:
        if self._policy.counts_unreachable:
            request.attempts += 1
            self._again(request, now)
            return
        request.unreachable += 1
        if request.unreachable <= UNREACHABLE_MOST:
            self._send(request, now)
        else:
            self._fail(request)

    def _again(self, request: _Request, now: float) -> None:
        daemon = self._daemons[request.arrival.daemon]
        if request.attempts < ATTEMPTS and daemon.budget.take(now):
            self._send(request, now)
        else:
            self._fail(request)

    def _refuse(self, request: _Request, now: float) -> None:
        arrival = request.arrival
        left_s = arrival.at + arrival.kind.patience_s - now
        daemon = self._daemons[arrival.daemon]
        slots = sum(s.record.slots for s in daemon.states) // len(self._daemons)
        expected_s = daemon.service_time.expected_wait_s(1, slots)
        after_s = retry_after_s(expected_s, left_s, self._rng)
        if request.returns >= RETURNS_MOST or left_s <= after_s:
            self._fail(request)
            return
        request.returns += 1
        self._at(now + after_s, self._arrive(request))

    def _restart(self, down_s: float) -> Callable[[float], None]:
        def act(now: float) -> None:
            self._down_until = now + down_s
            count = len(self._daemons)
            self._daemons = [_Daemon(self._engines, count) for _ in range(count)]

        return act

    def _serve(self, request: _Request, now: float) -> None:
        kind = request.arrival.kind
        result = self._count(request)
        took_s = now - request.arrival.at
        self._result.first_event_s.append(took_s)
        self._result.large_answers += request.model == LARGE
        if took_s > kind.patience_s:
            result.failed += 1
            return
        in_aim = took_s <= kind.aim_s
        result.in_aim += in_aim
        result.late += not in_aim
        poor = request.arrival.hard and request.model == SMALL
        payoff = (kind.payoff if in_aim else kind.late_payoff) * request.arrival.weight
        result.payoff += payoff * (POOR_PAYOFF if poor else 1.0)

    def _fail(self, request: _Request) -> None:
        self._count(request).failed += 1

    def _count(self, request: _Request) -> KindResult:
        result = self._result.by_kind[request.arrival.kind.name]
        result.asked += 1
        result.payoff_asked += request.arrival.kind.payoff * request.arrival.weight
        return result


def _crash(engine: EmulatedEngine, down_s: float) -> Callable[[float], None]:
    return lambda now: engine.crash(now, down_s)


def _end(state: EndpointTracker, engine: EmulatedEngine, epoch: int) -> None:
    state.in_flight -= 1
    if engine.epoch == epoch:
        engine.running -= 1


def _exchange(arrival: Arrival) -> Exchange:
    return Exchange(str(arrival.number), "POST", "/", "", "/", [], b"")


def _record(engine: EmulatedEngine) -> EndpointRecord:
    return EndpointRecord(
        engine.name,
        "engines",
        Address("", 0),
        engine.zone,
        "v1",
        engine.speed.slots,
        False,
        0.0,
        0,
        0,
    )
