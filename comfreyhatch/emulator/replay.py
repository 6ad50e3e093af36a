"""Discrete-event simulation of a load pattern under a policy."""

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
from comfreyhatch.emulator.load import Arrival, LoadPattern, generate_arrivals
from comfreyhatch.emulator.policy import Policy

SMALL = "small"
LARGE = "large"
# Share of the payoff that the small model's answer to a hard request gets.
POOR_ANSWER_PAYOFF_SHARE = 0.05
MAX_RETRIES_AFTER_REFUSAL = 6
MAX_UNREACHABLE_RETRIES = 8
MAX_ATTEMPTS = 3
# Budget of extra requests: their ratio to callers' requests in the window, and a number allowed in
# addition, the slack, which is divided among the daemons.
EXTRA_REQUEST_WINDOW_S = 10.0
EXTRA_REQUEST_RATIO = 0.9
EXTRA_REQUEST_SLACK = 50.0


class Fleet(Struct, frozen=True):
    """Engines and daemons of a replay."""

    engines: int
    daemons: int
    speed: EngineSpeed


class KindResult(Struct):
    """Outcomes of the requests of one kind.

    Attributes:
        requests: Requests with an outcome.
        on_time: Answers within the target time.
        late: Answers after the target time that the caller still waited for.
        failed: Requests without an answer, or with one after the caller gave up.
        payoff: Sum of the payoffs.
        max_payoff: Sum of the payoffs if all answers were good and on time.
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    payoff: float = 0.0
    max_payoff: float = 0.0


class ReplayResult(Struct):
    """Outcomes of one replay.

    Attributes:
        policy: Name of the policy.
        by_kind: Outcomes by name of the request kind.
        large_answers: Answers by the large model.
        first_event_s: Times from arrival to the first event of all answers, in seconds, also of
            those after the caller gave up.
    """

    policy: str
    by_kind: dict[str, KindResult]
    large_answers: int = 0
    first_event_s: list[float] = []

    @property
    def payoff_share(self) -> float:
        """Payoff as a share of the payoff if all answers were good and on time."""
        ideal = sum(result.max_payoff for result in self.by_kind.values())
        return sum(result.payoff for result in self.by_kind.values()) / ideal if ideal else 0.0

    def first_event_quantile_s(self, share: float) -> float:
        """Return a quantile of the time to the first event, in seconds."""
        ordered = sorted(self.first_event_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class _DaemonState:
    """State that one daemon keeps for its decisions, built from its own requests."""

    def __init__(self, engines: list[EmulatedEngine], daemons: int) -> None:
        self.trackers = [EndpointTracker(_record(engine), 0.0) for engine in engines]
        self.engine_times = EngineTimes()
        self.budget = ExtraRequestBudget(
            EXTRA_REQUEST_WINDOW_S, EXTRA_REQUEST_RATIO, EXTRA_REQUEST_SLACK / daemons
        )
        self.service_time = ServiceTime()


class _Request(Struct):
    """A request in progress.

    Attributes:
        arrival: The generated request.
        model: Model to ask next, or that is answering.
        attempts: Requests sent to engines.
        unreachable: Connections that could not be opened and don't count as attempts.
        refusals: Refusals for lack of slots; the caller retries after each.
    """

    arrival: Arrival
    model: str = SMALL
    attempts: int = 0
    unreachable: int = 0
    refusals: int = 0


class Replay:
    """One run of a load pattern; runs with the same seed are identical."""

    def __init__(self, pattern: LoadPattern, fleet: Fleet, policy: Policy, seed: int) -> None:
        self._policy = policy
        self._engines = [EmulatedEngine(f"e{n}", "", fleet.speed) for n in range(fleet.engines)]
        self._daemons = [_DaemonState(self._engines, fleet.daemons) for _ in range(fleet.daemons)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        self._result = ReplayResult(policy.name, {k.name: KindResult() for k in pattern.kinds})
        self._down_until = 0.0
        self._rng = rng = Random(seed)
        for restart in pattern.restarts:
            self._schedule(restart.at_s, self._restart_event(restart.down_s))
        for arrival in generate_arrivals(pattern, fleet.daemons, rng):
            self._schedule(arrival.at, self._arrival_event(_Request(arrival)))
        for crash in pattern.crashes:
            chosen = rng.sample(self._engines, max(1, round(crash.share * fleet.engines)))
            for engine in chosen:
                self._schedule(crash.at_s, _crash_event(engine, crash.down_s))

    def run(self) -> ReplayResult:
        """Process all events in order of time and return the outcomes."""
        while self._events:
            now, _, act = heappop(self._events)
            act(now)
        return self._result

    def _schedule(self, when: float, act: Callable[[float], None]) -> None:
        heappush(self._events, (when, next(self._order), act))

    def _arrival_event(self, request: _Request) -> Callable[[float], None]:
        def act(now: float) -> None:
            if not request.refusals:
                self._daemons[request.arrival.daemon].budget.record_request(now)
            self._send(request, now)

        return act

    def _send(self, request: _Request, now: float) -> None:
        """Send a request to the engine that the policy chooses, once the daemons are up."""
        daemon = self._daemons[request.arrival.daemon]
        arrival = request.arrival
        if now < self._down_until:
            self._schedule(self._down_until, lambda at: self._send(request, at))
            return
        work_s = daemon.engine_times.first_event_s(request.model, arrival.prompt_tokens)
        usable = [t for t in daemon.trackers if t.running(now) < t.record.slots]
        if self._policy.ejects:
            usable = [t for t in usable if now >= t.ejected_until] or usable
        tracker = self._policy.place(_exchange(arrival), usable, work_s, now)
        if tracker is None:
            self._refuse(request, now)
            return
        engine = self._engines[daemon.trackers.index(tracker)]
        if engine.is_down(now):
            tracker.record_connection_failure(now, unreachable=True)
            self._retry_unreachable(request, now)
            return
        request.attempts += 1
        tracker.in_flight += 1
        tracker.pending_s += work_s
        due = engine.start_prefill(request.model, arrival.prompt_tokens, now)
        epoch = engine.epoch
        self._schedule(
            due, lambda at: self._first_event(request, tracker, engine, epoch, now, work_s, at)
        )

    def _first_event(
        self,
        request: _Request,
        tracker: EndpointTracker,
        engine: EmulatedEngine,
        epoch: int,
        sent_at: float,
        work_s: float,
        now: float,
    ) -> None:
        """Record or escalate an answer at its first event; retry it if the engine crashed before.

        An answer is recorded here, so a crash while it is decoded doesn't count as a failure.
        """
        tracker.pending_s = max(0.0, tracker.pending_s - work_s)
        if engine.epoch != epoch:
            tracker.in_flight -= 1
            tracker.record_connection_failure(now, unreachable=False)
            self._retry_in_budget(request, now)
            return
        daemon = self._daemons[request.arrival.daemon]
        daemon.engine_times.record(request.model, request.arrival.prompt_tokens, now - sent_at)
        tracker.record_success()
        tracker.record_complete_answer()
        tracker.record_delay(now - sent_at - work_s, now)
        tracker.record_load(ReportedLoad(engine.running, 0, engine.speed.slots), now)
        if self._escalates(request, daemon, now):
            engine.running -= 1
            tracker.in_flight -= 1
            request.model = LARGE
            self._send(request, now)
            return
        self._record_answer(request, now)
        ends_at = now + engine.decode_s(request.arrival.output_tokens, now)
        daemon.service_time.add(ends_at - sent_at)
        self._schedule(ends_at, lambda at: _finish_answer(tracker, engine, epoch))

    def _escalates(self, request: _Request, daemon: _DaemonState, now: float) -> bool:
        """Return whether to ask the large model, and charge the budget of extra requests if so."""
        arrival = request.arrival
        if request.model == LARGE or request.attempts >= MAX_ATTEMPTS:
            return False
        delays = sorted(tracker.delay_s(now) for tracker in daemon.trackers)
        running = sum(tracker.running(now) for tracker in daemon.trackers)
        state = CascadeState(
            rank=arrival.kind.rank,
            load=running / sum(t.record.slots for t in daemon.trackers),
            delay_s=delays[len(delays) // 2],
            larger_s=daemon.engine_times.first_event_s(LARGE, arrival.prompt_tokens),
            aim_s=arrival.kind.aim_s,
            spent_s=now - arrival.at,
            budget_left=daemon.budget.remaining_share(now),
        )
        return self._policy.escalate(arrival.confidence, state) and daemon.budget.take(now)

    def _retry_unreachable(self, request: _Request, now: float) -> None:
        """Send a request again after a connection that could not be opened."""
        if self._policy.counts_unreachable:
            request.attempts += 1
            self._retry_in_budget(request, now)
            return
        request.unreachable += 1
        if request.unreachable <= MAX_UNREACHABLE_RETRIES:
            self._send(request, now)
        else:
            self._record_failure(request)

    def _retry_in_budget(self, request: _Request, now: float) -> None:
        """Send a request again if its attempts and the budget of extra requests allow it."""
        daemon = self._daemons[request.arrival.daemon]
        if request.attempts < MAX_ATTEMPTS and daemon.budget.take(now):
            self._send(request, now)
        else:
            self._record_failure(request)

    def _refuse(self, request: _Request, now: float) -> None:
        """Refuse a request for lack of slots; the caller returns after the Retry-After time."""
        arrival = request.arrival
        left_s = arrival.at + arrival.kind.patience_s - now
        daemon = self._daemons[arrival.daemon]
        slots = sum(t.record.slots for t in daemon.trackers) // len(self._daemons)
        expected_s = daemon.service_time.expected_wait_s(1, slots)
        after_s = retry_after_s(expected_s, left_s, self._rng)
        if request.refusals >= MAX_RETRIES_AFTER_REFUSAL or left_s <= after_s:
            self._record_failure(request)
            return
        request.refusals += 1
        self._schedule(now + after_s, self._arrival_event(request))

    def _restart_event(self, down_s: float) -> Callable[[float], None]:
        def act(now: float) -> None:
            self._down_until = now + down_s
            daemons = len(self._daemons)
            self._daemons = [_DaemonState(self._engines, daemons) for _ in range(daemons)]

        return act

    def _record_answer(self, request: _Request, now: float) -> None:
        kind = request.arrival.kind
        result = self._count_request(request)
        took_s = now - request.arrival.at
        self._result.first_event_s.append(took_s)
        self._result.large_answers += request.model == LARGE
        if took_s > kind.patience_s:
            result.failed += 1
            return
        on_time = took_s <= kind.aim_s
        result.on_time += on_time
        result.late += not on_time
        poor = request.arrival.hard and request.model == SMALL
        payoff = (kind.payoff if on_time else kind.late_payoff) * request.arrival.weight
        result.payoff += payoff * (POOR_ANSWER_PAYOFF_SHARE if poor else 1.0)

    def _record_failure(self, request: _Request) -> None:
        self._count_request(request).failed += 1

    def _count_request(self, request: _Request) -> KindResult:
        result = self._result.by_kind[request.arrival.kind.name]
        result.requests += 1
        result.max_payoff += request.arrival.kind.payoff * request.arrival.weight
        return result


def _crash_event(engine: EmulatedEngine, down_s: float) -> Callable[[float], None]:
    return lambda now: engine.crash(now, down_s)


def _finish_answer(tracker: EndpointTracker, engine: EmulatedEngine, epoch: int) -> None:
    tracker.in_flight -= 1
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
