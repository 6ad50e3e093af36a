"""Checks a configuration of routes and services against the one in force before it is sent."""

from collections.abc import Iterable
from hashlib import sha256

from comfreyhatch.domain.catalog import BackendService, Catalog, RequestKind, Route
from comfreyhatch.domain.finding import Finding, FindingCode

# Digits of the digest by which a finding names an API key; the key itself is a secret.
KEY_DIGITS = 8
ROOT = "/"


def catalog_findings(catalog: Catalog, in_force: Catalog | None) -> list[Finding]:
    """Return what is wrong with a configuration that is to be sent.

    Args:
        catalog: The configuration.
        in_force: The one that it is to replace; None if there is none.
    """
    found: list[Finding] = []
    for routes in catalog.routes_by_host.values():
        found += _match_findings(routes)
        for route in routes:
            found += _time_findings(route)
            found += _service_findings(route, catalog)
    for service in catalog.service_by_name.values():
        found += _capacity_findings(service)
    found += _unused_services(catalog)
    found += _listener_findings(catalog)
    found += _caller_findings(catalog)
    if in_force is not None:
        found += _order_findings(catalog, in_force)
        found += _removals(in_force, catalog)
    return sorted(set(found))


def key_name(key: str) -> str:
    """Return a name for an API key that doesn't give it away."""
    return f"key {sha256(key.encode()).hexdigest()[:KEY_DIGITS]}..."


def all_routes(catalog: Catalog) -> list[Route]:
    """Return the routes of all hosts, in the order in which they are tried."""
    return [route for routes in catalog.routes_by_host.values() for route in routes]


def _match_findings(routes: Iterable[Route]) -> list[Finding]:
    """Return the routes of one host, in the order in which they are tried, that never match."""
    found: list[Finding] = []
    name_by_prefix: dict[str, str] = {}
    for route in routes:
        earlier = name_by_prefix.setdefault(route.prefix, route.name)
        reason = _mismatch(route)
        if reason:
            found.append(Finding(FindingCode.NEVER_MATCHES, _where(route), reason))
        elif earlier != route.name:
            message = f"route {earlier} with the same host and prefix comes first"
            found.append(Finding(FindingCode.NEVER_MATCHES, _where(route), message))
        elif not route.prefix and ROOT in name_by_prefix:
            message = f"route {name_by_prefix[ROOT]} takes all paths that its empty prefix matches"
            found.append(Finding(FindingCode.COVERED, _where(route), message))
    return found


def _mismatch(route: Route) -> str:
    """Return why no request has a route's host and prefix; empty if one may."""
    _, colon, port = route.host.rpartition(":")
    if colon and port.isdecimal():
        return f"host {route.host!r} has a port, and requests are compared without theirs"
    if route.prefix and not route.prefix.startswith(ROOT):
        return f"prefix {route.prefix!r} doesn't begin with a slash"
    if "?" in route.prefix or any(char.isspace() for char in route.prefix):
        return f"prefix {route.prefix!r} has characters that no path has"
    return ""


def _time_findings(route: Route) -> list[Finding]:
    """Return the limits of a route that are zero or contradict each other."""
    where = _where(route)
    found = [
        Finding(FindingCode.ZERO_LIMIT, where, f"{name} is {value_s:g} s")
        for name, value_s in (("the timeout", route.timeout_s), ("the target", route.aim_s))
        if value_s <= 0
    ]
    if route.gap_aim_s < 0:
        message = f"the longest gap is {route.gap_aim_s:g} s"
        found.append(Finding(FindingCode.ZERO_LIMIT, where, message))
    for name, value_s in (("the target", route.aim_s), ("the longest gap", route.gap_aim_s)):
        if value_s > route.timeout_s > 0:
            message = f"{name} of {value_s:g} s is above the timeout of {route.timeout_s:g} s"
            found.append(Finding(FindingCode.CONTRADICTION, where, message))
    if route.kind is RequestKind.NON_IDEMPOTENT and route.resumable:
        message = "it is resumable, which lets its requests that aren't idempotent run again"
        found.append(Finding(FindingCode.CONTRADICTION, where, message))
    return found


def _service_findings(route: Route, catalog: Catalog) -> list[Finding]:
    found: list[Finding] = []
    for share in route.shares:
        service = catalog.service_by_name.get(share.service)
        if service is None:
            message = f"service {share.service!r} is not defined"
            found.append(Finding(FindingCode.UNKNOWN_SERVICE, _where(route), message))
            continue
        served = {model.name for model in service.engine.models} if service.engine else set()
        for model in route.models:
            if model not in served:
                message = f"service {service.name} doesn't serve model {model}"
                found.append(Finding(FindingCode.NOT_SERVED, _where(route), message))
    return found


def _capacity_findings(service: BackendService) -> list[Finding]:
    where = f"service {service.name}"
    found: list[Finding] = []
    if service.engine is not None:
        limits = (
            ("capacity", service.engine.slots),
            ("stride", service.engine.tokens_per_event),
        )
        found += [
            Finding(FindingCode.ZERO_LIMIT, where, f"{name} of its engines is {value}")
            for name, value in limits
            if value <= 0
        ]
    if service.cold_per_s > 0 >= service.cold_s:
        message = "cold_per_s limits a cold start, but cold_s is 0"
        found.append(Finding(FindingCode.UNUSED, where, message))
    return found


def _unused_services(catalog: Catalog) -> list[Finding]:
    used = {share.service for route in all_routes(catalog) for share in route.shares}
    return [
        Finding(FindingCode.UNUSED, f"service {name}", "no route leads to it")
        for name in sorted(catalog.service_by_name.keys() - used)
    ]


def _listener_findings(catalog: Catalog) -> list[Finding]:
    limits = catalog.limits
    if limits is None:
        return []
    values: tuple[tuple[str, float], ...] = (
        ("max_header_bytes", limits.header_bytes),
        ("max_body_bytes", limits.body_bytes),
        ("header_timeout_ms", limits.header_timeout_s),
        ("idle_timeout_ms", limits.idle_timeout_s),
    )
    return [
        Finding(FindingCode.ZERO_LIMIT, "limits", f"{name} is not above 0")
        for name, value in values
        if value <= 0
    ]


def _caller_findings(catalog: Catalog) -> list[Finding]:
    """Return what is wrong with the API keys of the workspaces."""
    found: list[Finding] = []
    if not catalog.workspace_by_key:
        found += [
            Finding(FindingCode.NO_KEY, _where(route), "it needs an API key, and no tenant has one")
            for route in all_routes(catalog)
            if not route.public
        ]
    return found


def _order_findings(catalog: Catalog, in_force: Catalog) -> list[Finding]:
    if catalog.version > in_force.version or catalog == in_force:
        return []
    message = f"version {catalog.version} doesn't follow version {in_force.version} in force"
    return [Finding(FindingCode.NOT_NEWER, "version", message)]


def _removals(before: Catalog, after: Catalog) -> list[Finding]:
    """Return what is served now and no longer afterwards."""
    found: list[Finding] = []
    for route in all_routes(before):
        where = _where(route)
        now = after.route(route.host, route.prefix)
        if now is None:
            message = f"no route takes {route.host}{route.prefix} any more"
            found.append(Finding(FindingCode.ACCESS_REMOVED, where, message))
        elif route.public and not now.public:
            message = f"{route.host}{route.prefix} needs an API key from then on"
            found.append(Finding(FindingCode.ACCESS_REMOVED, where, message))
    for key in sorted(before.workspace_by_key.keys() - after.workspace_by_key.keys()):
        where = f"tenant {before.workspace_by_key[key].name}"
        message = f"{key_name(key)} is taken away"
        found.append(Finding(FindingCode.ACCESS_REMOVED, where, message))
    return found


def _where(route: Route) -> str:
    return f"route {route.name}"
