"""Choice of an endpoint by load and prefix affinity, and circuit breakers for endpoints."""

from random import Random

from msgspec import Struct

from comfreyhatch.domain.record import Candidate

# Endpoints drawn at random for each choice, of which the least loaded one is taken.
CANDIDATES_DRAWN = 2
# Additional load at which the endpoint with the session's cached prefix is still preferred.
AFFINITY_LOAD_ALLOWANCE = 0.5
FAILURES_TO_OPEN = 5
FIRST_OPEN_S = 5.0
MAX_OPEN_S = 60.0
MAX_CIRCUITS = 4096


class EndpointSnapshot(Struct, frozen=True):
    """Load of an endpoint at the time of a choice.

    Attributes:
        endpoint_id: Instance id of the endpoint.
        own_in_flight: Number of this daemon's requests that run on it.
        slots: Number of requests that this daemon may have running on it.
        reported_load: Running and queued requests of all daemons in its last report.
        own_at_report: Value of `own_in_flight` when the report was made.
        limit: Number of requests of all daemons that may run on it.
        cold: Whether it is in cold start.
    """

    endpoint_id: str
    own_in_flight: int
    slots: int
    reported_load: int = 0
    own_at_report: int = 0
    limit: int = 1
    cold: bool = False

    def load(self) -> float:
        """Return the expected load as a share of the limit.

        Reports lag, so the change in this daemon's requests since the report is added.
        """
        expected = max(
            self.own_in_flight, self.reported_load + self.own_in_flight - self.own_at_report
        )
        return expected / max(1, self.limit)


class EndpointChoice(Struct, frozen=True):
    """Result of a choice.

    Attributes:
        endpoint_id: Id of the chosen endpoint; empty if no healthy endpoint has a free slot.
        candidates: All endpoints considered, with the reason why each one was passed over.
    """

    endpoint_id: str
    candidates: tuple[Candidate, ...]


def choose_endpoint(
    endpoints: list[EndpointSnapshot],
    unhealthy: frozenset[str],
    affinity_id: str,
    rng: Random,
    uniform: bool = False,
) -> EndpointChoice:
    """Return the endpoint for a request: the less loaded of two at random, or by affinity.

    Args:
        endpoints: Endpoints that serve the version and may be called from this daemon.
        unhealthy: Ids of the endpoints whose circuit breaker is open.
        affinity_id: Id of the endpoint that has the session's prefix cached; empty for none.
        rng: Seeded source of the random choice.
        uniform: Choose at random regardless of load, as a baseline for comparisons.
    """
    free = [e for e in endpoints if e.own_in_flight < e.slots]
    healthy = [e for e in free if e.endpoint_id not in unhealthy]
    if not healthy:
        return EndpointChoice("", _candidates(endpoints, unhealthy, ""))
    chosen = rng.choice(healthy) if uniform else _least_loaded(healthy, affinity_id, rng)
    return EndpointChoice(chosen.endpoint_id, _candidates(endpoints, unhealthy, chosen.endpoint_id))


def _least_loaded(
    endpoints: list[EndpointSnapshot], affinity_id: str, rng: Random
) -> EndpointSnapshot:
    """Return the less loaded of two endpoints drawn at random, unless affinity outweighs it."""
    drawn = rng.sample(endpoints, min(CANDIDATES_DRAWN, len(endpoints)))
    best = min(drawn, key=lambda e: (e.cold, e.load(), e.own_in_flight))
    affinity = next((e for e in endpoints if e.endpoint_id == affinity_id), None)
    if affinity and affinity.load() <= min(1.0, best.load() + AFFINITY_LOAD_ALLOWANCE):
        return affinity
    return best


def _candidates(
    endpoints: list[EndpointSnapshot], unhealthy: frozenset[str], chosen: str
) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(e.endpoint_id, _reason_passed_over(e, unhealthy, chosen), round(e.load(), 3))
        for e in endpoints
    )


def _reason_passed_over(endpoint: EndpointSnapshot, unhealthy: frozenset[str], chosen: str) -> str:
    if endpoint.endpoint_id == chosen:
        return ""
    if endpoint.own_in_flight >= endpoint.slots:
        return "no free slot"
    if endpoint.endpoint_id in unhealthy:
        return "ejected"
    return "another preferred"


class _CircuitState(Struct):
    """State of the circuit breaker of one endpoint and version.

    Attributes:
        failures: Consecutive failures.
        opened: Number of times that the circuit opened since the last success.
        open_until: Monotonic time until which the circuit is open, in seconds.
        trial: Whether the circuit is half-open, with one trial request running.
    """

    failures: int = 0
    opened: int = 0
    open_until: float = 0.0
    trial: bool = False


class CircuitBreakers:
    """Circuit breakers by endpoint and version; the oldest are dropped beyond a maximum."""

    def __init__(self, max_circuits: int = MAX_CIRCUITS) -> None:
        self._max_circuits = max_circuits
        self._circuit_by_pair: dict[tuple[str, str], _CircuitState] = {}

    def __len__(self) -> int:
        return len(self._circuit_by_pair)

    def record_success(self, endpoint_id: str, version_id: str) -> None:
        """Count an answer; closes the circuit."""
        self._circuit_by_pair.pop((endpoint_id, version_id), None)

    def record_failure(self, endpoint_id: str, version_id: str, now: float) -> None:
        """Count a failure; opens the circuit after several in a row or a failed trial.

        Each time that the circuit opens without a success in between, it stays open for twice
        as long, up to `MAX_OPEN_S`.
        """
        pair = (endpoint_id, version_id)
        circuit = self._circuit_by_pair.pop(pair, None) or _CircuitState()
        self._circuit_by_pair[pair] = circuit
        while len(self._circuit_by_pair) > self._max_circuits:
            del self._circuit_by_pair[next(iter(self._circuit_by_pair))]
        circuit.failures += 1
        if circuit.trial or circuit.failures >= FAILURES_TO_OPEN:
            circuit.open_until = now + min(MAX_OPEN_S, FIRST_OPEN_S * 2**circuit.opened)
            circuit.opened += 1
            circuit.failures = 0
            circuit.trial = False

    def record_dispatch(self, endpoint_id: str, version_id: str, now: float) -> None:
        """Record a dispatch; the first one after the circuit was open is a trial."""
        circuit = self._circuit_by_pair.get((endpoint_id, version_id))
        if circuit and circuit.opened and now >= circuit.open_until:
            circuit.trial = True

    def end_trial(self, endpoint_id: str, version_id: str) -> None:
        """Record the end of a request; after a trial without a result, the next is a trial."""
        circuit = self._circuit_by_pair.get((endpoint_id, version_id))
        if circuit:
            circuit.trial = False

    def unhealthy(self, endpoint_ids: list[str], version_id: str, now: float) -> frozenset[str]:
        """Return the endpoints to pass over, at most half of a pool.

        If the circuits of more endpoints are open, those that opened least often and whose
        circuits close first stay in use.
        """
        opened = []
        for endpoint_id in endpoint_ids:
            circuit = self._circuit_by_pair.get((endpoint_id, version_id))
            if circuit and (circuit.trial or circuit.open_until > now):
                opened.append((circuit.opened, circuit.open_until, endpoint_id))
        allowed = len(endpoint_ids) - max(1, -(-len(endpoint_ids) // 2))
        worst = sorted(opened, reverse=True)[: max(0, allowed)]
        return frozenset(endpoint_id for _, _, endpoint_id in worst)
