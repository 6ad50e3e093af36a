"""Report of the fleet's state for operators, as this daemon sees it."""

from collections.abc import Callable

from comfreyhatch.daemon.config.editor import ConfigEditor
from comfreyhatch.daemon.dispatch.slot_pool import SlotPool
from comfreyhatch.daemon.members.instance_directory import InstanceDirectory
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.ports.operators import (
    BudgetState,
    EndpointState,
    FleetState,
    InForce,
    InstanceState,
    VersionSummary,
)


class FleetReporter:
    """Collects the fleet's state from the daemon's components.

    Attributes:
        quarantined: Returns the versions in quarantine.
        spent_by_customer: Returns the spending of today by customer, in micros.
        journal_lag: Returns the number of journal entries that are not stored yet.
        cut_off: Returns whether this daemon is cut off: its confirmation has expired and an
            attempt to renew it has just failed.
    """

    def __init__(
        self,
        instance_id: str,
        zone: str,
        config_editor: ConfigEditor,
        membership: Membership,
        directory: InstanceDirectory,
        pool: SlotPool,
        ready: Callable[[], bool],
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._config_editor = config_editor
        self._membership = membership
        self._directory = directory
        self._pool = pool
        self._ready = ready
        self.quarantined: Callable[[], frozenset[str]] = frozenset
        self.spent_by_customer: Callable[[], dict[str, int]] = dict
        self.journal_lag: Callable[[], int] = int
        self.cut_off: Callable[[], bool] = bool

    async def state(self) -> FleetState:
        """Return the current state.

        Instances whose last heartbeat shows an older revision are queried for their present one.
        """
        config = self._config_editor.config
        confirmed = frozenset((await self.in_force(config.revision)).confirmed)
        return FleetState(
            instance_id=self._instance_id,
            zone=self._zone,
            revision=config.revision,
            ready=self._ready(),
            cut_off=self.cut_off(),
            journal_lag=self.journal_lag(),
            zones_out=tuple(sorted(config.out_zones)),
            zones_cut_off=self._zones_cut_off(),
            instances=tuple(self._instances(config.revision, confirmed)),
            endpoints=tuple(self._endpoints(config)),
            versions=tuple(self._versions(config)),
            budgets=tuple(self._budgets(config)),
        )

    async def in_force(self, revision: int) -> InForce:
        """Return on which live instances a revision is in force."""
        return await self._config_editor.in_force(revision)

    def _zones_cut_off(self) -> tuple[str, ...]:
        """Return the zones that have daemons in the instance list, none of them in the view."""
        listed = {member.zone for member in self._directory.members}
        reached = {member.zone for member in self._membership.view.member_by_id.values()}
        return tuple(sorted(listed - reached - {self._zone}))

    def _instances(self, revision: int, confirmed: frozenset[str]) -> list[InstanceState]:
        states = [
            InstanceState(
                member.instance_id,
                member.zone,
                # The revision in a heartbeat from another zone may be outdated.
                revision if member.instance_id in confirmed else member.revision,
                member.leaving,
            )
            for member in self._membership.view.member_by_id.values()
        ]
        return sorted(states, key=lambda instance: (instance.zone, instance.instance_id))

    def _endpoints(self, config: FleetConfig) -> list[EndpointState]:
        endpoints = self._directory.endpoint_by_id.values()
        states = [self._endpoint(endpoint, config) for endpoint in endpoints]
        return sorted(states, key=lambda state: (state.zone, state.endpoint_id))

    def _endpoint(self, endpoint: Instance, config: FleetConfig) -> EndpointState:
        load = self._pool.load_of(endpoint.instance_id)
        if endpoint.instance_id in config.out_endpoints:
            state = "out"
        elif endpoint.zone in config.out_zones:
            state = "zone out"
        elif load is None:
            state = "not polled"
        else:
            state = "cold" if load.report.cold else "in service"
        served = load.report.versions if load else ()
        return EndpointState(
            endpoint_id=endpoint.instance_id,
            role=endpoint.role.value,
            zone=endpoint.zone,
            state=state,
            in_flight=load.own_in_flight if load else 0,
            share=load.slots if load else 0,
            bears=load.limit if load else 0,
            versions=(endpoint.service,) if endpoint.role is Role.SERVICE else served,
        )

    def _versions(self, config: FleetConfig) -> list[VersionSummary]:
        quarantined = self.quarantined()
        return [
            VersionSummary(
                version_id,
                version.state.value,
                version.share,
                version.replaces,
                version_id in quarantined,
            )
            for version_id, version in sorted(config.version_by_id.items())
        ]

    def _budgets(self, config: FleetConfig) -> list[BudgetState]:
        spent = self.spent_by_customer()
        return [
            BudgetState(customer, contract.budget_micros, spent.get(customer, 0))
            for customer, contract in sorted(config.contract_by_customer.items())
        ]
