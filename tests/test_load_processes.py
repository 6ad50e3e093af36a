"""Endpoint processes that report their load, while processes end and probes fail.

By hand: `python -m tests.test_load_processes FOLDER SEED...` plays fleets that are drawn by the
seeds, and prints what was found.
"""

import asyncio
import re
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from msgspec.structs import replace

from tests.deadline_checks import handed_time, too_much_time
from tests.endpoint_logs import (
    answers_of_others,
    ran_twice,
    refused_though_run,
    repeat_windows,
    repeats_beyond_budget,
    too_many_endpoints,
)
from tests.endpoint_process import EndpointOptions, HealthFault
from tests.endpoint_runs import runs_by_id
from tests.faulty_link import LinkFault
from tests.fleet_plan import FleetPlan
from tests.fleet_plays import play_each, play_mixed, play_wide
from tests.loss_checks import ended_by_themselves, excused_losses, lost_in_plays
from tests.platform_processes import Fleet
from tests.platform_worker import HEALTH_PATH
from tests.test_repeat_processes import run_fleet

SHOWN = 12
SEED = 1
FIRST_S = 3.0
DISTURBANCES = 8
WIDE_DISTURBANCES = 5
MEAN_GAP_S = 1.0
# Requests at once beyond those that the load has in a service.
AMPLE_ROOM = 60
# Several times as long as a health path keeps a fault.
FAULTS_S = 9.0
# Load of the play with a zone that is cut off, as a multiple of the usual one: the probes that a
# daemon may send suffice for it.
CUT_LOAD = 0.1
CUT_S = 6.0
POLL_S = 0.005
# Time from the readiness of a daemon on that its first answers take, and time before the end of a
# cut whose requests may outlast it.
LEARNING_S = 1.0
CUT_END_S = 1.0
# Probes of a few seconds without which a play would show nothing.
MIN_PROBES = 20
HEALTH_FAULTS = tuple(HealthFault)
PLAN = FleetPlan(
    endpoints=EndpointOptions(half_close=True, backlog=100),
    ratio=0.9,
    slack=20,
    zones=("a", "b"),
    speeds=(0.7, 1.0, 1.7),
)
# A link passes a reset on as an end of file, which ends no request at endpoints with half-close:
# there, TWICE would count streams that were left.
LINKED_PLAN = replace(
    PLAN, endpoints=replace(PLAN.endpoints, half_close=False), daemons=1, has_links=True
)
Check = Callable[[Fleet], list[str]]
CHECKS: tuple[Check, ...] = (
    too_many_endpoints,
    repeats_beyond_budget,
    too_much_time,
    refused_though_run,
    ran_twice,
    answers_of_others,
    lost_in_plays,
    ended_by_themselves,
)


def unanswered(fleet: Fleet) -> list[str]:
    """Return the requests without a success in time, where nothing was disturbed but probes."""
    runs = runs_by_id(fleet)
    return [
        f"{call.id} {call.kind} {call.outcome} {call.status} at {call.used_share:.2f},"
        f" {call.reason} {', '.join(map(str, runs[call.id]))}"
        for call in fleet.calls
        if call.outcome != "complete" or call.status != 200 or call.ended > call.until
    ]


def probes(fleet: Fleet) -> Counter[str]:
    """Return the number of probes that endpoints have read, by the fault that they met."""
    return Counter(event.how for event in fleet.events() if event.event == "probed")


@pytest.fixture(scope="module")
def disturbed(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet after a short play in which daemons and endpoints end and fall silent."""
    plan = replace(PLAN, daemons=3)
    return run_fleet(
        tmp_path_factory.mktemp("fleet"), SEED, plan, lambda fleet: play_each(fleet, FIRST_S)
    )


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_ends_of_processes_break_no_rule_while_load_is_sampled(
    disturbed: Fleet, check: Check
) -> None:
    found = check(disturbed)
    assert not found, told(disturbed, found)


def test_load_is_sampled_while_processes_end(disturbed: Fleet) -> None:
    # Without probes, the other tests of the play would show nothing.
    assert probes(disturbed)[HealthFault.NONE] >= MIN_PROBES


@pytest.fixture(scope="module")
def misled(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet after a play in which only the health paths have faults."""
    # With less room, one endpoint gets the requests of those that are silent or say that they are
    # full, and refuses some.
    endpoints = replace(PLAN.endpoints, health_faults=HEALTH_FAULTS, capacity=AMPLE_ROOM)
    plan = replace(PLAN, endpoints=endpoints)
    folder = tmp_path_factory.mktemp("fleet")
    return run_fleet(folder, SEED, plan, lambda fleet: fleet.load(FAULTS_S))


@pytest.mark.parametrize("check", (*CHECKS, unanswered), ids=lambda check: check.__name__)
def test_faults_of_health_paths_break_no_rule_and_cost_no_answer(
    misled: Fleet, check: Check
) -> None:
    # The endpoints answer requests all the time, so nothing that a probe says or leaves unsaid may
    # cost a caller its answer.
    found = check(misled)
    assert not found, told(misled, found)


def test_probes_meet_all_faults_of_health_paths(misled: Fleet) -> None:
    # Without them, the other tests of the play would show nothing.
    assert set(probes(misled)) >= set(HEALTH_FAULTS)


@pytest.fixture(scope="module")
def cut_off(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet whose daemon was killed as probes of a zone that was cut off were under way.

    The new process starts while the zone is still cut off.
    """
    folder = tmp_path_factory.mktemp("fleet")
    return run_fleet(folder, SEED, LINKED_PLAN, cut_zone)


async def cut_zone(fleet: Fleet) -> None:
    """Cut off a zone, and kill the daemon as soon as a link holds a probe of it back."""
    ended = asyncio.Event()
    fleet.set_load(CUT_LOAD)
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(FIRST_S)
    cut = asyncio.create_task(fleet.break_links_to_zone("b", LinkFault.CUT, CUT_S))
    async with asyncio.timeout(CUT_S):
        while not held_probes(fleet):
            await asyncio.sleep(POLL_S)
    await fleet.restart_daemon(True, 0.0)
    (host,) = fleet.daemons.hosts
    await fleet.daemons.wait_ready(host)
    fleet.note("the daemon is ready")
    await cut
    ended.set()
    await load


def held_probes(fleet: Fleet) -> int:
    """Return the number of probes that links have held back."""
    probe = f"GET {HEALTH_PATH} ".encode()
    pieces = [piece for link in fleet.link_by_id.values() for piece in link.held]
    return sum(piece.startswith(probe) for piece in pieces)


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_daemon_killed_while_probes_of_a_cut_zone_are_under_way_breaks_no_rule(
    cut_off: Fleet, check: Check
) -> None:
    found = check(cut_off)
    assert not found, told(cut_off, found)


def test_requests_go_to_the_other_zone_while_probes_of_a_cut_zone_time_out(cut_off: Fleet) -> None:
    # A new process has to learn by its own probes that the zone is cut off.
    began = time_of(cut_off, "the daemon is ready") + LEARNING_S
    ends = time_of(cut_off, "links to zone b pass all again") - CUT_END_S
    calls = [call for call in cut_off.calls if began <= call.sent <= ends]
    failed = [
        f"{call.id} {call.kind} {call.outcome} {call.status} at {call.used_share:.2f}"
        for call in calls
        if call.outcome != "complete" or call.status != 200
    ]
    assert calls and not failed, told(cut_off, failed)
    (host,) = cut_off.daemons.hosts
    missed = missed_probes(cut_off, host)
    assert missed and missed <= set(cut_off.ids_in("b")), told(cut_off, sorted(missed))


def missed_probes(fleet: Fleet, host: str) -> set[str]:
    """Return the endpoints whose probes a daemon has missed, by its log."""
    log = fleet.daemons.by_host[host].log()
    return set(re.findall(r"event=load_probe_missed endpoint=(\S+)", log))


def time_of(fleet: Fleet, text: str) -> float:
    """Return when something was noted."""
    return next(at for at, noted in fleet.notes if noted == text)


def play_ends(disturbances: int) -> Callable[[Fleet], Awaitable[None]]:
    """Return a play of silences, refusals, and ends of daemons and endpoints."""

    async def disturb(fleet: Fleet) -> None:
        await play_mixed(fleet, disturbances, FIRST_S, MEAN_GAP_S)

    return disturb


def drawn(seed: int) -> tuple[FleetPlan, Callable[[Fleet], Awaitable[None]], str]:
    """Return a fleet and a play that are drawn by a seed, and the name of the play."""
    rng = Random(f"load {seed}")
    faults = rng.choice(((), HEALTH_FAULTS, tuple(rng.sample(HEALTH_FAULTS, 3))))
    endpoints = replace(
        PLAN.endpoints,
        health_faults=faults,
        capacity=rng.choice((4, 10)),
        half_close=rng.random() < 0.5,
    )
    plan = replace(
        PLAN,
        daemons=rng.choice((1, 2, 3, 4)),
        endpoints=endpoints,
        zones=rng.choice((("a", "b"), ("a", "b", "c"))),
        deadline_s=rng.choice((3.0, 5.0)),
        speeds=rng.choice(((0.7, 1.0, 1.7), (0.5, 2.5))),
    )
    kind = rng.choice(("each", "ends", "ends", "wide", "cut", "faults"))
    if kind in ("wide", "cut"):
        linked = replace(plan, has_links=True, endpoints=replace(endpoints, half_close=False))
        if kind == "cut":
            return replace(linked, daemons=1), cut_zone, kind
        return linked, lambda fleet: play_wide(fleet, WIDE_DISTURBANCES), kind
    if kind == "each":
        # A daemon that is stopped and one that ends leave one that serves.
        return replace(plan, daemons=3), lambda fleet: play_each(fleet, FIRST_S), kind
    if kind == "faults":
        return plan, lambda fleet: fleet.load(2 * FAULTS_S), kind
    return plan, play_ends(DISTURBANCES), kind


def told(fleet: Fleet, found: list[str]) -> str:
    """Return what a check found, and what was done to the fleet."""
    return "\n".join([*found[:SHOWN], summary(fleet)])


def summary(fleet: Fleet) -> str:
    """Return what was done, and what callers and endpoints saw."""
    start = fleet.notes[0][0]
    lines = [f"{t - start:6.2f} ({t:.2f}) {text}" for t, text in fleet.notes]
    outcomes = Counter((call.kind, call.outcome, call.status) for call in fleet.calls)
    lines += [f"{kind} {outcome} {n}: {count}" for (kind, outcome, n), count in outcomes.items()]
    ends = Counter(run.how for runs in runs_by_id(fleet).values() for run in runs)
    fullest = max(repeat_windows(fleet), key=lambda w: w.repeats / w.allowed, default=None)
    excuses = Counter(excuse for _, excuse in excused_losses(fleet))
    lines += [
        f"{fleet.plan}",
        f"probes read by fault: {dict(probes(fleet))}, held back by links: {held_probes(fleet)}",
        f"runs by end: {dict(ends)}",
        f"fullest window: {fullest}",
        f"time handed on: {handed_time(fleet)}",
        f"excused losses: {dict(excuses)}",
    ]
    for check in (*CHECKS, unanswered):
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
