"""Choice of an endpoint by load and affinity, and circuit breakers."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.decisions.endpoint_choice import (
    FAILURES_TO_OPEN,
    FIRST_OPEN_S,
    CircuitBreakers,
    EndpointSnapshot,
    choose_endpoint,
)

SNAPSHOTS = st.lists(
    st.builds(
        EndpointSnapshot,
        endpoint_id=st.sampled_from("abcdefgh"),
        own_in_flight=st.integers(0, 8),
        slots=st.integers(0, 8),
        reported_load=st.integers(0, 20),
        own_at_report=st.integers(0, 8),
        limit=st.integers(0, 16),
        cold=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda e: e.endpoint_id,
)


@given(SNAPSHOTS, st.frozensets(st.sampled_from("abcd")), st.sampled_from("abz"), st.booleans())
def test_chosen_endpoint_is_healthy_and_has_a_free_slot(
    endpoints: list[EndpointSnapshot], unhealthy: frozenset[str], affinity_id: str, uniform: bool
) -> None:
    choice = choose_endpoint(endpoints, unhealthy, affinity_id, Random(3), uniform)
    by_id = {e.endpoint_id: e for e in endpoints}
    possible = [
        e for e in endpoints if e.own_in_flight < e.slots and e.endpoint_id not in unhealthy
    ]
    assert bool(choice.endpoint_id) == bool(possible)
    if possible:
        assert by_id[choice.endpoint_id] in possible
    assert {c.name for c in choice.candidates} == set(by_id)
    assert [c.name for c in choice.candidates if not c.passed_over] == (
        [choice.endpoint_id] if possible else []
    )


def test_less_loaded_of_two_is_chosen_despite_lagging_reports() -> None:
    busy = EndpointSnapshot(
        "busy", own_in_flight=4, slots=8, reported_load=0, own_at_report=0, limit=8
    )
    idle = EndpointSnapshot(
        "idle", own_in_flight=0, slots=8, reported_load=1, own_at_report=0, limit=8
    )
    for seed in range(20):
        assert choose_endpoint([busy, idle], frozenset(), "", Random(seed)).endpoint_id == "idle"


def test_endpoint_with_cached_prefix_is_preferred_up_to_a_load() -> None:
    idle = EndpointSnapshot("idle", 0, 8, limit=8)
    for own, expected in ((3, "affinity"), (7, "idle")):
        affinity = EndpointSnapshot(
            "affinity", own, 8, reported_load=own, own_at_report=own, limit=8
        )
        choice = choose_endpoint([affinity, idle], frozenset(), "affinity", Random(1))
        assert choice.endpoint_id == expected


def test_cold_endpoint_is_chosen_only_if_no_warm_one_was_drawn() -> None:
    cold = EndpointSnapshot("cold", 0, 1, cold=True)
    warm = EndpointSnapshot("warm", 3, 8, limit=8)
    assert choose_endpoint([cold, warm], frozenset(), "", Random(1)).endpoint_id == "warm"
    assert choose_endpoint([cold], frozenset(), "", Random(1)).endpoint_id == "cold"


@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 7), st.sampled_from("ffsd"), st.floats(0, 3)), max_size=60),
)
def test_at_least_half_of_a_pool_stays_usable(
    size: int, events: list[tuple[int, str, float]]
) -> None:
    circuits = CircuitBreakers()
    pool = [f"e{number}" for number in range(size)]
    now = 0.0
    for number, event, wait in events:
        now += wait
        if event == "f":
            for _ in range(FAILURES_TO_OPEN):
                circuits.record_failure(f"e{number}", "v@1", now)
        elif event == "s":
            circuits.record_success(f"e{number}", "v@1")
        else:
            circuits.record_dispatch(f"e{number}", "v@1", now)
        left = len(pool) - len(circuits.unhealthy(pool, "v@1", now))
        assert left >= 1 and left * 2 >= size


def test_circuit_opens_for_one_version_allows_one_trial_and_closes() -> None:
    circuits = CircuitBreakers()
    pool = ["a", "b"]
    for _ in range(FAILURES_TO_OPEN):
        assert not circuits.unhealthy(pool, "v@1", 0.0)
        circuits.record_failure("a", "v@1", 0.0)
    assert circuits.unhealthy(pool, "v@1", FIRST_OPEN_S - 0.1) == {"a"}
    assert not circuits.unhealthy(pool, "v@2", 0.0)
    assert not circuits.unhealthy(pool, "v@1", FIRST_OPEN_S)
    circuits.record_dispatch("a", "v@1", FIRST_OPEN_S)
    assert circuits.unhealthy(pool, "v@1", FIRST_OPEN_S) == {"a"}
    circuits.record_failure("a", "v@1", FIRST_OPEN_S)
    assert circuits.unhealthy(pool, "v@1", 2.9 * FIRST_OPEN_S) == {"a"}
    circuits.record_dispatch("a", "v@1", 3 * FIRST_OPEN_S)
    circuits.record_success("a", "v@1")
    assert not circuits.unhealthy(pool, "v@1", 3 * FIRST_OPEN_S)


def test_circuits_are_bounded() -> None:
    circuits = CircuitBreakers(max_circuits=3)
    for number in range(10):
        circuits.record_failure(f"e{number}", "v@1", 0.0)
        assert len(circuits) <= 3
