"""Endpoint processes that send copies of earlier answers, while daemons get SIGTERM and SIGHUP.

By hand: `python -m tests.test_copied_processes FOLDER [plain] SEED...` plays mixed disturbances of
fleets that are drawn by the seeds, and prints what was found; with `plain`, the same without copies
and without requests that are sent again under the same id.
"""

import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from msgspec.json import encode
from msgspec.structs import replace

from tests.copying_writer import CopyOptions
from tests.deadline_checks import too_much_time
from tests.endpoint_logs import (
    answers_of_others,
    failed_beside_copies,
    ran_twice,
    refused_though_run,
    repeat_windows,
    repeats_beyond_budget,
    too_many_endpoints,
)
from tests.endpoint_process import AfterReset, EndpointOptions
from tests.endpoint_runs import runs_by_id
from tests.fleet_plan import FleetPlan
from tests.fleet_plays import play_planned
from tests.loss_checks import (
    copies_sent,
    ended_by_themselves,
    ended_late,
    excused_losses,
    lost_in_plays,
)
from tests.platform_processes import Fleet
from tests.test_repeat_processes import drawn_plan, play, run_fleet

SEED = 1
SHOWN = 12
FIRST_S = 3.0
ROUNDS = 2
DISTURBANCES = 8
# Of the seeds by hand, one in three has planned work only.
PLANNED_EVERY = 3
COPIES = CopyOptions(refusals=0.2, successes=0.1, own=0.9, nameless=0.2, early=0.3, doubled=0.2)
PLAN = FleetPlan(
    endpoints=EndpointOptions(capacity=2, backlog=100, half_close=True, copies=COPIES),
    ratio=0.9,
    slack=20,
    again=1.0,
)
Check = Callable[[Fleet], list[str]]
CHECKS: tuple[Check, ...] = (
    too_many_endpoints,
    repeats_beyond_budget,
    too_much_time,
    refused_though_run,
    ran_twice,
    answers_of_others,
    failed_beside_copies,
    lost_in_plays,
    ended_late,
    ended_by_themselves,
)


@pytest.fixture(scope="module")
def copied(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet after a short run with planned work, silences and refusals."""

    async def disturb(fleet: Fleet) -> None:
        await play_planned(fleet, FIRST_S, ROUNDS)

    return run_fleet(tmp_path_factory.mktemp("fleet"), SEED, PLAN, disturb)


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_copies_of_earlier_answers_break_no_rule(copied: Fleet, check: Check) -> None:
    found = check(copied)
    assert not found, "\n".join(found)


def test_copies_of_refusals_and_successes_with_and_without_ids_are_sent(copied: Fleet) -> None:
    # Without them, the other tests of this module would show nothing.
    copies = copies_sent(copied)
    assert {event.status for event in copies} >= {200, 503}
    assert any(event.id == "" for event in copies)
    assert any(event.id not in ("", event.before) for event in copies)


def copying_plan(seed: int) -> FleetPlan:
    """Return a fleet with copies that is drawn by a seed."""
    plan = drawn_plan(seed)
    rng = Random(f"copies {seed}")
    copies = CopyOptions(
        refusals=rng.choice((0.1, 0.3, 0.6)),
        successes=rng.choice((0.0, 0.1, 0.3)),
        own=rng.choice((0.3, 0.9)),
        nameless=rng.choice((0.0, 0.2, 1.0)),
        early=rng.choice((0.0, 0.3, 1.0)),
        doubled=rng.choice((0.0, 0.2)),
        seed=seed,
    )
    # Most endpoints notice a reset at once.
    after_reset = rng.choice([AfterReset.ENDS, AfterReset.ENDS, *AfterReset])
    endpoints = replace(plan.endpoints, copies=copies, after_reset=after_reset)
    ratio, slack = rng.choice(((plan.ratio, plan.slack), (0.9, 20)))
    return replace(
        plan,
        # Few, of which each ends and starts in its turn in some seconds.
        daemons=rng.choice((2, 3, 4)),
        endpoints=endpoints,
        ratio=ratio,
        slack=slack,
        deadline_s=rng.choice((3.0, 5.0)),
        again=0.5,
        signals=rng.random() < 0.8,
    )


def without_copies(plan: FleetPlan) -> FleetPlan:
    """Return a plan without copies and requests that are sent again under the same id."""
    return replace(plan, again=0.0, endpoints=replace(plan.endpoints, copies=CopyOptions()))


def summary(fleet: Fleet) -> str:
    """Return what was done, and what callers and endpoints saw."""
    start = fleet.notes[0][0]
    lines = [f"{t - start:6.2f} ({t:.2f}) {text}" for t, text in fleet.notes]
    outcomes = Counter((call.kind, call.outcome, call.status) for call in fleet.calls)
    lines += [f"{kind} {outcome} {n}: {count}" for (kind, outcome, n), count in outcomes.items()]
    ends = Counter(run.how for runs in runs_by_id(fleet).values() for run in runs)
    copies = copies_sent(fleet)
    own = sum(event.id == event.before for event in copies)
    fullest = max(repeat_windows(fleet), key=lambda w: w.repeats / w.allowed, default=None)
    lines += [
        f"plan: {fleet.plan}",
        f"runs by end: {dict(ends)}",
        f"copies: {dict(Counter(e.status for e in copies))}, {own} with the id under way",
        f"fullest window: {fullest}",
        f"losses that no rule counts: {dict(Counter(why for _, why in excused_losses(fleet)))}",
    ]
    for check in CHECKS:
        found = check(fleet)
        lines += [f"{check.__name__}: {len(found)}", *(f"    {text}" for text in found[:SHOWN])]
    return "\n".join(lines)


def main(folder: Path, seed: int, plain: bool) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    plan = without_copies(copying_plan(seed)) if plain else copying_plan(seed)

    async def planned(fleet: Fleet) -> None:
        await play_planned(fleet, FIRST_S, ROUNDS)

    disturb = play(DISTURBANCES) if seed % PLANNED_EVERY else planned
    fleet = run_fleet(folder, seed, plan, disturb)
    text = summary(fleet)
    (folder / "summary.txt").write_text(text)
    (folder / "calls.jsonl").write_bytes(b"\n".join(encode(call) for call in fleet.calls))
    print(f"== seed {seed}{' plain' if plain else ''}\n{text}", flush=True)


if __name__ == "__main__":
    is_plain = sys.argv[2] == "plain"
    for argument in sys.argv[3 if is_plain else 2 :]:
        name = f"{argument}-plain" if is_plain else argument
        main(Path(sys.argv[1]) / name, int(argument), is_plain)
