"""Measures the policy under load and faults: python -m bench.policy [--help]."""

import asyncio
import logging
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

import typer
from msgspec.json import encode

from bench.policy_figures import Figures, figures_of
from bench.policy_fleet import DEPLOYMENT_BY_NAME, PolicyFleet
from bench.policy_load import Load, engine_alone
from bench.policy_report import write_report
from bench.policy_scenarios import SCENARIO_BY_NAME, Marks
from comfreyhatch.domain.policy import PolicySettings

POLICY_BY_NAME = {
    "learned": PolicySettings(seed=1),
    "dearest": PolicySettings(plans="dearest", seed=1),
    "cheapest": PolicySettings(plans="cheapest", seed=1),
    "uniform": PolicySettings(endpoints="uniform", seed=1),
    "no-quarantine": PolicySettings(quarantine=False, seed=1),
}
BASELINES = (
    ("steady", "dearest"),
    ("steady", "cheapest"),
    ("steady", "uniform"),
    ("cold-at-peak", "uniform"),
    ("bad-version", "no-quarantine"),
)


async def measure(deployment_name: str, scenario_name: str, policy: str, seed: int) -> Figures:
    """Run one scenario and return its figures."""
    deployment = DEPLOYMENT_BY_NAME[deployment_name]
    scenario = SCENARIO_BY_NAME[scenario_name]
    marks = Marks()
    async with PolicyFleet(deployment, POLICY_BY_NAME[policy]) as fleet:
        alone = await engine_alone(next(iter(fleet.engine_by_id.values())).instance)
        load = Load(deployment, seed, fleet.caller_addresses)
        script = asyncio.create_task(scenario.script(fleet, marks))
        await load.run(scenario.duration_s, scenario.rate_factor)
        script.cancel()
        await asyncio.gather(script, return_exceptions=True)
        records: dict[str, Any] = {}
        for daemon in fleet.all_daemons:
            records.update(daemon.records.record_by_id)
        return figures_of(load, marks, records, alone)


def run_one(task: tuple[str, str, str, int]) -> tuple[tuple[str, str, str, int], Figures]:
    """Run one scenario in a process of its own."""
    logging.disable(logging.ERROR)
    return task, asyncio.run(measure(*task))


def main(
    out: Annotated[Path, typer.Option(help="Folder for tables and plot.")] = Path(
        "docs/measurements"
    ),
    jobs: Annotated[int, typer.Option(help="Runs at once.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 7,
    only: Annotated[str, typer.Option(help="Part of a scenario's name.")] = "",
    deployment: Annotated[str, typer.Option(help="Part of a deployment's name.")] = "",
    policy: Annotated[str, typer.Option(help="Part of a policy's name.")] = "",
) -> None:
    """Measure all scenarios of both deployments, and the baselines."""
    runs = [(s, "learned") for s in SCENARIO_BY_NAME] + list(BASELINES)
    tasks = [
        (d, s, p, seed)
        for d in DEPLOYMENT_BY_NAME
        for s, p in runs
        if only in s and deployment in d and policy in p
    ]
    with ProcessPoolExecutor(jobs, get_context("spawn"), max_tasks_per_child=1) as pool:
        results = list(pool.map(run_one, tasks))
    for task, figures in results:
        typer.echo(f"{task} {encode(figures).decode()}")
    write_report(out, results)


if __name__ == "__main__":
    typer.run(main)
