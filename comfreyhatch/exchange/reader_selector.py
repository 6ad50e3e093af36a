"""Selects the reader that a follower queries, with a hold-down for readers that failed."""

import logging

from msgspec import Struct

from comfreyhatch.decisions.readers import reader_for
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.exchange.view import FleetView

# Hold-down of a reader after its first failure; doubles with each further one.
INITIAL_HOLD_DOWN_S = 4.0
MAX_HOLD_DOWN_S = 64.0

log = logging.getLogger("comfreyhatch.news")


class _HoldDown(Struct, frozen=True):
    """Hold-down of one reader.

    Attributes:
        until: Monotonic time at which it ends.
        pause_s: Its length in seconds.
    """

    until: float
    pause_s: float


class ReaderSelector:
    """Selects a reader by rendezvous hashing among those that are not in hold-down."""

    def __init__(self, deployment: Deployment, view: FleetView) -> None:
        self._deployment = deployment
        self._view = view
        self._hold_down_by_address: dict[str, _HoldDown] = {}

    def address(self, now: float) -> str | None:
        """Return the control address of the reader; None if this daemon reads the directory."""
        records = self._view.records
        if records is None or not self._view.ready():
            return None
        held_down = [
            daemon
            for daemon, address in self._view.control_by_daemon.items()
            if self._is_held_down(address, now)
        ]
        group = self._view.daemons_in(self._deployment.region)
        links = {**self._view.link_by_daemon, self._deployment.instance: self._deployment.link_mbps}
        reader = reader_for(self._deployment.instance, group, held_down, links)
        return self._view.control_by_daemon.get(reader) if reader else None

    def hold_down(self, address: str, reason: str, now: float) -> None:
        """Exclude a reader that has failed, for twice as long as the last time."""
        last = self._hold_down_by_address.get(address)
        pause_s = min(MAX_HOLD_DOWN_S, 2 * last.pause_s) if last else INITIAL_HOLD_DOWN_S
        self._hold_down_by_address[address] = _HoldDown(now + pause_s, pause_s)
        log.info("event=reader_avoided peer=%s for_s=%.0f reason=%r", address, pause_s, reason)

    def clear_hold_down(self, address: str) -> None:
        """End the hold-down of a reader that has answered, and reset its length."""
        self._hold_down_by_address.pop(address, None)

    def _is_held_down(self, address: str, now: float) -> bool:
        hold_down = self._hold_down_by_address.get(address)
        return hold_down is not None and now < hold_down.until
