"""Answers to the queries of peers: what is newer than what they have, once anything is."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from comfreyhatch.domain.permit import PermitAnswer, PermitAsk
from comfreyhatch.domain.position import Position
from comfreyhatch.exchange.peer_reports import PeerReports, Report
from comfreyhatch.exchange.peer_updates import (
    acknowledgement,
    has_newer_reports,
    has_newer_state,
    update_since,
)
from comfreyhatch.exchange.peers import MAX_QUERY_WAIT_S, PeerQuery, PeerUpdate
from comfreyhatch.exchange.view import FleetView

# Time for which reports to a follower wait for others: hundreds of daemons may see one crash.
REPORTS_DELAY_S = 0.1


def no_permit(ask: PermitAsk, now: float) -> PermitAnswer:
    """Answer a peer that asks for a permit, at a daemon that has none."""
    return PermitAnswer()


class PeerAnswers:
    """Answers peers from this daemon's view.

    Attributes:
        last_query_at: Monotonic time of the last query for what is newer, in seconds.
        receive_reports: Takes the reports that come with queries.
    """

    def __init__(
        self,
        view: FleetView,
        reports: PeerReports | None,
        answer_permit: Callable[[PermitAsk, float], PermitAnswer],
    ) -> None:
        """Create it.

        Args:
            view: What this daemon knows.
            reports: Reports to pass on; None for none.
            answer_permit: Answers a peer that asks for a permit, at a monotonic time.
        """
        self._view = view
        self._reports = reports
        self._answer_permit = answer_permit
        self._changed = asyncio.Event()
        self.last_query_at = float("-inf")
        self.receive_reports: Callable[[tuple[Report, ...]], None] = lambda reports: None

    def wake(self) -> None:
        """Let the queries that wait look whether anything is newer."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, query: PeerQuery) -> PeerUpdate:
        """Answer a query.

        Args:
            query: Positions that the peer holds, and its longest wait; or what it asks or tells.

        Returns:
            What is newer than those positions, once anything is or the wait is over.
        """
        loop = asyncio.get_running_loop()
        if query.permits:
            permits = tuple(self._answer_permit(ask, loop.time()) for ask in query.permits)
            return PeerUpdate(None, 0.0, None, 0.0, None, Position(), permits=permits)
        self.receive_reports(query.reports)
        if query.only_reports:
            return acknowledgement(self._reports)
        self.last_query_at = loop.time()
        await self._wait_for_newer(query, loop.time() + min(query.wait_s, MAX_QUERY_WAIT_S))
        return update_since(self._view, self._reports, query, loop.time())

    async def _wait_for_newer(self, query: PeerQuery, ends_at: float) -> None:
        """Wait until anything is newer than what a peer has; reports wait for others to go along.

        Args:
            query: What the peer has.
            ends_at: Monotonic time at which the wait ends, in seconds.
        """
        loop = asyncio.get_running_loop()
        has_reports = False
        while not has_newer_state(self._view, query):
            if not has_reports and has_newer_reports(self._reports, query):
                has_reports = True
                ends_at = min(ends_at, loop.time() + REPORTS_DELAY_S)
            if loop.time() >= ends_at:
                return
            changed = self._changed
            with suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
