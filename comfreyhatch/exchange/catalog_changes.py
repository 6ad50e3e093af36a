"""Changes between versions of the configuration, so that peers need not send all of it."""

from collections import deque
from collections.abc import Mapping
from typing import TypeVar

from msgspec import Struct

from comfreyhatch.domain.catalog import (
    BackendService,
    Catalog,
    ListenerLimits,
    Route,
    Workspace,
    group_routes,
)

# Steps that the history keeps; followers behind the oldest one get the whole configuration.
MAX_STEPS = 32

V = TypeVar("V")


class CatalogChanges(Struct, frozen=True):
    """Changes from one version of the configuration to a later one.

    Attributes:
        base: Version to which they apply; None if they are a whole configuration.
        version: Version after them.
        route_by_name: Routes that were added or changed.
        service_by_name: Services that were added or changed.
        workspace_by_key: Workspaces that were added or changed, by API key.
        limits: Limits of the callers' listener after the changes.
        removed_routes: Names of removed routes.
        removed_services: Names of removed services.
        removed_keys: API keys that were taken away.
    """

    base: int | None
    version: int
    route_by_name: dict[str, Route]
    service_by_name: dict[str, BackendService]
    workspace_by_key: dict[str, Workspace]
    limits: ListenerLimits | None
    removed_routes: frozenset[str] = frozenset()
    removed_services: frozenset[str] = frozenset()
    removed_keys: frozenset[str] = frozenset()

    def applies_to(self, held: Catalog | None) -> bool:
        """Return whether the held configuration is the one that they change."""
        return self.base is None or (held is not None and held.version == self.base)

    def then(self, later: "CatalogChanges") -> "CatalogChanges":
        """Return these changes and later ones, which begin where these end, as one."""
        return CatalogChanges(
            self.base,
            later.version,
            _merged(self.route_by_name, later.route_by_name, later.removed_routes),
            _merged(self.service_by_name, later.service_by_name, later.removed_services),
            _merged(self.workspace_by_key, later.workspace_by_key, later.removed_keys),
            later.limits,
            (self.removed_routes - later.route_by_name.keys()) | later.removed_routes,
            (self.removed_services - later.service_by_name.keys()) | later.removed_services,
            (self.removed_keys - later.workspace_by_key.keys()) | later.removed_keys,
        )


class CatalogHistory:
    """The current configuration, and the changes that led to it."""

    def __init__(self) -> None:
        self._catalog: Catalog | None = None
        self._steps: deque[CatalogChanges] = deque(maxlen=MAX_STEPS)

    def update(self, found: Catalog) -> None:
        """Replace the configuration by a newer one; one that is not newer is ignored."""
        held = self._catalog
        if held is not None and found.version <= held.version:
            return
        if held is not None:
            self._steps.append(changes_between(held, found))
        self._catalog = found

    def since(self, version: int) -> CatalogChanges | None:
        """Return the changes since a version; all of the configuration if they are not known.

        Returns:
            None if the current version is not newer.
        """
        catalog = self._catalog
        if catalog is None or catalog.version <= version:
            return None
        changes: CatalogChanges | None = None
        for step in self._steps:
            if changes is not None:
                changes = changes.then(step)
            elif step.base == version:
                changes = step
        return changes or changes_between(None, catalog)


def changes_between(held: Catalog | None, found: Catalog) -> CatalogChanges:
    """Return the changes from one configuration to another; None stands for an empty one."""
    routes = _routes_by_name(held)
    services = held.service_by_name if held else {}
    workspaces = held.workspace_by_key if held else {}
    found_routes = _routes_by_name(found)
    return CatalogChanges(
        held.version if held else None,
        found.version,
        _changed(routes, found_routes),
        _changed(services, found.service_by_name),
        _changed(workspaces, found.workspace_by_key),
        found.limits,
        frozenset(routes.keys() - found_routes.keys()),
        frozenset(services.keys() - found.service_by_name.keys()),
        frozenset(workspaces.keys() - found.workspace_by_key.keys()),
    )


def apply_catalog_changes(held: Catalog | None, changes: CatalogChanges) -> Catalog:
    """Return the configuration after changes.

    Args:
        held: Configuration before them; see `CatalogChanges.applies_to`.
        changes: The changes.
    """
    if changes.base is None:
        held = None
    services = held.service_by_name if held else {}
    workspaces = held.workspace_by_key if held else {}
    routes = _merged(_routes_by_name(held), changes.route_by_name, changes.removed_routes)
    return Catalog(
        changes.version,
        group_routes(routes.values()),
        _merged(services, changes.service_by_name, changes.removed_services),
        _merged(workspaces, changes.workspace_by_key, changes.removed_keys),
        changes.limits,
    )


def _routes_by_name(catalog: Catalog | None) -> dict[str, Route]:
    if catalog is None:
        return {}
    return {route.name: route for routes in catalog.routes_by_host.values() for route in routes}


def _changed(held: Mapping[str, V], found: Mapping[str, V]) -> dict[str, V]:
    return {key: value for key, value in found.items() if key not in held or held[key] != value}


def _merged(held: Mapping[str, V], changed: Mapping[str, V], gone: frozenset[str]) -> dict[str, V]:
    kept = {key: value for key, value in held.items() if key not in gone}
    return {**kept, **changed}
