"""Changes of the configuration that readers send to their followers."""

from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.domain.catalog import (
    BackendService,
    Catalog,
    RequestKind,
    Route,
    ServiceShare,
    Workspace,
    group_routes,
)
from comfreyhatch.exchange.catalog_changes import (
    MAX_STEPS,
    CatalogHistory,
    apply_catalog_changes,
)

NAMES = st.sampled_from("abcd")


def _route(name: str, timeout_s: float = 1.0) -> Route:
    shares = (ServiceShare("s"),)
    return Route(name, "host", f"/{name}/", RequestKind.IDEMPOTENT, timeout_s, 0.1, 1, shares)


def _catalog(version: int, timeout_by_route: dict[str, int], keys: set[str]) -> Catalog:
    routes = [_route(name, timeout_s) for name, timeout_s in timeout_by_route.items()]
    services = {name: BackendService(name) for name in keys}
    workspaces = {key: Workspace(key) for key in keys}
    return Catalog(version, group_routes(routes), services, workspaces)


@given(
    contents=st.lists(
        st.tuples(st.dictionaries(NAMES, st.integers(1, 3)), st.sets(NAMES)), min_size=1, max_size=6
    ),
    held=st.integers(0, 5),
)
def test_changes_since_any_version_lead_to_the_current_one(
    contents: list[tuple[dict[str, int], set[str]]], held: int
) -> None:
    history = CatalogHistory()
    catalogs = [_catalog(number, *content) for number, content in enumerate(contents)]
    for catalog in catalogs:
        history.update(catalog)
    known = catalogs[held % len(catalogs)]
    changes = history.since(known.version)
    if known is catalogs[-1]:
        assert changes is None
        return
    assert changes is not None and changes.applies_to(known)
    assert apply_catalog_changes(known, changes) == catalogs[-1]


def test_follower_behind_the_oldest_step_gets_the_whole_configuration() -> None:
    history = CatalogHistory()
    for version in range(1, MAX_STEPS + 3):
        history.update(_catalog(version, {"a": version}, set()))
    changes = history.since(1)
    assert changes is not None and changes.base is None
    last = _catalog(MAX_STEPS + 2, {"a": MAX_STEPS + 2}, set())
    assert apply_catalog_changes(_catalog(1, {"b": 1}, {"k"}), changes) == last


def test_changes_do_not_apply_to_another_version() -> None:
    history = CatalogHistory()
    for version in (1, 2):
        history.update(_catalog(version, {"a": version}, set()))
    changes = history.since(1)
    assert changes is not None
    assert not changes.applies_to(None)
    assert not changes.applies_to(_catalog(2, {"a": 2}, set()))


def test_older_configuration_leaves_the_history_as_it_is() -> None:
    history = CatalogHistory()
    history.update(_catalog(5, {"a": 1}, set()))
    history.update(_catalog(4, {"b": 1}, set()))
    assert history.since(5) is None
