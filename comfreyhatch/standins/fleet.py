"""A whole fleet in one process: platform, endpoints and daemons on loopback."""

import asyncio
from collections.abc import Callable
from hashlib import sha256

from msgspec import Struct

from comfreyhatch.adapters.settings import (
    EndpointSettings,
    InstanceSettings,
    ListenerSettings,
    PlatformSettings,
    Settings,
)
from comfreyhatch.daemon.daemon import Addresses, Daemon
from comfreyhatch.domain.change import Change, SetContract, SetVersion
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.version import Version
from comfreyhatch.standins.engine import EngineStandin
from comfreyhatch.standins.platform import PlatformStandin
from comfreyhatch.standins.service import ServiceStandin

HOST = "127.0.0.1"
FLEET_KEY = b"key of a local fleet"
API_KEY = "trackline-key"
CUSTOMER = "trackline"
WAIT_INTERVAL_S = 0.02
ORPHAN_HOLD_S = 0.2

SMALL = Version("coach-small", "1", input_price=100, output_price=400, prior_quality=0.7)
LARGE = Version("coach-large", "1", input_price=1000, output_price=4000, prior_quality=0.95)
CONTRACT = Contract(
    customer=CUSTOMER,
    key_digests=(sha256(API_KEY.encode()).hexdigest(),),
    allowed=("coach-small", "coach-large"),
    services=("booking",),
    default_model="coach-large",
    may_be_critical=True,
)


class FleetPlan(Struct):
    """Size of a local fleet.

    Attributes:
        zones: Zone of each daemon, in order.
        engine_zones: Zone of each engine, in order.
        service_zones: Zone of each plain service endpoint, in order.
        versions: Versions declared and loaded by every engine.
        contracts: Contracts set at the start.
        service: Name of the plain service.
    """

    zones: tuple[str, ...] = ("a", "b")
    engine_zones: tuple[str, ...] = ("a", "b")
    service_zones: tuple[str, ...] = ("a",)
    versions: tuple[Version, ...] = (SMALL, LARGE)
    contracts: tuple[Contract, ...] = (CONTRACT,)
    service: str = "booking"


class LocalFleet:
    """Starts and stops a fleet; its parts may be controlled by name."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        self.plan = plan or FleetPlan()
        self.platform = PlatformStandin()
        self.engine_by_id: dict[str, EngineStandin] = {}
        self.service_by_id: dict[str, ServiceStandin] = {}
        self.daemon_by_id: dict[str, Daemon] = {}
        self.addresses_by_id: dict[str, Addresses] = {}

    async def __aenter__(self) -> "LocalFleet":
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all parts and wait until each daemon can serve each version."""
        await self.platform.start()
        for number, zone in enumerate(self.plan.engine_zones):
            await self.start_engine(f"engine-{zone}{number}", zone)
        for number, zone in enumerate(self.plan.service_zones):
            await self.start_service(f"service-{zone}{number}", zone)
        for number, zone in enumerate(self.plan.zones):
            await self.start_daemon(f"entry-{zone}{number}", zone)
        await self.apply(*(SetVersion(version) for version in self.plan.versions))
        await self.apply(*(SetContract(contract) for contract in self.plan.contracts))
        await self.until(self._settled)

    async def stop(self) -> None:
        """Stop all parts."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemon_by_id.values()))
        await asyncio.gather(*(engine.stop() for engine in self.engine_by_id.values()))
        await asyncio.gather(*(service.stop() for service in self.service_by_id.values()))
        await self.platform.stop()

    async def start_engine(self, instance_id: str, zone: str) -> EngineStandin:
        """Start an engine that has all versions loaded, and list it."""
        versions = tuple(version.version_id for version in self.plan.versions)
        quality = {v.version_id: v.prior_quality for v in self.plan.versions}
        instance = Instance(instance_id, Role.ENGINE, zone, Address(HOST, 0))
        engine = EngineStandin(instance, versions, quality_by_version=quality)
        await engine.start()
        self.platform.put_instance(engine.instance)
        self.engine_by_id[instance_id] = engine
        return engine

    async def start_service(self, instance_id: str, zone: str) -> ServiceStandin:
        """Start a plain service endpoint and list it."""
        instance = Instance(
            instance_id, Role.SERVICE, zone, Address(HOST, 0), service=self.plan.service
        )
        service = ServiceStandin(instance)
        await service.start()
        self.platform.put_instance(service.instance)
        self.service_by_id[instance_id] = service
        return service

    async def start_daemon(self, instance_id: str, zone: str) -> Daemon:
        """Start a daemon."""
        daemon = Daemon(self.settings(instance_id, zone), FLEET_KEY, seed=len(self.daemon_by_id))
        self.addresses_by_id[instance_id] = await daemon.start()
        self.daemon_by_id[instance_id] = daemon
        return daemon

    def settings(self, instance_id: str, zone: str) -> Settings:
        """Return the settings of a daemon of this fleet."""
        platform = PlatformSettings(self.platform.address.host, self.platform.address.port)
        return Settings(
            instance=InstanceSettings(instance_id, zone),
            platform=platform,
            callers=ListenerSettings(),
            operators=ListenerSettings(),
            endpoints=EndpointSettings(ORPHAN_HOLD_S),
        )

    async def apply(self, *changes: Change) -> None:
        """Make changes through the first daemon."""
        editor = next(iter(self.daemon_by_id.values())).config_editor
        for number, change in enumerate(changes):
            edit_id = f"local-{editor.config.revision}-{number}"
            await editor.apply(change, edit_id, "local")

    async def until(self, condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: If it does not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(WAIT_INTERVAL_S)

    async def apply_at(self, instance_id: str, change: Change, edit_id: str) -> int:
        """Make a change through a daemon and return its revision."""
        return await self.daemon_by_id[instance_id].config_editor.apply(change, edit_id, "local")

    def revision_of(self, daemon: Daemon) -> int:
        """Return the configuration revision that a daemon has in force."""
        return daemon.config_editor.config.revision

    async def stop_daemon(self, instance_id: str) -> None:
        """Stop a daemon gracefully."""
        await self.daemon_by_id[instance_id].stop()
        del self.daemon_by_id[instance_id], self.addresses_by_id[instance_id]

    async def replace_daemons(self) -> None:
        """Start a new daemon for each, then stop the old ones."""
        old = list(self.daemon_by_id)
        for instance_id in old:
            zone = self.daemon_by_id[instance_id].zone
            await self.start_daemon(f"{instance_id}-new", zone)
        await self.until(self._settled)
        for instance_id in old:
            await self.stop_daemon(instance_id)

    def callers(self, instance_id: str) -> Address:
        """Return the callers' address of a daemon."""
        return self.addresses_by_id[instance_id].callers

    def _settled(self) -> bool:
        revision = len(self.plan.versions) + len(self.plan.contracts)
        return all(
            daemon.config_editor.config.revision >= revision
            and len(daemon.directory.endpoint_by_id) >= len(self.engine_by_id)
            and len(daemon.membership.view.member_by_id) >= len(self.daemon_by_id)
            and daemon.pool.all_loads_known()
            and daemon.pool.active
            for daemon in self.daemon_by_id.values()
        )
