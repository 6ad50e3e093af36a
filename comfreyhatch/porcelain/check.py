"""What a check of a configuration prints."""

from typing import Any

from msgspec import Struct, to_builtins

from comfreyhatch.decisions.catalog_check import all_routes, key_name
from comfreyhatch.domain.catalog import Catalog, Route
from comfreyhatch.domain.finding import Finding, Severity
from comfreyhatch.porcelain.changes import diff_values


class FindingLine(Struct, frozen=True):
    """A finding with the name and severity of its code."""

    code: int
    name: str
    severity: str
    where: str
    message: str


class CheckReport(Struct, frozen=True):
    """Outcome of a check.

    Attributes:
        in_force: Revision or version that was compared with; None if there is none.
        errors: Number of errors.
        warnings: Number of warnings.
        findings: Findings, errors first.
        differences: Lines that would be removed ("- ") and added ("+ ").
    """

    in_force: int | None
    errors: int
    warnings: int
    findings: tuple[FindingLine, ...]
    differences: tuple[str, ...]


def check_report(
    findings: list[Finding], differences: tuple[str, ...], in_force: int | None
) -> CheckReport:
    """Return the report on findings and differences.

    Args:
        findings: The findings.
        differences: Lines that differ from the version in force.
        in_force: Revision or version in force; None if there is none.
    """
    lines = tuple(
        FindingLine(int(f.code), f.code.name, f.severity.value, f.where, f.message)
        for f in sorted(findings)
    )
    severities = [finding.severity for finding in findings]
    errors = severities.count(Severity.ERROR)
    return CheckReport(in_force, errors, len(findings) - errors, lines, differences)


def report_lines(report: CheckReport) -> list[str]:
    """Return a report as text: findings, differences, and the counts of both."""
    lines = [f"{f.severity} {f.code} {f.name} {f.where}: {f.message}" for f in report.findings]
    lines += report.differences
    counts = f"{report.errors} errors, {report.warnings} warnings"
    if report.in_force is None:
        return [*lines, f"{counts}; compared with nothing in force"]
    differing = f"{len(report.differences)} lines differ from {report.in_force} in force"
    return [*lines, f"{counts}; {differing}"]


def diff_catalogs(old: Catalog, new: Catalog) -> tuple[str, ...]:
    """Return the lines that differ between two configurations; API keys are shown as digests."""
    return diff_values(_printable(old), _printable(new))


def _printable(catalog: Catalog) -> dict[str, Any]:
    keys_by_name: dict[str, list[str]] = {}
    rank_by_name: dict[str, int | None] = {}
    for key, workspace in catalog.workspace_by_key.items():
        keys_by_name.setdefault(workspace.name, []).append(key_name(key))
        rank_by_name[workspace.name] = workspace.rank
    return {
        "version": catalog.version,
        "routes": {route.name: _printable_route(route) for route in all_routes(catalog)},
        "services": {
            name: {
                **to_builtins(service),
                "engine": _printable_engine(to_builtins(service.engine)),
            }
            for name, service in catalog.service_by_name.items()
        },
        "tenants": {
            name: {"rank": rank_by_name[name], "keys": keys} for name, keys in keys_by_name.items()
        },
        "limits": to_builtins(catalog.limits),
    }


def _printable_route(route: Route) -> dict[str, Any]:
    """Return a route with its models as one text, as their order counts."""
    return {
        **to_builtins(route),
        "shares": {share.service: share.weight for share in route.shares},
        "models": " < ".join(route.models),
    }


def _printable_engine(engine: Any) -> Any:
    if engine is None:
        return None
    return {**engine, "models": {model["name"]: model["cost"] for model in engine["models"]}}
