"""Repeats that wait unread at silent endpoint processes, and arrive when these go on.

By hand: `python -m tests.test_repeat_processes FOLDER SEED...` plays mixed disturbances of fleets
that are drawn by the seeds, and prints what was found.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from msgspec.structs import replace

from tests.deadline_checks import too_much_time
from tests.endpoint_logs import (
    ran_twice,
    refused_though_run,
    repeat_windows,
    repeats_beyond_budget,
    too_many_endpoints,
)
from tests.endpoint_process import EndpointOptions
from tests.fleet_plan import FleetPlan
from tests.fleet_plays import play_mixed
from tests.platform_processes import Fleet, running_fleet

SEED = 1
SHOWN = 6
DISTURBANCES = 12
SHORT_DISTURBANCES = 5
MEAN_GAP_S = 2.5
# A window and a half, after which the budget is that of a steady load.
FIRST_S = 4.5
SILENCE_S = 5.5
GAP_S = 1.0
SECOND_SILENCE_S = 1.5
TAIL_S = 3.0
# When daemons are killed in a silence, and for how long they are down.
KILL_S = 2.0
DOWN_S = 0.05
# A window that is shorter than the silence, and callers that give up before its end.
PLAN = FleetPlan(
    endpoints=EndpointOptions(half_close=True, escalating=0.0, capacity=40, backlog=100),
    ratio=0.3,
    window_s=3.0,
    deadline_s=2.0,
)
# Callers that wait until the stopped daemon goes on, and longer than the window.
STOPPED_S = 4.5
ROUTED_AWAY_S = 0.5
STOPPED_PLAN = FleetPlan(ratio=0.5, window_s=2.0, deadline_s=6.0)
Check = Callable[[Fleet], list[str]]
# Callers of daemons that are killed get no answers, so that no check of answers applies.
CHECKS: tuple[Check, ...] = (
    too_many_endpoints,
    repeats_beyond_budget,
    refused_though_run,
    too_much_time,
)


def run_fleet(
    folder: Path, seed: int, plan: FleetPlan, disturb: Callable[[Fleet], Awaitable[None]]
) -> Fleet:
    """Return a fleet after it was disturbed."""

    async def run() -> Fleet:
        async with running_fleet(folder, seed, plan) as fleet:
            await disturb(fleet)
        return fleet

    return asyncio.run(run())


async def fall_silent_twice(fleet: Fleet, service: str, kills: bool) -> None:
    """Let a service fall silent for longer than the window, and once more soon after.

    Args:
        fleet: The fleet, with its load.
        service: The service.
        kills: Whether all daemons are killed in the first silence, and start again.
    """
    load = asyncio.create_task(fleet.load(FIRST_S + SILENCE_S + GAP_S + SECOND_SILENCE_S + TAIL_S))
    await asyncio.sleep(FIRST_S)
    silence = asyncio.create_task(fleet.silence(service, 1.0, SILENCE_S))
    if kills:
        await asyncio.sleep(KILL_S)
        daemons = range(fleet.plan.daemons)
        await asyncio.gather(*(fleet.restart_daemon(True, DOWN_S) for _ in daemons))
    await silence
    await asyncio.sleep(GAP_S)
    await fleet.silence(service, 1.0, SECOND_SILENCE_S)
    await load


@pytest.mark.parametrize("service", ["desk", "engines"])
def test_requests_left_unread_do_not_arrive_beyond_the_budget(tmp_path: Path, service: str) -> None:
    # What was given up in the first silence is read at its end, just before the second one.
    fleet = run_fleet(tmp_path, SEED, PLAN, lambda f: fall_silent_twice(f, service, False))
    found = repeats_beyond_budget(fleet)
    assert not found, "\n".join(found)


def test_requests_left_unread_by_killed_daemons_do_not_arrive_beyond_the_budget(
    tmp_path: Path,
) -> None:
    # The new processes know nothing of what waits there.
    fleet = run_fleet(tmp_path, SEED, PLAN, lambda f: fall_silent_twice(f, "desk", True))
    found = repeats_beyond_budget(fleet)
    assert not found, "\n".join(found)


def test_requests_read_late_by_a_daemon_that_was_stopped_do_not_raise_its_budget(
    tmp_path: Path,
) -> None:
    # They were sent before the window in which they are read, and refused all at once.
    async def disturb(fleet: Fleet) -> None:
        load = asyncio.create_task(fleet.load(FIRST_S + STOPPED_S + 2 * TAIL_S))
        await asyncio.sleep(FIRST_S)
        stopped = fleet.silence_daemons(0.5, STOPPED_S)
        await asyncio.gather(stopped, fleet.refuse("desk", 1.0, STOPPED_S + TAIL_S))
        await load

    fleet = run_fleet(tmp_path, SEED, STOPPED_PLAN, disturb)
    found = repeats_beyond_budget(fleet)
    assert not found, "\n".join(found)


def test_requests_read_late_by_a_daemon_raise_no_budget_of_a_service_they_have_left(
    tmp_path: Path,
) -> None:
    # Reads are routed away from full engines, which refuse, while all daemons are stopped.
    async def disturb(fleet: Fleet) -> None:
        load = asyncio.create_task(fleet.load(FIRST_S + STOPPED_S + 2 * TAIL_S))
        await asyncio.sleep(GAP_S)
        fleet.configure(read_service="engines")
        await asyncio.sleep(FIRST_S - GAP_S)
        stopped = asyncio.create_task(fleet.silence_daemons(1.0, STOPPED_S))
        refused = asyncio.create_task(fleet.refuse("engines", 1.0, STOPPED_S + TAIL_S))
        await asyncio.sleep(ROUTED_AWAY_S)
        fleet.configure(read_service="desk")
        await asyncio.gather(stopped, refused)
        await load

    plan = replace(STOPPED_PLAN, endpoints=EndpointOptions(capacity=2, escalating=0.0))
    fleet = run_fleet(tmp_path, SEED, plan, disturb)
    found = repeats_beyond_budget(fleet)
    assert not found, "\n".join(found)


@pytest.fixture(scope="module")
def mixed(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet after a short series of disturbances of all kinds."""
    folder = tmp_path_factory.mktemp("fleet")
    return run_fleet(folder, SEED, FleetPlan(daemons=3), play(SHORT_DISTURBANCES))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_disturbed_fleet_breaks_no_rule(mixed: Fleet, check: Check) -> None:
    found = check(mixed)
    assert not found, "\n".join(found)


def play(disturbances: int) -> Callable[[Fleet], Awaitable[None]]:
    """Return a play of mixed disturbances."""

    async def disturb(fleet: Fleet) -> None:
        await play_mixed(fleet, disturbances, fleet.plan.window_s + 0.5, MEAN_GAP_S)

    return disturb


def drawn_plan(seed: int) -> FleetPlan:
    """Return a fleet that is drawn by a seed."""
    rng = Random(f"plan {seed}")
    endpoints = EndpointOptions(
        backlog=rng.choice((5, 100)),
        capacity=rng.choice((2, 10, 40)),
        half_close=rng.random() < 0.5,
        escalating=rng.choice((0.0, 0.2)),
    )
    ratio, window_s = rng.choice(((0.15, 6.0), (0.3, 3.0), (0.5, 2.0)))
    return FleetPlan(
        daemons=rng.choice((2, 2, 3, 4, 6, 8, 12)),
        endpoints=endpoints,
        ratio=ratio,
        window_s=window_s,
        deadline_s=rng.choice((1.0, 2.0, 5.0)),
    )


def summary(fleet: Fleet) -> str:
    """Return what was done, and what callers and endpoints saw."""
    start = fleet.notes[0][0]
    complete = [call for call in fleet.calls if call.outcome == "complete" and call.status == 200]
    in_time = sum(call.ended - call.sent <= fleet.plan.deadline_s for call in complete)
    lines = [f"{t - start:6.2f} ({t:.2f}) {text}" for t, text in fleet.notes]
    lines += [f"{fleet.plan}", f"{len(complete)} of {len(fleet.calls)} answered, {in_time} in time"]
    fullest = max(repeat_windows(fleet), key=lambda w: w.repeats / w.allowed, default=None)
    lines.append(f"fullest window: {fullest}")
    for check in (*CHECKS, ran_twice):
        found = check(fleet)
        lines += [f"{check.__name__}: {len(found)}", *(f"    {text}" for text in found[:SHOWN])]
    return "\n".join(lines)


def main(folder: Path, seed: int) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    fleet = run_fleet(folder, seed, drawn_plan(seed), play(DISTURBANCES))
    text = summary(fleet)
    (folder / "summary.txt").write_text(text)
    print(f"== seed {seed}\n{text}", flush=True)


if __name__ == "__main__":
    for argument in sys.argv[2:]:
        main(Path(sys.argv[1]) / argument, int(argument))
