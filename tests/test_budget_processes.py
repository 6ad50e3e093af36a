"""Repeats of former processes and of a higher load that wait unread, and the time handed on.

By hand: `python -m tests.test_budget_processes FOLDER SEED...` plays fleets that are drawn by the
seeds, and prints what was found.
"""

import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from msgspec.structs import replace

from tests.deadline_checks import handed_time, too_much_time
from tests.endpoint_logs import (
    refused_though_run,
    repeat_windows,
    repeats_beyond_budget,
    too_many_endpoints,
)
from tests.endpoint_process import EndpointOptions
from tests.fleet_plan import FleetPlan
from tests.fleet_plays import play_falling_load, play_kills, play_waves, play_wide
from tests.platform_processes import Fleet
from tests.test_repeat_processes import run_fleet

SHOWN = 6
SILENT_SHARE = 0.6
# Longer than the window of 3 s, and than three of them.
SILENCE_S = (3.5, 5.0)
LONG_SILENCE_S = 9.0
WAVES = 8
KILL_SEED = 6
FALL_SEED = 5
WAVE_SEED = 1
WIDE_SEED = 1
DISTURBANCES = 12
SHORT_DISTURBANCES = 5
ENDPOINTS = EndpointOptions(backlog=100, capacity=10, half_close=True, escalating=0.2)
PLAN = FleetPlan(daemons=6, endpoints=ENDPOINTS, ratio=0.3, window_s=3.0, deadline_s=2.0)
Check = Callable[[Fleet], list[str]]
CHECKS: tuple[Check, ...] = (
    too_many_endpoints,
    repeats_beyond_budget,
    refused_though_run,
    too_much_time,
)


@pytest.fixture(scope="module")
def killed(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet whose daemons were killed in series beside a service silent in part."""
    folder = tmp_path_factory.mktemp("fleet")
    play = play_kills_beside("desk", SILENT_SHARE, SILENCE_S)
    return run_fleet(folder, KILL_SEED, PLAN, play)


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_daemons_killed_beside_a_service_silent_in_part_break_no_rule(
    killed: Fleet, check: Check
) -> None:
    # What the former processes sent waits at the silent endpoints, while others answer.
    found = check(killed)
    assert not found, told(killed, found)


@pytest.fixture(scope="module")
def fallen(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet whose load fell while a service was silent."""
    folder = tmp_path_factory.mktemp("fleet")
    return run_fleet(folder, FALL_SEED, replace(PLAN, daemons=4), play_fall("desk"))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_load_that_falls_while_repeats_wait_breaks_no_rule(fallen: Fleet, check: Check) -> None:
    # They were reserved by the requests of a load that no window has as they arrive.
    found = check(fallen)
    assert not found, told(fallen, found)


@pytest.fixture(scope="module")
def waved(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet whose load rose and fell beside silences."""
    folder = tmp_path_factory.mktemp("fleet")
    return run_fleet(folder, WAVE_SEED, replace(PLAN, daemons=3), lambda f: play_waves(f, WAVES))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_load_that_rises_and_falls_beside_silences_breaks_no_rule(
    waved: Fleet, check: Check
) -> None:
    found = check(waved)
    assert not found, told(waved, found)


@pytest.fixture(scope="module")
def widely(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet in two zones after silences, kills, and faults of links and of the store."""
    folder = tmp_path_factory.mktemp("fleet")
    plan = replace(PLAN, daemons=4, zones=("a", "b"), has_links=True)
    return run_fleet(folder, WIDE_SEED, plan, lambda f: play_wide(f, SHORT_DISTURBANCES))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_fleet_with_faults_of_all_kinds_breaks_no_rule(widely: Fleet, check: Check) -> None:
    found = check(widely)
    assert not found, told(widely, found)


def play_kills_beside(
    service: str, share: float, silence_s: tuple[float, float]
) -> Callable[[Fleet], Awaitable[None]]:
    """Return a play of kills in series beside silences of a part of a service."""

    async def disturb(fleet: Fleet) -> None:
        await play_kills(fleet, service, share, silence_s)

    return disturb


def play_fall(service: str) -> Callable[[Fleet], Awaitable[None]]:
    """Return a play of a load that falls while a service is silent."""

    async def disturb(fleet: Fleet) -> None:
        await play_falling_load(fleet, service, LONG_SILENCE_S)

    return disturb


def drawn(seed: int) -> tuple[FleetPlan, Callable[[Fleet], Awaitable[None]], str]:
    """Return a fleet and a play that are drawn by a seed, and the name of the play."""
    rng = Random(f"budget {seed}")
    service = rng.choice(("desk", "engines"))
    share = rng.choice((0.4, 0.6, 0.6, 0.8))
    endpoints = replace(ENDPOINTS, capacity=rng.choice((2, 10)))
    plan = replace(PLAN, endpoints=endpoints, deadline_s=rng.choice((2.0, 5.0)))
    kind = rng.choice(("kills", "kills of sites", "fall", "waves", "wide", "wide"))
    if kind == "kills":
        return plan, play_kills_beside(service, share, SILENCE_S), f"{kind} {service} {share}"
    if kind == "kills of sites":
        sites = replace(plan, ratio=0.9, slack=52, window_s=10.0)
        return sites, play_kills_beside(service, share, (7.0, 9.0)), f"{kind} {service} {share}"
    plan = replace(plan, daemons=rng.choice((3, 4, 6)))
    if kind == "wide":
        endpoints = replace(plan.endpoints, backlog=rng.choice((1, 100)))
        zones, has_links = rng.choice((("a",), ("a", "b"))), rng.random() < 0.7
        plan = replace(plan, endpoints=endpoints, zones=zones, has_links=has_links)
        return plan, lambda fleet: play_wide(fleet, DISTURBANCES), f"{kind} links={has_links}"
    if kind == "fall":
        return plan, play_fall(service), f"{kind} {service}"
    return plan, lambda fleet: play_waves(fleet, WAVES), kind


def told(fleet: Fleet, found: list[str]) -> str:
    """Return what a check found, and what was done to the fleet."""
    return "\n".join([*found[:SHOWN], summary(fleet)])


def summary(fleet: Fleet) -> str:
    """Return what was done, and what callers and endpoints saw."""
    start = fleet.notes[0][0]
    complete = [call for call in fleet.calls if call.outcome == "complete" and call.status == 200]
    in_time = sum(call.ended <= call.until for call in complete)
    fullest = max(repeat_windows(fleet), key=lambda w: w.repeats / w.allowed, default=None)
    lines = [f"{t - start:6.2f} ({t:.2f}) {text}" for t, text in fleet.notes]
    outcomes = Counter((call.kind, call.outcome, call.status) for call in fleet.calls)
    lines += [f"{kind} {outcome} {n}: {count}" for (kind, outcome, n), count in outcomes.items()]
    lines += [
        f"{fleet.plan}",
        f"answers: {len(complete)} of {len(fleet.calls)}, {in_time} in time",
        f"fullest window: {fullest}",
        f"time handed on: {handed_time(fleet)}",
    ]
    for check in CHECKS:
        found = check(fleet)
        lines += [f"{check.__name__}: {len(found)}", *(f"    {text}" for text in found[:SHOWN])]
    return "\n".join(lines)


def main(folder: Path, seed: int) -> None:
    """Play a fleet that is drawn by a seed, and print what was found."""
    folder.mkdir(parents=True, exist_ok=True)
    plan, play, name = drawn(seed)
    text = summary(run_fleet(folder, seed, plan, play))
    (folder / "summary.txt").write_text(text)
    print(f"== seed {seed} {name}\n{text}", flush=True)


if __name__ == "__main__":
    for argument in sys.argv[2:]:
        main(Path(sys.argv[1]) / argument, int(argument))
