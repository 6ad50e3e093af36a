"""A configuration of the users' platform is checked against the one in force before it is sent."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import decode, encode

from comfreyhatch.decisions.catalog_check import catalog_findings
from comfreyhatch.domain.catalog import Catalog, RequestKind, Route, ServiceShare, group_routes
from comfreyhatch.domain.finding import Finding, FindingCode
from comfreyhatch.platform.documents import decode_catalog, document_findings
from comfreyhatch.porcelain.check import diff_catalogs
from tests.platform_harness import API_KEY, config

Change = Callable[[dict[str, Any]], object]


def document(version: int = 2) -> dict[str, Any]:
    """Return a document that may be changed, as it stands in the store."""
    copied: dict[str, Any] = decode(encode(config(version)))
    return copied


def findings(document: dict[str, Any], in_force: dict[str, Any] | None = None) -> list[Finding]:
    value = encode(document)
    catalog = decode_catalog(value)
    held = decode_catalog(encode(in_force)) if in_force else None
    assert catalog
    return document_findings(value) + catalog_findings(catalog, held)


def test_sound_document_has_no_findings() -> None:
    assert findings(document()) == []
    assert findings(document(2), document(1)) == []
    assert findings(document(1), document(1)) == []


def test_target_and_gap_of_just_the_timeout_are_sound() -> None:
    changed = document()
    changed["routes"][1].update(goal_ms=1000)
    changed["routes"][0].update(goal_ms=4000, gap_aim_ms=4000)
    assert findings(changed) == []


FAULTS: dict[str, tuple[Change, FindingCode]] = {
    "same prefix": (
        lambda d: d["routes"].append({**d["routes"][2], "name": "spare"}),
        FindingCode.NEVER_MATCHES,
    ),
    "prefix without a slash": (
        lambda d: d["routes"][1].update(prefix="read/"),
        FindingCode.NEVER_MATCHES,
    ),
    "prefix with a query": (
        lambda d: d["routes"][1].update(prefix="/read?a=1"),
        FindingCode.NEVER_MATCHES,
    ),
    "host with a port": (
        lambda d: d["routes"][1].update(host="caller.example:80"),
        FindingCode.NEVER_MATCHES,
    ),
    "backend without weight": (
        lambda d: d["routes"][1].update(
            backends=[{"service": "desk"}, {"service": "engines", "weight": 0}]
        ),
        FindingCode.NEVER_MATCHES,
    ),
    "empty prefix beside the root": (
        lambda d: d["routes"].extend(
            {**d["routes"][2], "name": prefix or "empty", "prefix": prefix} for prefix in ("", "/")
        ),
        FindingCode.COVERED,
    ),
    "key listed twice": (
        lambda d: d["tenants"][0].update(api_keys=[API_KEY, API_KEY]),
        FindingCode.COVERED,
    ),
    "route of a name twice": (
        lambda d: d["routes"].append({**d["routes"][2], "prefix": "/spare/"}),
        FindingCode.DUPLICATE_NAME,
    ),
    "service of a name twice": (
        lambda d: d["services"].append(d["services"][1]),
        FindingCode.DUPLICATE_NAME,
    ),
    "key of two tenants": (
        lambda d: d["tenants"].append({"name": "guests", "api_keys": [API_KEY]}),
        FindingCode.SHARED_KEY,
    ),
    "tenant without a key": (
        lambda d: d["tenants"].append({"name": "guests"}),
        FindingCode.NO_KEY,
    ),
    "no tenants": (lambda d: d.update(tenants=[]), FindingCode.NO_KEY),
    "empty key": (
        lambda d: d["tenants"][0].update(api_keys=[API_KEY, ""]),
        FindingCode.CONTRADICTION,
    ),
    "target above the timeout": (
        lambda d: d["routes"][1].update(goal_ms=1001),
        FindingCode.CONTRADICTION,
    ),
    "gap above the timeout": (
        lambda d: d["routes"][0].update(gap_aim_ms=4001),
        FindingCode.CONTRADICTION,
    ),
    "resumable call that isn't idempotent": (
        lambda d: d["routes"][2].update(resumable=True),
        FindingCode.CONTRADICTION,
    ),
    "model that is not served": (
        lambda d: d["routes"][0].update(sizes=["small", "huge"]),
        FindingCode.NOT_SERVED,
    ),
    "models of a plain service": (
        lambda d: d["routes"][1].update(sizes=["small"]),
        FindingCode.NOT_SERVED,
    ),
    "unknown service": (
        lambda d: d["routes"][1].update(service="dask"),
        FindingCode.UNKNOWN_SERVICE,
    ),
    "no service": (lambda d: d["routes"][1].update(service=""), FindingCode.UNKNOWN_SERVICE),
    "no time": (lambda d: d["routes"][1].update(timeout_ms=0), FindingCode.ZERO_LIMIT),
    "no target": (lambda d: d["routes"][0].update(goal_ms=0), FindingCode.ZERO_LIMIT),
    "negative gap": (lambda d: d["routes"][0].update(gap_aim_ms=-1), FindingCode.ZERO_LIMIT),
    "no attempts": (lambda d: d["routes"][1].update(max_attempts=0), FindingCode.ZERO_LIMIT),
    "no slots": (
        lambda d: d["services"][0]["engine"].update(capacity=0),
        FindingCode.ZERO_LIMIT,
    ),
    "no tokens in an event": (
        lambda d: d["services"][0]["engine"].update(stride=0),
        FindingCode.ZERO_LIMIT,
    ),
    "no body": (lambda d: d["limits"].update(max_body_bytes=0), FindingCode.ZERO_LIMIT),
    "no time for a head": (
        lambda d: d["limits"].update(header_timeout_ms=0),
        FindingCode.ZERO_LIMIT,
    ),
    "cold rate without a cold start": (
        lambda d: d["services"][1].update(cold_per_s=3.0),
        FindingCode.UNUSED,
    ),
    "service without a route": (
        lambda d: d["services"].append({"name": "spare"}),
        FindingCode.UNUSED,
    ),
    "health path": (lambda d: d["services"][1].update(health_path="up"), FindingCode.UNUSED),
    "unknown kind": (lambda d: d["routes"][1].update(kind="stream"), FindingCode.UNREADABLE),
}


@pytest.mark.parametrize(("change", "code"), FAULTS.values(), ids=FAULTS)
def test_fault_of_a_document_is_found(change: Change, code: FindingCode) -> None:
    changed = document()
    change(changed)
    assert code in [finding.code for finding in findings(changed)]


@pytest.mark.parametrize("value", [b"{", b"[]", b'{"version": 1}', b"\xff", b"[" * 100_000])
def test_malformed_document_is_a_finding(value: bytes) -> None:
    assert [finding.code for finding in document_findings(value)] == [FindingCode.UNREADABLE]


LOSSES: dict[str, tuple[Change, FindingCode]] = {
    "route": (lambda d: d["routes"].pop(), FindingCode.ACCESS_REMOVED),
    "public route": (lambda d: d["routes"][1].update(public=False), FindingCode.ACCESS_REMOVED),
    "key": (
        lambda d: d["tenants"][0].update(api_keys=["another"]),
        FindingCode.ACCESS_REMOVED,
    ),
    "older version": (lambda d: d.update(version=1), FindingCode.NOT_NEWER),
    "same version": (
        lambda d: (d.update(version=2), d["routes"][1].update(goal_ms=1)),
        FindingCode.NOT_NEWER,
    ),
}


@pytest.mark.parametrize(("change", "code"), LOSSES.values(), ids=LOSSES)
def test_loss_against_the_document_in_force_is_found(change: Change, code: FindingCode) -> None:
    in_force, changed = document(2), document(3)
    in_force["routes"][1]["public"] = changed["routes"][1]["public"] = True
    change(changed)
    assert code in [finding.code for finding in findings(changed, in_force)]


def test_route_that_another_one_takes_over_is_no_loss() -> None:
    changed = document(3)
    changed["routes"][1].update(name="reads", prefix="/")
    assert findings(changed, document(2)) == []


def test_differences_name_what_changes_and_no_key() -> None:
    changed = document(3)
    changed["routes"][0]["sizes"] = ["large", "small"]
    changed["tenants"][0]["api_keys"] = ["another"]
    old, new = decode_catalog(encode(document(2))), decode_catalog(encode(changed))
    assert old and new
    lines = diff_catalogs(old, new)
    assert "- version = 2" in lines and "+ version = 3" in lines
    assert "- routes.draft.models = small < large" in lines
    assert "+ routes.draft.models = large < small" in lines
    assert [line[:16] for line in lines if "tenants" in line] == [
        "- tenants.club.k",
        "+ tenants.club.k",
    ]
    assert not any(API_KEY in line or "another" in line for line in lines)
    assert diff_catalogs(old, old) == ()


prefixes = st.sampled_from(["", "/", "/a", "/a/", "/a/b/", "a/", "/a?b", "/a b/"])
hosts = st.sampled_from(["one.example", "two.example", "one.example:80"])


@given(st.lists(st.tuples(hosts, prefixes), max_size=6))
def test_routes_found_never_to_match_get_no_request(places: list[tuple[str, str]]) -> None:
    routes = [
        Route(f"r{number}", host, prefix, RequestKind.IDEMPOTENT, 1.0, 0.5, 0, (ServiceShare("s"),))
        for number, (host, prefix) in enumerate(places)
    ]
    catalog = Catalog(1, group_routes(routes), {}, {})
    idle = {
        finding.where.removeprefix("route ")
        for finding in catalog_findings(catalog, None)
        if finding.code in (FindingCode.NEVER_MATCHES, FindingCode.COVERED)
    }
    # Hosts come without their ports, and paths without their queries.
    asked = [
        catalog.route(host, path)
        for host in ("one.example", "two.example")
        for path in ("/", "/a", "/a/", "/ab", "/a/b/", "/a/b/c", "/c")
    ]
    matched = {route.name for route in asked if route}
    assert matched == {route.name for route in routes} - idle
