"""Daemons that share a configuration on an in-memory network, for tests.

Each daemon has its own clock and its own access to the table, which can fail.
"""

import asyncio
from collections.abc import Awaitable, Callable

from comfreyhatch.daemon.config.change_log import ChangeLog
from comfreyhatch.daemon.config.config_sync import ConfigSync
from comfreyhatch.daemon.config.editor import ConfigEditor
from comfreyhatch.daemon.members.membership import Membership
from comfreyhatch.decisions.configuration import ConfigTiming
from comfreyhatch.domain.change import Change
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.peers import Member, MemoryNetwork
from comfreyhatch.ports.table import MemoryTable, Operation, Row, WriteOutcome

TIMING = ConfigTiming(ask_timeout_s=0.05)
STEP_S = 0.1


class FaultyTable(MemoryTable):
    """Access of one daemon to a shared table, with injected faults.

    Attributes:
        down: Whether all operations fail.
        faults: Results of the next commits: "ok", "lost" (takes effect, outcome unknown),
            "dropped" (no effect, outcome unknown) or "failed" (an error without effect). Later
            commits succeed.
        before_commit: Awaited once, before the next commit.
    """

    def __init__(self, shared: MemoryTable) -> None:
        super().__init__()
        self.row_by_key = shared.row_by_key
        self.down = False
        self.faults: list[str] = []
        self.before_commit: Callable[[], Awaitable[object]] | None = None

    def _check(self) -> None:
        if self.down:
            raise PlatformError("the table does not answer")

    async def read(self, key: str) -> Row | None:
        self._check()
        return await super().read(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        self._check()
        return await super().scan(prefix, after, limit)

    async def commit(self, operations: list[Operation]) -> WriteOutcome:
        self._check()
        hook, self.before_commit = self.before_commit, None
        if hook:
            await hook()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "failed":
            raise PlatformError("the table refused the write")
        outcome = WriteOutcome.UNKNOWN if fault == "dropped" else self.commit_now(operations)
        return outcome if fault == "ok" else WriteOutcome.UNKNOWN


class Node:
    """Membership, configuration sync and editor of one daemon, whose clock has an offset."""

    def __init__(self, fleet: "ConfigFleet", own: Member, offset_s: float) -> None:
        bus = fleet.network.join(own.instance_id)
        self.table = FaultyTable(fleet.table)
        log = ChangeLog(self.table, fleet.objects)

        def clock() -> float:
            return fleet.now + offset_s

        self.clock = clock
        self.membership = Membership(bus, own, (), lambda: fleet.listed, clock=clock)
        self.config_sync = ConfigSync(log, bus, self.membership, TIMING, clock)
        self.editor = ConfigEditor(log, self.config_sync, self.membership, 1.0, clock)
        self.revisions: list[int] = []

    async def tick(self) -> None:
        await self.membership.tick()
        await self.config_sync.tick()
        self.revisions.append(self.config_sync.config.revision)


class ConfigFleet:
    """Nodes that share a table; an instance id is the zone and a number."""

    def __init__(self, *ids: str) -> None:
        self.now = 1000.0
        self.network = MemoryNetwork()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.listed: list[Member] = []
        self.node_by_id: dict[str, Node] = {}
        for instance_id in ids:
            self.add(instance_id)

    def add(self, instance_id: str) -> Node:
        number = len(self.node_by_id)
        address = Address("127.0.0.1", 5000 + number)
        own = Member(instance_id, f"{instance_id}-1", instance_id[0], address, address)
        self.listed.append(own)
        node = self.node_by_id[instance_id] = Node(self, own, 500.0 * number)
        return node

    async def run(self, seconds: float, *stopped: str) -> None:
        """Advance the time in steps of `STEP_S` and tick all nodes but the stopped ones."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            await asyncio.gather(
                *(node.tick() for name, node in self.node_by_id.items() if name not in stopped)
            )
            for _ in range(6):
                await asyncio.sleep(0)

    def cut(self, *names: str) -> None:
        """Cut the links between the named nodes and all others, in both directions."""
        others = set(self.node_by_id) - set(names)
        pairs = {(a, b) for a in names for b in others}
        self.network.cut = pairs | {(b, a) for a, b in pairs}

    def revisions(self) -> dict[str, int]:
        return {name: node.config_sync.config.revision for name, node in self.node_by_id.items()}


def version(name: str, share: int = 100, model: str = "coach") -> Version:
    return Version(model, name, input_price=1, output_price=1, share=share)


def contract(customer: str) -> Contract:
    return Contract(customer=customer)


async def edit_configuration(node: Node, *changes: Change) -> None:
    """Apply changes through a node, one after another."""
    for change in changes:
        edit_id = f"{node.membership.own.instance_id}-{node.config_sync.config.revision}"
        await node.editor.apply(change, edit_id, "ann")
