"""The versions of sessions: from tokens, from pins at two daemons, or from the split."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from functools import reduce
from time import time

from msgspec import Struct

from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.sessions import (
    PIN_BUCKETS,
    Pin,
    PinHolders,
    PinSource,
    SessionToken,
    bucket_of,
    holders_of_bucket,
    may_serve_session,
    session_key,
    sign_token,
    split_version,
    verify_token,
    winning_pin,
)
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request import ChatRequest
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import PeerError, RefusedError
from comfreyhatch.ports.peers import PeerBus, View

PIN_TIMEOUT_S = 0.05
MAX_PINS = 20_000
PINS_PER_MESSAGE = 200

log = logging.getLogger("comfreyhatch.sessions")


class PinRequest(Struct, frozen=True, tag="pin-request"):
    """Asks a holder for a session's pin; it keeps the proposal if it has none or an older move."""

    proposal: Pin


class PinReply(Struct, frozen=True, tag="pin-reply"):
    """The pin that the holder keeps."""

    pin: Pin


class PinBatch(Struct, frozen=True, tag="pin-batch"):
    """Pins handed to a holder."""

    pins: tuple[Pin, ...]


class ResolvedSession(Struct, frozen=True):
    """The version of a session for one request.

    Attributes:
        version_id: Version that the request runs on.
        source: How it was found.
        token: Signed token for the caller.
        moved_from: Withdrawn version that the session was moved from; empty if it was not.
    """

    version_id: str
    source: PinSource
    token: str
    moved_from: str = ""


class PinStore:
    """Pins in memory, the ones used longest ago dropped first."""

    def __init__(self, limit: int = MAX_PINS) -> None:
        self.pin_by_key: OrderedDict[str, Pin] = OrderedDict()
        self._limit = limit

    def merge(self, pin: Pin) -> Pin:
        """Keep a pin unless the one kept goes before it; return the one kept."""
        kept = self.pin_by_key.get(pin.key)
        winner = winning_pin(kept, pin) if kept else pin
        self.pin_by_key[pin.key] = winner
        self.pin_by_key.move_to_end(pin.key)
        while len(self.pin_by_key) > self._limit:
            self.pin_by_key.popitem(last=False)
        return winner

    def propose(self, proposal: Pin) -> Pin:
        """Return the pin kept; keep the proposal if there is none or it is a later move."""
        kept = self.pin_by_key.get(proposal.key)
        if kept is not None and kept.moves >= proposal.moves:
            self.pin_by_key.move_to_end(proposal.key)
            return kept
        return self.merge(proposal)


class SessionResolver:
    """Finds the versions of sessions; keeps the pins that this daemon holds."""

    def __init__(
        self,
        instance_id: str,
        fleet_keys: tuple[bytes, ...],
        bus: PeerBus,
        view: Callable[[], View],
        unix_clock: Callable[[], float] = time,
        timeout_s: float = PIN_TIMEOUT_S,
        quarantined: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Create the sessions of a daemon.

        Args:
            instance_id: Own name.
            fleet_keys: The first signs tokens, all are accepted.
            bus: Peer bus; handlers are registered on it.
            view: Live daemons, this one included.
            unix_clock: Seconds since the epoch.
            timeout_s: Time for the holders of a pin to answer.
            quarantined: Versions that new sessions avoid.
        """
        self.pins = PinStore()
        self._instance_id = instance_id
        self._fleet_keys = fleet_keys
        self._bus = bus
        self._view = view
        self._unix_clock = unix_clock
        self._timeout_s = timeout_s
        self._quarantined = quarantined
        self._holders_by_bucket: dict[int, PinHolders] = {}
        self._used = PinStore()
        self._names: frozenset[tuple[str, str]] = frozenset()
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        bus.on_message(PinRequest, self._take_request)
        bus.on_message(PinBatch, self._take_batch)

    async def resolve(
        self,
        call: ChatRequest,
        contract: Contract,
        config: FleetConfig,
        propose: Callable[[], Version],
    ) -> ResolvedSession:
        """Return the version of a request's session.

        Args:
            call: The request; it has a session.
            contract: Contract of the customer.
            config: Configuration in force.
            propose: Returns a version of the model to use if the session is new.

        Raises:
            RefusedError: If the version is withdrawn and the contract wants no move.
        """
        key = session_key(contract.customer, call.session, call.model)
        said = self._said_by_token(call, contract)
        if said and may_serve_session(said, contract, config):
            return self._settled(call, contract, said, "token")
        if said:
            _check_may_move(said, contract)
        pin, source = await self._pin(self._proposal(key, contract, config, propose, said))
        moved_from = said if said != pin.version_id else ""
        if not may_serve_session(pin.version_id, contract, config):
            moved_from = pin.version_id
            _check_may_move(moved_from, contract)
            self._used.merge(pin)
            proposal = self._proposal(key, contract, config, propose, moved_from)
            pin, source = await self._pin(proposal)
        self._used.merge(pin)
        return self._settled(call, contract, pin.version_id, source, moved_from)

    async def run(self) -> None:
        """Hand pins over whenever the daemons have changed, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self.hand_over()

    def on_view_change(self, view: View) -> None:
        """Note a new view; only daemons that come, go or are leaving matter."""
        members = view.member_by_id.values()
        names = frozenset((m.instance_id, m.zone) for m in members if not m.leaving)
        if names != self._names:
            self._names = names
            self._changed.set()

    async def hand_over(self, leaving: bool = False) -> None:
        """Send pins to daemons that have become their holders.

        Args:
            leaving: Whether this daemon is about to go and keeps none.
        """
        old_by_bucket, self._holders_by_bucket = self._holders_by_bucket, {}
        pins_by_holder: dict[str, list[Pin]] = {}
        for bucket, pins in self._pins_by_bucket().items():
            old = old_by_bucket.get(bucket, PinHolders(())).names
            for name in self._holders(bucket, without_me=leaving).names:
                if name != self._instance_id and (leaving or name not in old):
                    pins_by_holder.setdefault(name, []).extend(pins)
            # Holders of all buckets take too long for one turn of the event loop.
            await asyncio.sleep(0)
        for name, pins in pins_by_holder.items():
            for start in range(0, len(pins), PINS_PER_MESSAGE):
                await self._bus.send(name, PinBatch(tuple(pins[start : start + PINS_PER_MESSAGE])))

    def _said_by_token(self, call: ChatRequest, contract: Contract) -> str:
        text = call.session_token
        token = verify_token(self._fleet_keys, text) if text else None
        if token is None or token.customer != contract.customer:
            return ""
        same = token.session == call.session and token.wanted == call.model
        return token.version_id if same else ""

    def _proposal(
        self,
        key: str,
        contract: Contract,
        config: FleetConfig,
        propose: Callable[[], Version],
        moved_from: str = "",
    ) -> Pin:
        used = self._used.pin_by_key.get(key)
        if used is not None and not moved_from:
            return used
        version = propose()
        avoided = self._quarantined()
        split = split_version(key, version.model, contract, config, avoided) or version
        moves = (used.moves + 1 if used else 1) if moved_from else 0
        return Pin(key, split.version_id, self._unix_clock(), moves)

    async def _pin(self, proposal: Pin) -> tuple[Pin, PinSource]:
        """Return the pin that its holders keep, or the proposal if none answers in time."""
        holders = self._holders(bucket_of(proposal.key)).names
        asked = [asyncio.ensure_future(self._ask(name, proposal)) for name in holders]
        if not asked:
            return proposal, "split"
        done, late = await asyncio.wait(asked, timeout=self._timeout_s)
        for task in late:
            task.cancel()
        pin_by_holder = {
            name: pin
            for name, task in zip(holders, asked, strict=True)
            if task in done and (pin := task.result()) is not None
        }
        if not pin_by_holder:
            return proposal, "split"
        winner = reduce(winning_pin, pin_by_holder.values())
        self._correct(winner, [n for n, pin in pin_by_holder.items() if pin != winner])
        fresh = winner == proposal and proposal.key not in self._used.pin_by_key
        return winner, "split" if fresh else "pin"

    async def _ask(self, name: str, proposal: Pin) -> Pin | None:
        if name == self._instance_id:
            return self.pins.propose(proposal)
        try:
            reply = await self._bus.request(name, PinRequest(proposal), PinReply, self._timeout_s)
        except PeerError:
            return None
        return reply.pin

    def _correct(self, pin: Pin, names: list[str]) -> None:
        for name in names:
            if name == self._instance_id:
                self.pins.merge(pin)
                continue
            task = asyncio.ensure_future(self._bus.send(name, PinBatch((pin,))))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _settled(
        self,
        call: ChatRequest,
        contract: Contract,
        version_id: str,
        source: PinSource,
        moved_from: str = "",
    ) -> ResolvedSession:
        token = SessionToken(contract.customer, call.session, call.model, version_id)
        if moved_from:
            log.info(
                "event=session_moved request=%s from=%s to=%s",
                call.request_id,
                moved_from,
                version_id,
            )
        return ResolvedSession(
            version_id, source, sign_token(self._fleet_keys[0], token), moved_from
        )

    def _holders(self, bucket: int, without_me: bool = False) -> PinHolders:
        holders = self._holders_by_bucket.get(bucket)
        if holders is None:
            members = [
                m
                for m in self._view().member_by_id.values()
                if not m.leaving and not (without_me and m.instance_id == self._instance_id)
            ]
            holders = self._holders_by_bucket[bucket] = holders_of_bucket(bucket, members)
        return holders

    def _pins_by_bucket(self) -> dict[int, list[Pin]]:
        pins_by_bucket: dict[int, list[Pin]] = {bucket: [] for bucket in range(PIN_BUCKETS)}
        for pin in self.pins.pin_by_key.values():
            pins_by_bucket[bucket_of(pin.key)].append(pin)
        return {bucket: pins for bucket, pins in pins_by_bucket.items() if pins}

    async def _take_request(self, sender: str, request: PinRequest) -> PinReply:
        return PinReply(self.pins.propose(request.proposal))

    async def _take_batch(self, sender: str, batch: PinBatch) -> None:
        for pin in batch.pins:
            self.pins.merge(pin)


def _check_may_move(version_id: str, contract: Contract) -> None:
    """Refuse a session whose version is withdrawn unless the contract lets it move.

    Raises:
        RefusedError: If it may not move; the request has not run.
    """
    if contract.on_withdrawn == "refuse":
        raise RefusedError(
            f"the session's version {version_id} is withdrawn", ResultCode.VERSION_WITHDRAWN
        )
