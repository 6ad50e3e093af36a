"""The report on service-level burn as a table and as a plot."""

from collections.abc import Sequence
from pathlib import Path

from comfreyhatch.decisions.burn import ALERT_WINDOWS, BUCKET_S, BurnCount, BurnReport
from comfreyhatch.porcelain.table import table

CAUSES_SHOWN = 6
PLOT_SIZE_INCHES = (10, 5)


def burn_lines(report: BurnReport) -> list[str]:
    """Return the report as text."""
    if not report.objectives:
        return ["no request in the period"]
    rows = [
        (
            burn.customer,
            burn.objective.value,
            burn.total,
            burn.bad,
            f"{burn.allowed:.2%}",
            f"{burn.budget_left:.0%}",
            *(f"{burn.rate_by_window[name]:.2f}" for name in burn.rate_by_window),
            " ".join(burn.alerts),
        )
        for burn in report.objectives
    ]
    windows = [f"{w.name.upper()} {_span(s)}" for w in ALERT_WINDOWS for s in (w.long_s, w.short_s)]
    headings = ("CUSTOMER", "OBJECTIVE", "REQUESTS", "MISSED", "ALLOWED", "BUDGET LEFT")
    lines = table((*headings, *windows, "ALERT"), rows)
    for burn in report.objectives:
        causes = [
            f"{item.axis} {item.value} {item.bad}" for item in burn.contributions[:CAUSES_SHOWN]
        ]
        if causes:
            lines.append(f"{burn.customer} {burn.objective.value} missed by: {', '.join(causes)}")
    return lines


def plot_burn(counts: Sequence[BurnCount], report: BurnReport, path: Path) -> None:
    """Write a plot of the misses by minute; the suffix of the path names the format."""
    # Loading the plot library takes long, so that other commands do without.
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE_INCHES)
    axes = figure.add_subplot()
    for burn in report.objectives:
        bad_by_start: dict[int, int] = {}
        total_by_start: dict[int, int] = {}
        for count in counts:
            key = count.key
            if (key.customer, key.objective) == (burn.customer, burn.objective):
                bad_by_start[key.start_s] = bad_by_start.get(key.start_s, 0) + count.bad
                total_by_start[key.start_s] = total_by_start.get(key.start_s, 0) + count.total
        starts = sorted(total_by_start)
        shares = [bad_by_start[start] / total_by_start[start] for start in starts]
        minutes = [(start - report.to_unix_s) / BUCKET_S for start in starts]
        axes.plot(minutes, shares, marker=".", label=f"{burn.customer} {burn.objective.value}")
    axes.set_xlabel("minutes before the end of the report")
    axes.set_ylabel("share of requests that missed the objective")
    if report.objectives:
        axes.legend(fontsize="small")
    figure.savefig(path)


def _span(seconds: int) -> str:
    return f"{seconds // 3600}H" if seconds % 3600 == 0 else f"{seconds // 60}M"
