"""Scenarios of the policy measurement: what happens to the fleet while it is under load."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from msgspec import Struct, field

from bench.policy_fleet import NEW, PolicyFleet
from comfreyhatch.domain.change import SetShare, SetZone
from comfreyhatch.standins.engine import VersionFault

DURATION_S = 24.0
STEADY_S = 60.0
BAD = VersionFault(quality=0.3)
PEAK = 1.5


class Marks(Struct):
    """Times of events, in seconds of the monotonic clock, by name."""

    at_by_name: dict[str, float] = field(default_factory=dict)

    def set(self, name: str) -> None:
        """Note an event."""
        self.at_by_name[name] = monotonic()


Script = Callable[[PolicyFleet, Marks], Awaitable[None]]


class Scenario(Struct, frozen=True):
    """A scenario: what happens, and how the load varies."""

    name: str
    script: Script
    peak: bool = False
    duration_s: float = DURATION_S

    def rate_factor(self, at_s: float) -> float:
        """Return the factor on the rate of requests."""
        return PEAK if self.peak and 6 <= at_s < 18 else 1.0


async def steady(fleet: PolicyFleet, marks: Marks) -> None:
    """Let nothing happen."""


async def bad_version(fleet: PolicyFleet, marks: Marks) -> None:
    """Roll a version out in steps; it turns bad when it has 25 in 100."""
    await asyncio.sleep(3)
    for share in (5, 10, 25):
        await fleet.apply(SetShare(NEW.version_id, share))
        await asyncio.sleep(2.5)
    marks.set("bad")
    for engine in fleet.engine_by_id.values():
        engine.faults.fault_by_version = {NEW.version_id: BAD}
    while not all(d.quarantine.quarantined() for d in fleet.daemon_by_id.values()):
        await asyncio.sleep(0.01)
    marks.set("quarantined")


async def store_outage(fleet: PolicyFleet, marks: Marks) -> None:
    """Take table and object store down."""
    await asyncio.sleep(6)
    marks.set("outage")
    fleet.platform.faults.outage = True
    await asyncio.sleep(11)
    fleet.platform.faults.outage = False
    marks.set("restored")


async def cold_at_peak(fleet: PolicyFleet, marks: Marks) -> None:
    """Turn an endpoint cold at the peak; it falls over under more than it bears."""
    await asyncio.sleep(8)
    marks.set("cold")
    engine = next(iter(fleet.engine_by_id.values()))
    engine.faults.cold_mode = "fall-over"
    engine.faults.cold = True
    await asyncio.sleep(7)
    engine.faults.cold = False
    marks.set("warm")


async def zone_out_in(fleet: PolicyFleet, marks: Marks) -> None:
    """Take a zone out of service and bring it back."""
    await asyncio.sleep(6)
    marks.set("out")
    await fleet.apply(SetZone("b", True))
    await asyncio.sleep(9)
    marks.set("in")
    await fleet.apply(SetZone("b", False))


async def daemon_killed(fleet: PolicyFleet, marks: Marks) -> None:
    """Break off a daemon without notice."""
    await asyncio.sleep(8)
    marks.set("killed")
    await fleet.kill_daemon("entry-c4")


async def bad_version_in_outage(fleet: PolicyFleet, marks: Marks) -> None:
    """Let a version turn bad while the store is down."""

    async def outage() -> None:
        await asyncio.sleep(8.5)
        fleet.platform.faults.outage = True
        await asyncio.sleep(9)
        fleet.platform.faults.outage = False

    await asyncio.gather(outage(), bad_version(fleet, marks))


async def zone_out_daemon_killed(fleet: PolicyFleet, marks: Marks) -> None:
    """Lose a daemon while a zone is out."""
    await asyncio.gather(zone_out_in(fleet, marks), daemon_killed(fleet, marks))


SCENARIOS = (
    Scenario("steady", steady, duration_s=STEADY_S),
    Scenario("bad-version", bad_version),
    Scenario("store-outage", store_outage),
    Scenario("cold-at-peak", cold_at_peak, peak=True),
    Scenario("zone-out-in", zone_out_in),
    Scenario("daemon-killed", daemon_killed),
    Scenario("bad-version-in-outage", bad_version_in_outage),
    Scenario("zone-out-daemon-killed", zone_out_daemon_killed),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
