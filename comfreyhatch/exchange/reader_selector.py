"""Selects the reader that a follower queries, with a hold-down for readers that failed."""

import logging

from msgspec import Struct

from comfreyhatch.decisions.readers import reader_for, readers_of
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
        group = self._view.daemons_in(self._deployment.region)
        reader = reader_for(self._deployment.instance, group, self._held_down(now), self._links())
        return self._view.control_by_daemon.get(reader) if reader else None

    def others(self, now: float) -> list[str]:
        """Return the control addresses of the readers of all regions, without this daemon's.

        Those in hold-down and those that replace them are both included, as other daemons may
        have other readers in hold-down.
        """
        found: set[str] = set()
        for region in set(self._view.region_by_daemon.values()):
            group = self._view.daemons_in(region)
            found |= set(readers_of(group, (), self._links()))
            found |= set(readers_of(group, self._held_down(now), self._links()))
        found.discard(self._deployment.instance)
        return sorted(self._view.control_by_daemon[reader] for reader in found)

    def _held_down(self, now: float) -> list[str]:
        return [
            daemon
            for daemon, address in self._view.control_by_daemon.items()
            if self._is_held_down(address, now)
        ]

    def _links(self) -> dict[str, float]:
        own = self._deployment
        return {**self._view.link_by_daemon, own.instance: own.link_mbps}

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
