"""The two deployments of the brief as fleets in one process."""

from hashlib import sha256

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.adapters.settings import Settings
from comfreyhatch.daemon.daemon import Daemon
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.domain.policy import PolicySettings
from comfreyhatch.domain.version import Version
from comfreyhatch.ports.engine import GenerateRequest
from comfreyhatch.standins.batch import BatchTiming
from comfreyhatch.standins.engine import EngineStandin
from comfreyhatch.standins.fleet import HOST, FleetPlan, LocalFleet
from comfreyhatch.standins.service import ServiceStandin

ENGINE_FIRST_TOKEN_S = 0.375
ENGINE_STEP_S = 0.025
ENGINE_BEARS = 10
WORKSPACES = 10
QUALITY_TARGET = 0.8

SMALL = Version("small", "1", input_price=100, output_price=400, prior_quality=0.7)
MIDDLE = Version("middle", "1", input_price=300, output_price=1200, prior_quality=0.85)
LARGE = Version("large", "1", input_price=1000, output_price=4000, prior_quality=0.95)
NEW = Version("small", "2", 100, 400, share=0, replaces="small@1", prior_quality=0.7)

QUALITY_BY_TASK = {
    "answer": {"small": 0.94, "middle": 0.95, "large": 0.96},
    "summary": {"small": 0.85, "middle": 0.93, "large": 0.96},
    "plan": {"small": 0.62, "middle": 0.80, "large": 0.95},
}


class Deployment(Struct, frozen=True):
    """One of the two deployments.

    Attributes:
        name: Name of the customer's deployment.
        daemon_zones: Zone of each daemon.
        engine_zones: Zone of each model worker.
        service_zones: Zone of each plain service worker.
        service: Name of the plain service.
        share_by_task: Share of each task among chat requests.
        stream_share: Share of streamed chat requests.
        critical_share: Share of critical chat requests.
        service_share: Share of calls to the plain service.
        rate_hz: Requests a second.
    """

    name: str
    daemon_zones: tuple[str, ...]
    engine_zones: tuple[str, ...]
    service_zones: tuple[str, ...]
    service: str
    share_by_task: dict[str, float]
    stream_share: float
    critical_share: float
    service_share: float
    rate_hz: float


TRACKLINE = Deployment(
    "trackline",
    ("a", "a", "b", "b", "c", "d"),
    ("a", "a", "b", "b", "c", "d"),
    ("a", "b", "c", "d"),
    "booking",
    {"answer": 0.6, "summary": 0.25, "plan": 0.15},
    stream_share=0.6,
    critical_share=0.0,
    service_share=0.25,
    rate_hz=32.0,
)
COOPERATIVE = Deployment(
    "cooperative",
    ("a", "a", "b", "b", "c", "d"),
    ("a", "a", "b", "c", "d"),
    ("a", "b", "c", "d"),
    "records",
    {"answer": 0.5, "summary": 0.2, "plan": 0.3},
    stream_share=0.3,
    critical_share=0.15,
    service_share=0.3,
    rate_hz=26.0,
)
DEPLOYMENT_BY_NAME = {d.name: d for d in (TRACKLINE, COOPERATIVE)}


def api_key(workspace: int) -> str:
    """Return the API key of a workspace."""
    return f"key-of-workspace-{workspace}"


def contracts(deployment: Deployment) -> tuple[Contract, ...]:
    """Return the contracts of the workspaces."""
    return tuple(
        Contract(
            customer=f"{deployment.name}-{number}",
            key_digests=(sha256(api_key(number).encode()).hexdigest(),),
            allowed=("small", "middle", "large"),
            services=(deployment.service,),
            quality_target=QUALITY_TARGET,
            default_model="large",
            may_be_critical=deployment.critical_share > 0,
            objectives=Objectives(quality=0.95),
        )
        for number in range(WORKSPACES)
    )


def quality_of(request: GenerateRequest) -> float:
    """Return the quality of an answer by its task, the first word of the prompt, and model."""
    task = request.messages[-1].content.split()[0]
    return QUALITY_BY_TASK[task][request.version_id.split("@")[0]]


class PolicyFleet(LocalFleet):
    """A fleet with timed engines and a policy."""

    def __init__(self, deployment: Deployment, policy: PolicySettings) -> None:
        super().__init__(
            FleetPlan(
                zones=deployment.daemon_zones,
                engine_zones=deployment.engine_zones,
                service_zones=deployment.service_zones,
                versions=(SMALL, MIDDLE, LARGE, NEW),
                contracts=contracts(deployment),
                service=deployment.service,
            )
        )
        self._policy = policy
        self.all_daemons: list[Daemon] = []

    def caller_addresses(self) -> list[Address]:
        """Return the callers' addresses of the daemons that the balancer believes alive."""
        return [addresses.callers for addresses in self.addresses_by_id.values()]

    async def start_daemon(self, instance_id: str, zone: str) -> Daemon:
        """Start a daemon, and keep it for its records."""
        daemon = await super().start_daemon(instance_id, zone)
        self.all_daemons.append(daemon)
        return daemon

    async def kill_daemon(self, instance_id: str) -> None:
        """Break off a daemon; the balancer finds out by connections that are refused."""
        daemon = self.daemon_by_id.pop(instance_id)
        await daemon._caller_server.stop(0)
        await daemon._peer_server.stop(0)
        await daemon._close()

    async def start_engine(self, instance_id: str, zone: str) -> EngineStandin:
        """Start an engine with the times of the measurement."""
        instance = Instance(instance_id, Role.ENGINE, zone, Address(HOST, 0))
        engine = EngineStandin(
            instance,
            tuple(version.version_id for version in self.plan.versions),
            seed=len(self.engine_by_id),
            bears=ENGINE_BEARS,
            timing=BatchTiming(ENGINE_STEP_S, 0.0, 0.0),
            quality_of=quality_of,
        )
        engine.faults.late_s = ENGINE_FIRST_TOKEN_S
        await engine.start()
        self.platform.put_instance(engine.instance)
        self.engine_by_id[instance_id] = engine
        return engine

    async def start_service(self, instance_id: str, zone: str) -> ServiceStandin:
        """Start a plain service that takes some time for a call."""
        service = await super().start_service(instance_id, zone)
        service.faults.slow_s = 0.02
        return service

    def settings(self, instance_id: str, zone: str) -> Settings:
        """Return the settings of a daemon with the policy of the run."""
        return replace(super().settings(instance_id, zone), policy=self._policy)
