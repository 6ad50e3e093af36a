"""Choice among endpoints, ejection of outliers, and circuit breakers."""

from random import Random

from msgspec import Struct

from comfreyhatch.domain.record import Candidate

CANDIDATES_DRAWN = 2
AFFINITY_LOAD_ALLOWANCE = 0.5
FAILURES_TO_OPEN = 5
FIRST_OPEN_S = 5.0
MAX_OPEN_S = 60.0
MAX_CIRCUITS = 4096


class EndpointSnapshot(Struct, frozen=True):
    """What is known of an endpoint at the moment of a choice.

    Attributes:
        endpoint_id: Its instance id.
        own: Requests of this daemon in flight there.
        slots: Requests that this daemon may have in flight there.
        reported: Last reported load, all daemons together, running and queued.
        own_at_report: This daemon's requests in flight when the report was made.
        bears: Requests it bears at once.
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
        """Return the expected load as a share of what it bears.

        Reports lag, so this daemon's requests since the report are counted on top.
        """
        expected = max(
            self.own_in_flight, self.reported_load + self.own_in_flight - self.own_at_report
        )
        return expected / max(1, self.limit)


class EndpointChoice(Struct, frozen=True):
    """An endpoint chosen, and what was weighed; empty id if none has a free slot."""

    endpoint_id: str
    candidates: tuple[Candidate, ...]


def choose_endpoint(
    figures: list[EndpointSnapshot],
    unhealthy: frozenset[str],
    affinity_id: str,
    rng: Random,
    uniform: bool = False,
) -> EndpointChoice:
    """Return the endpoint for a request.

    Args:
        figures: Endpoints that serve the version and may be called from here.
        unhealthy: Endpoints that are ejected or whose circuit is open.
        affinity_id: Endpoint that holds the session's prefix; empty for none.
        rng: Seeded source of the choice.
        uniform: Choose at random whatever the load; a baseline.
    """
    free = [f for f in figures if f.own_in_flight < f.slots]
    healthy = [f for f in free if f.endpoint_id not in unhealthy]
    if not healthy:
        return EndpointChoice("", _candidates(figures, unhealthy, ""))
    chosen = rng.choice(healthy) if uniform else _least_loaded(healthy, affinity_id, rng)
    return EndpointChoice(chosen.endpoint_id, _candidates(figures, unhealthy, chosen.endpoint_id))


def _least_loaded(
    figures: list[EndpointSnapshot], affinity_id: str, rng: Random
) -> EndpointSnapshot:
    drawn = rng.sample(figures, min(CANDIDATES_DRAWN, len(figures)))
    best = min(drawn, key=lambda f: (f.cold, f.load(), f.own_in_flight))
    held = next((f for f in figures if f.endpoint_id == affinity_id), None)
    if held and held.load() <= min(1.0, best.load() + AFFINITY_LOAD_ALLOWANCE):
        return held
    return best


def _candidates(
    figures: list[EndpointSnapshot], unhealthy: frozenset[str], chosen: str
) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(f.endpoint_id, _passed_over(f, unhealthy, chosen), round(f.load(), 3))
        for f in figures
    )


def _passed_over(figures: EndpointSnapshot, unhealthy: frozenset[str], chosen: str) -> str:
    if figures.endpoint_id == chosen:
        return ""
    if figures.own_in_flight >= figures.slots:
        return "no free slot"
    if figures.endpoint_id in unhealthy:
        return "ejected"
    return "another preferred"


class _CircuitState(Struct):
    """State of one endpoint and version.

    Attributes:
        failures: Failures in a row.
        opened: Times that it opened without a success since.
        open_until: End of the ejection.
        trial: Whether one request tries it after the ejection.
    """

    failures: int = 0
    opened: int = 0
    open_until: float = 0.0
    trial: bool = False


class CircuitBreakers:
    """Circuit breakers by endpoint and version; bounded."""

    def __init__(self, max_circuits: int = MAX_CIRCUITS) -> None:
        self._max_circuits = max_circuits
        self._circuit_by_pair: dict[tuple[str, str], _CircuitState] = {}

    def __len__(self) -> int:
        return len(self._circuit_by_pair)

    def record_success(self, endpoint_id: str, version_id: str) -> None:
        """Note an answer; closes the circuit."""
        self._circuit_by_pair.pop((endpoint_id, version_id), None)

    def record_failure(self, endpoint_id: str, version_id: str, now: float) -> None:
        """Note a failure of the endpoint; opens the circuit after several in a row."""
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
        """Note a dispatch; the first after an ejection is a trial."""
        circuit = self._circuit_by_pair.get((endpoint_id, version_id))
        if circuit and circuit.opened and now >= circuit.open_until:
            circuit.trial = True

    def unhealthy(self, endpoint_ids: list[str], version_id: str, now: float) -> frozenset[str]:
        """Return the endpoints to pass over; at least half of a pool always stays.

        When more are open, those that opened least often and longest ago stay in use.
        """
        opened = []
        for endpoint_id in endpoint_ids:
            circuit = self._circuit_by_pair.get((endpoint_id, version_id))
            if circuit and (circuit.trial or circuit.open_until > now):
                opened.append((circuit.opened, circuit.open_until, endpoint_id))
        allowed = len(endpoint_ids) - max(1, -(-len(endpoint_ids) // 2))
        worst = sorted(opened, reverse=True)[: max(0, allowed)]
        return frozenset(endpoint_id for _, _, endpoint_id in worst)
