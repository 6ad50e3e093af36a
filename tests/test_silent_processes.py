"""Endpoint processes that fall silent while the configuration changes.

By hand: `python -m tests.test_silent_processes FOLDER OPTIONS SEED...` prints what was found.
"""

import asyncio
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest
from msgspec.json import decode

from tests.deadline_checks import too_much_time
from tests.endpoint_logs import (
    cut_and_left,
    late_begins,
    lost,
    ran_twice,
    refused_though_run,
    repeat_windows,
    repeats_beyond_budget,
    runs_by_id,
    too_many_endpoints,
)
from tests.endpoint_process import EndpointOptions
from tests.fleet_plan import FleetPlan
from tests.fleet_plays import play
from tests.platform_processes import Fleet, running_fleet

ROUNDS = 2
LONG_ROUNDS = 4
# By then, the budget of repeats has the requests of a whole window.
FIRST_S = 6.5
SEED = 1
SHOWN = 12
Check = Callable[[Fleet], list[str]]
CHECKS: tuple[Check, ...] = (
    too_many_endpoints,
    repeats_beyond_budget,
    too_much_time,
    lost,
    cut_and_left,
    ran_twice,
    refused_though_run,
)


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Fleet:
    """Return a fleet after a short run.

    Its endpoints notice a reset, but no end of file. No stream escalates, so that the whole budget
    of repeats is left for the silences.
    """

    async def run() -> Fleet:
        options = EndpointOptions(half_close=True, escalating=0.0)
        plan = FleetPlan(endpoints=options)
        async with running_fleet(tmp_path_factory.mktemp("fleet"), SEED, plan) as fleet:
            await play(fleet, ROUNDS, FIRST_S)
        return fleet

    return asyncio.run(run())


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
def test_silent_endpoints_break_no_rule(played: Fleet, check: Check) -> None:
    found = check(played)
    assert not found, "\n".join(found)


def summary(fleet: Fleet) -> str:
    """Return what was done, and what callers and endpoints saw."""
    start = fleet.notes[0][0]
    lines = [f"{t - start:6.2f} ({t:.2f}) {text}" for t, text in fleet.notes]
    outcomes = Counter((call.kind, call.outcome, call.status) for call in fleet.calls)
    lines += [f"{kind} {outcome} {status}: {n}" for (kind, outcome, status), n in outcomes.items()]
    ends = Counter(run.how for runs in runs_by_id(fleet).values() for run in runs)
    fullest = max(repeat_windows(fleet), key=lambda w: w.repeats / w.allowed, default=None)
    lines += [f"runs by end: {dict(ends)}", f"fullest window: {fullest}"]
    for check in (*CHECKS, late_begins):
        found = check(fleet)
        lines += [f"{check.__name__}: {len(found)}", *(f"    {text}" for text in found[:SHOWN])]
    return "\n".join(lines)


async def main(folder: Path, options: EndpointOptions, seed: int) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    async with running_fleet(folder, seed, FleetPlan(endpoints=options)) as fleet:
        await play(fleet, LONG_ROUNDS, FIRST_S)
    print(f"== seed {seed}\n{summary(fleet)}", flush=True)


if __name__ == "__main__":
    given = decode(sys.argv[2], type=EndpointOptions)
    for argument in sys.argv[3:]:
        asyncio.run(main(Path(sys.argv[1]) / argument, given, int(argument)))
