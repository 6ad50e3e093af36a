"""Versions on which sessions were served, told between daemons while a roll-out begins."""

import logging

from msgspec import Struct

from comfreyhatch.decisions.session_version import may_move_early
from comfreyhatch.domain.exchange import Job
from comfreyhatch.domain.operations import RolloutOrder
from comfreyhatch.domain.session_report import SessionReport
from comfreyhatch.exchange.peer_reports import PeerReports
from comfreyhatch.exchange.view import FleetView

MAX_PINS = 20000
MAX_HELD_BACK = 20000
# Version of a session that another daemon serves on a replaced version.
REPLACED_VERSION = ""

log = logging.getLogger("comfreyhatch.sessions")


class _SessionKey(Struct, frozen=True):
    """A session as a service knows it.

    Services have versions of their own, which may bear the same names, and workspaces have sessions
    of their own.
    """

    service: str
    workspace: str
    session: str


class _Pin(Struct, frozen=True):
    """Version of a session.

    Attributes:
        version: The version.
        at: Monotonic time in seconds at which its last request began or ended.
        running: Number of its requests that run.
    """

    version: str
    at: float
    running: int


class SessionPins:
    """Keeps the version of each session that this daemon has served lately.

    A session may send its next request to any daemon. Those that would get the target version with
    the first share of a roll-out, but began on a replaced one, are told to all daemons, so that
    they stay there until the share grows. That is a small part of the sessions under way when the
    order comes.
    """

    def __init__(
        self, view: FleetView, reports: PeerReports, canary_share: float, pin_life_s: float
    ) -> None:
        """Create it without pins.

        Args:
            view: Current state of the fleet.
            reports: Carries reports to and from other daemons.
            canary_share: Share of the sessions that get the target version first.
            pin_life_s: Time after the begin and the end of its last request for which a session is
                pinned, in seconds.
        """
        self._view = view
        self._reports = reports
        self._canary = canary_share
        self._life_s = pin_life_s
        self._pin_by_session: dict[_SessionKey, _Pin] = {}
        self._held_back: dict[tuple[str, str, str], float] = {}
        self._told_order_by_service: dict[str, RolloutOrder] = {}
        reports.subscribe(SessionReport, self.learn)

    def pin(self, job: Job, version: str, now: float) -> None:
        """Pin the session of a request that begins to a version; the oldest pins are dropped.

        The pin lasts at least until the request is ended with `end`.
        """
        session = job.exchange.session
        if not session:
            return
        key = _session_key(job)
        before = self._pin_by_session.pop(key, None)
        running = before.running + 1 if before is not None else 1
        self._pin_by_session[key] = _Pin(version, now, running)
        while len(self._pin_by_session) > MAX_PINS:
            self._pin_by_session.pop(next(iter(self._pin_by_session)))
        order = self._view.order(job.service)
        if order is not None and self._is_held_back(session, job.service, version, order):
            self._tell([session], order, now)

    def end(self, job: Job, now: float) -> None:
        """Note that a request whose session was pinned has ended, and prolong the pin."""
        key = _session_key(job)
        pin = self._pin_by_session.get(key)
        if pin is not None:
            self._pin_by_session[key] = _Pin(pin.version, now, max(0, pin.running - 1))

    def version(self, job: Job, now: float) -> str | None:
        """Return the version of a request's session; None if it is free.

        `REPLACED_VERSION` stands for one that only another daemon knows.
        """
        pin = self._pin_by_session.get(_session_key(job))
        if pin is not None and self._is_in_force(pin, now):
            return pin.version
        order = self._view.order(job.service)
        if order is None:
            return None
        held = (order.service, order.version, job.exchange.session) in self._held_back
        return REPLACED_VERSION if held else None

    def note_orders(self, now: float) -> None:
        """Tell other daemons of the sessions to hold back, once for each new order."""
        operations = self._view.operations
        orders = operations.order_by_service if operations else {}
        for service, order in orders.items():
            told = self._told_order_by_service.get(service)
            if told is not None and self._view.is_same_order(told, order):
                continue
            self._told_order_by_service[service] = order
            if self._view.final_state(service) is None:
                self._tell(self._sessions_to_hold_back(order, now), order, now)

    def learn(self, report: SessionReport, now: float) -> None:
        """Learn of a session that another daemon holds back."""
        self._hold_back((report.service, report.version, report.session), now)

    def _sessions_to_hold_back(self, order: RolloutOrder, now: float) -> list[str]:
        return [
            key.session
            for key, pin in self._pin_by_session.items()
            if key.service == order.service
            and self._is_in_force(pin, now)
            and self._is_held_back(key.session, key.service, pin.version, order)
        ]

    def _is_in_force(self, pin: _Pin, now: float) -> bool:
        """Return whether a session is pinned: its requests run, or it has not paused for long."""
        return pin.running > 0 or now - pin.at <= self._life_s

    def _is_held_back(self, session: str, service: str, version: str, order: RolloutOrder) -> bool:
        """Return whether a session is to be told: on a replaced version, and due to move early."""
        if version == order.version or (service, order.version, session) in self._held_back:
            return False
        trial = self._view.trial(service)
        if trial is not None and trial.share > self._canary:
            return False
        return may_move_early(session, order, self._canary)

    def _tell(self, sessions: list[str], order: RolloutOrder, now: float) -> None:
        for session in sessions:
            self._hold_back((order.service, order.version, session), now)
            log.info(
                "event=session_held_back session=%s service=%s target=%s",
                session,
                order.service,
                order.version,
            )
        reports = [SessionReport(order.service, order.version, session) for session in sessions]
        self._reports.publish(reports, now)

    def _hold_back(self, held: tuple[str, str, str], now: float) -> None:
        self._held_back[held] = now
        while len(self._held_back) > MAX_HELD_BACK:
            self._held_back.pop(next(iter(self._held_back)))


def _session_key(job: Job) -> _SessionKey:
    return _SessionKey(job.service, job.workspace, job.exchange.session)
