"""Version affinity of sessions: by signed token, by a pin at two daemons, or by the split.

A session keeps the version that it started on. Its version comes from the session token that the
caller sends; without one, from the session's pin, which two daemons hold; and for a new session
from the roll-out split.
"""

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
from comfreyhatch.ports.peers import MembershipView, PeerBus

# Time for the holders of a pin to answer; if none does, the proposal is used.
PIN_TIMEOUT_S = 0.05
# Pins in one store; the least recently used ones are evicted.
MAX_PINS = 20_000
MAX_PINS_PER_MESSAGE = 200

log = logging.getLogger("comfreyhatch.sessions")


class PinRequest(Struct, frozen=True, tag="pin-request"):
    """Requests a session's pin from a holder.

    The holder stores the proposal if it has no pin or the proposal has more moves.
    """

    proposal: Pin


class PinReply(Struct, frozen=True, tag="pin-reply"):
    """The pin that the holder has stored."""

    pin: Pin


class PinBatch(Struct, frozen=True, tag="pin-batch"):
    """Pins for the receiver to store."""

    pins: tuple[Pin, ...]


class ResolvedSession(Struct, frozen=True):
    """The version that serves a session's request.

    Attributes:
        version_id: Version that the request runs on.
        source: How the version was found.
        token: Signed session token, returned to the caller.
        moved_from: Withdrawn version that the session was moved from; empty if it was not.
    """

    version_id: str
    source: PinSource
    token: str
    moved_from: str = ""


class PinStore:
    """Pins in memory; the least recently used ones are evicted beyond a limit."""

    def __init__(self, limit: int = MAX_PINS) -> None:
        self.pin_by_key: OrderedDict[str, Pin] = OrderedDict()
        self._limit = limit

    def merge(self, pin: Pin) -> Pin:
        """Store a pin unless the stored one wins over it; return the winning pin."""
        stored = self.pin_by_key.get(pin.key)
        winner = winning_pin(stored, pin) if stored else pin
        self.pin_by_key[pin.key] = winner
        self.pin_by_key.move_to_end(pin.key)
        while len(self.pin_by_key) > self._limit:
            self.pin_by_key.popitem(last=False)
        return winner

    def propose(self, proposal: Pin) -> Pin:
        """Return the stored pin; store the proposal if there is none or it has more moves."""
        stored = self.pin_by_key.get(proposal.key)
        if stored is not None and stored.moves >= proposal.moves:
            self.pin_by_key.move_to_end(proposal.key)
            return stored
        return self.merge(proposal)


class SessionResolver:
    """Finds the version that serves a session and holds this daemon's part of the pins.

    Attributes:
        pins: Pins that this daemon holds.
    """

    def __init__(
        self,
        instance_id: str,
        fleet_keys: tuple[bytes, ...],
        bus: PeerBus,
        view: Callable[[], MembershipView],
        unix_clock: Callable[[], float] = time,
        timeout_s: float = PIN_TIMEOUT_S,
        quarantined: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        """Create the resolver and register its handlers on the peer bus.

        Args:
            instance_id: Id of this daemon.
            fleet_keys: The first signs tokens, signatures of all are accepted.
            bus: Peer bus.
            view: Returns the live daemons, this one included.
            unix_clock: Returns the seconds since the epoch.
            timeout_s: Time for the holders of a pin to answer, in seconds.
            quarantined: Returns the versions that get no new sessions.
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
        # Pins that requests of this daemon have used, stored here or at other holders.
        self._used_pins = PinStore()
        # Instance id and zone of the daemons that may hold pins.
        self._holder_candidates: frozenset[tuple[str, str]] = frozenset()
        self._candidates_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        bus.on_message(PinRequest, self._on_pin_request)
        bus.on_message(PinBatch, self._on_pin_batch)

    async def resolve(
        self,
        call: ChatRequest,
        contract: Contract,
        config: FleetConfig,
        propose: Callable[[], Version],
    ) -> ResolvedSession:
        """Return the version that serves a request's session.

        Args:
            call: The request; it has a session.
            contract: Contract of the customer.
            config: Configuration in force.
            propose: Returns a version of the model that the session is to use if it is new.

        Raises:
            RefusedError: If the version is withdrawn and the contract does not let the session
                move to another one.
        """
        key = session_key(contract.customer, call.session, call.model)
        token_version = self._version_of_token(call, contract)
        if token_version and may_serve_session(token_version, contract, config):
            return self._resolved(call, contract, token_version, "token")
        if token_version:
            _check_may_move(token_version, contract)
        pin, source = await self._agree_on_pin(
            self._proposal(key, contract, config, propose, token_version)
        )
        moved_from = token_version if token_version != pin.version_id else ""
        if not may_serve_session(pin.version_id, contract, config):
            moved_from = pin.version_id
            _check_may_move(moved_from, contract)
            self._used_pins.merge(pin)
            proposal = self._proposal(key, contract, config, propose, moved_from)
            pin, source = await self._agree_on_pin(proposal)
        self._used_pins.merge(pin)
        return self._resolved(call, contract, pin.version_id, source, moved_from)

    async def run(self) -> None:
        """Send pins to their new holders whenever daemons join or leave, until cancelled."""
        while True:
            await self._candidates_changed.wait()
            self._candidates_changed.clear()
            await self.hand_over()

    def on_view_change(self, view: MembershipView) -> None:
        """Schedule a hand-over if the set of daemons that are not leaving has changed."""
        members = view.member_by_id.values()
        candidates = frozenset((m.instance_id, m.zone) for m in members if not m.leaving)
        if candidates != self._holder_candidates:
            self._holder_candidates = candidates
            self._candidates_changed.set()

    async def hand_over(self, leaving: bool = False) -> None:
        """Send pins to daemons that have become their holders.

        Args:
            leaving: Whether this daemon is shutting down and sends all its pins.
        """
        old_by_bucket, self._holders_by_bucket = self._holders_by_bucket, {}
        pins_by_holder: dict[str, list[Pin]] = {}
        for bucket, pins in self._pins_by_bucket().items():
            old = old_by_bucket.get(bucket, PinHolders(())).names
            for holder in self._holders(bucket, without_self=leaving).names:
                if holder != self._instance_id and (leaving or holder not in old):
                    pins_by_holder.setdefault(holder, []).extend(pins)
            # Yields to the event loop after each bucket: finding the holders of all pins among 420
            # daemons in one go blocked it for 111 ms.
            await asyncio.sleep(0)
        for holder, pins in pins_by_holder.items():
            for start in range(0, len(pins), MAX_PINS_PER_MESSAGE):
                await self._bus.send(
                    holder, PinBatch(tuple(pins[start : start + MAX_PINS_PER_MESSAGE]))
                )

    def _version_of_token(self, call: ChatRequest, contract: Contract) -> str:
        """Return the version in the session token; empty unless the token is valid for the call."""
        text = call.session_token
        token = verify_token(self._fleet_keys, text) if text else None
        if token is None or token.customer != contract.customer:
            return ""
        matches = token.session == call.session and token.wanted == call.model
        return token.version_id if matches else ""

    def _proposal(
        self,
        key: str,
        contract: Contract,
        config: FleetConfig,
        propose: Callable[[], Version],
        moved_from: str = "",
    ) -> Pin:
        """Return the pin to propose to the holders.

        It is the pin that this daemon used last for the session, or a new one with the version of
        the split if there is none or the session moves.

        Args:
            key: Key of the session.
            contract: Contract of the customer.
            config: Configuration in force.
            propose: Returns a version of the model that the session is to use.
            moved_from: Withdrawn version that the session moves away from; empty if it does not
                move.
        """
        used = self._used_pins.pin_by_key.get(key)
        if used is not None and not moved_from:
            return used
        version = propose()
        quarantined = self._quarantined()
        split = split_version(key, version.model, contract, config, quarantined) or version
        moves = (used.moves + 1 if used else 1) if moved_from else 0
        return Pin(key, split.version_id, self._unix_clock(), moves)

    async def _agree_on_pin(self, proposal: Pin) -> tuple[Pin, PinSource]:
        """Propose a pin to its holders and return the winning one and how it was found.

        If the holders differ, the winning pin is sent to those that have another one. If none
        answers in time, the proposal is returned.
        """
        holders = self._holders(bucket_of(proposal.key)).names
        requests = [asyncio.ensure_future(self._propose_to(name, proposal)) for name in holders]
        if not requests:
            return proposal, "split"
        done, late = await asyncio.wait(requests, timeout=self._timeout_s)
        for task in late:
            task.cancel()
        pin_by_holder = {
            name: pin
            for name, task in zip(holders, requests, strict=True)
            if task in done and (pin := task.result()) is not None
        }
        if not pin_by_holder:
            return proposal, "split"
        winner = reduce(winning_pin, pin_by_holder.values())
        self._send_correction(winner, [n for n, pin in pin_by_holder.items() if pin != winner])
        is_new = winner == proposal and proposal.key not in self._used_pins.pin_by_key
        return winner, "split" if is_new else "pin"

    async def _propose_to(self, holder: str, proposal: Pin) -> Pin | None:
        """Return the pin that a holder has stored; None if it does not answer."""
        if holder == self._instance_id:
            return self.pins.propose(proposal)
        try:
            reply = await self._bus.request(holder, PinRequest(proposal), PinReply, self._timeout_s)
        except PeerError:
            return None
        return reply.pin

    def _send_correction(self, pin: Pin, holders: list[str]) -> None:
        for holder in holders:
            if holder == self._instance_id:
                self.pins.merge(pin)
                continue
            task = asyncio.ensure_future(self._bus.send(holder, PinBatch((pin,))))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _resolved(
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

    def _holders(self, bucket: int, without_self: bool = False) -> PinHolders:
        """Return the holders of a bucket's pins, cached until the next hand-over."""
        holders = self._holders_by_bucket.get(bucket)
        if holders is None:
            members = [
                m
                for m in self._view().member_by_id.values()
                if not m.leaving and not (without_self and m.instance_id == self._instance_id)
            ]
            holders = self._holders_by_bucket[bucket] = holders_of_bucket(bucket, members)
        return holders

    def _pins_by_bucket(self) -> dict[int, list[Pin]]:
        pins_by_bucket: dict[int, list[Pin]] = {bucket: [] for bucket in range(PIN_BUCKETS)}
        for pin in self.pins.pin_by_key.values():
            pins_by_bucket[bucket_of(pin.key)].append(pin)
        return {bucket: pins for bucket, pins in pins_by_bucket.items() if pins}

    async def _on_pin_request(self, sender: str, request: PinRequest) -> PinReply:
        return PinReply(self.pins.propose(request.proposal))

    async def _on_pin_batch(self, sender: str, batch: PinBatch) -> None:
        for pin in batch.pins:
            self.pins.merge(pin)


def _check_may_move(version_id: str, contract: Contract) -> None:
    """Check that the contract lets a session of a withdrawn version move to another one.

    Raises:
        RefusedError: If it does not; the request has not run.
    """
    if contract.on_withdrawn == "refuse":
        raise RefusedError(
            f"the session's version {version_id} is withdrawn", ResultCode.VERSION_WITHDRAWN
        )
