"""Which reader of the directory this daemon asks, and which ones it leaves alone for now."""

import logging

from msgspec import Struct

from comfreyhatch.decisions.readers import reader_for
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.exchange.view import FleetView

INITIAL_HOLD_DOWN_S = 4.0
MAX_HOLD_DOWN_S = 64.0

log = logging.getLogger("comfreyhatch.news")


class _HoldDown(Struct, frozen=True):
    """Until when a reader is not asked, by the monotonic clock, and for how long that is."""

    until: float
    pause_s: float


class ReaderSelector:
    """Names the reader to ask; those that failed are left alone, longer each time."""

    def __init__(self, deployment: Deployment, view: FleetView) -> None:
        self._deployment = deployment
        self._view = view
        self._hold_down_by_address: dict[str, _HoldDown] = {}

    def address(self, now: float) -> str | None:
        """Return the control address to ask; None when this daemon is to read itself."""
        records = self._view.records
        if records is None or not self._view.ready():
            return None
        avoided = [
            daemon
            for daemon, address in records.control_by_daemon.items()
            if self._is_held_down(address, now)
        ]
        group = self._view.daemons_in(self._deployment.region)
        reader = reader_for(self._deployment.instance, group, avoided)
        return records.control_by_daemon.get(reader) if reader else None

    def hold_down(self, address: str, reason: str, now: float) -> None:
        """Leave a reader alone for a while."""
        before = self._hold_down_by_address.get(address)
        pause_s = min(MAX_HOLD_DOWN_S, 2 * before.pause_s) if before else INITIAL_HOLD_DOWN_S
        self._hold_down_by_address[address] = _HoldDown(now + pause_s, pause_s)
        log.info("event=reader_avoided peer=%s for_s=%.0f reason=%r", address, pause_s, reason)

    def clear_hold_down(self, address: str) -> None:
        """Forget the failures of a reader that has answered."""
        self._hold_down_by_address.pop(address, None)

    def _is_held_down(self, address: str, now: float) -> bool:
        avoided = self._hold_down_by_address.get(address)
        return avoided is not None and now < avoided.until
