"""Tables and plot of the policy measurement."""

from pathlib import Path

from matplotlib import use
from matplotlib.figure import Figure

from bench.policy_figures import Figures

Result = tuple[tuple[str, str, str, int], Figures]


def write_report(folder: Path, results: list[Result]) -> None:
    """Write the tables and the plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "policy-tables.md").write_text(tables(results), encoding="utf-8")
    _plot(folder / "policy.svg", results)


def tables(results: list[Result]) -> str:
    """Return the figures as Markdown tables."""
    parts = ["Made by `python -m bench.policy`.\n"]
    for deployment in dict.fromkeys(task[0] for task, _ in results):
        rows = [result for result in results if result[0][0] == deployment]
        parts += [f"## {deployment}\n", _cost_table(rows), _time_table(rows), _fault_table(rows)]
    return "\n".join(parts)


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _cost_table(results: list[Result]) -> str:
    head = [
        "scenario",
        "policy",
        "requests",
        "answers at target",
        "micros an answer at target",
        "second half: at target",
        "second half: micros",
        "two runs",
    ]
    rows = [
        [
            scenario,
            policy,
            str(f.requests),
            f"{f.at_target:.3f}",
            f"{f.cost:.0f}",
            f"{f.late_at_target:.3f}",
            f"{f.late_cost:.0f}",
            f"{f.escalated:.2f}",
        ]
        for (_, scenario, policy, _), f in results
    ]
    return _table(head, rows)


def _time_table(results: list[Result]) -> str:
    head = [
        "scenario",
        "policy",
        "first token p50/p95/p99 ms",
        "engine alone",
        "token gap p50/p95/p99 ms",
        "engine alone",
    ]
    rows = [
        [
            scenario,
            policy,
            _slashed(f.first_token_ms),
            _slashed(f.alone_first_token_ms),
            _slashed(f.gap_ms),
            _slashed(f.alone_gap_ms),
        ]
        for (_, scenario, policy, _), f in results
    ]
    return _table(head, rows)


def _fault_table(results: list[Result]) -> str:
    head = [
        "scenario",
        "policy",
        "served in deadline",
        "by phase",
        "bad version seen / chats after",
        "quarantined after s",
        "critical dropped",
        "refusals by code",
    ]
    rows = [
        [
            scenario,
            policy,
            f"{f.served:.4f}",
            ", ".join(f"{name}: {share:.3f}" for name, share in f.served_by_phase.items()),
            f"{f.bad_seen} / {f.after_turn}" if f.after_turn else "",
            f"{f.quarantine_s:.2f}" if f.quarantine_s is not None else "",
            f"{f.critical_dropped} of {f.critical}" if f.critical else "",
            ", ".join(f"{code}: {count}" for code, count in sorted(f.refusals.items())),
        ]
        for (_, scenario, policy, _), f in results
    ]
    return _table(head, rows)


def _slashed(values: tuple[float, float, float]) -> str:
    return " / ".join(f"{value:.1f}" for value in values)


def _plot(path: Path, results: list[Result]) -> None:
    """Plot cost against the share of answers at the target in the steady scenario."""
    use("svg")
    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for (deployment, scenario, policy, _), f in results:
        if scenario == "steady":
            marker = "o" if deployment == "trackline" else "s"
            axes.plot(f.late_cost, f.late_at_target, marker, label=f"{deployment}: {policy}")
    axes.axhline(0.95, linestyle="--", linewidth=0.8, color="grey")
    axes.set_xlabel("micros for each answer at the target")
    axes.set_ylabel("share of answers at the target")
    axes.set_title("Steady day, second half of the run")
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})
