"""Judges the answers that are lost during roll-outs, once it is known whether endpoints live."""

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from msgspec import Struct

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.lost_answers import (
    SAME_MOMENT_S,
    LossJudge,
    LossVerdict,
    LostAnswer,
)
from comfreyhatch.domain.operations import RolloutOrder, RolloutState
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.view import FleetView

# Shortest time between two looks at an endpoint.
LOOK_INTERVAL_S = 0.25
# Losses of one endpoint that wait to be judged; further ones are due to the same event.
MAX_WAITING = 32

log = logging.getLogger("comfreyhatch.trials")


class Look(Enum):
    """How it is found out whether an endpoint is alive."""

    CONNECT = auto()
    HEALTH_PATH = auto()
    TRAFFIC = auto()


class Loss(Struct, frozen=True):
    """How an answer was lost.

    Attributes:
        text: Name in the log.
        look: How to find out whether its endpoint is alive.
        is_shared: Whether others may be lost by the same event that are under way there.
    """

    text: str
    look: Look
    is_shared: bool


class Liveness(Protocol):
    """Asks endpoints whether they are alive."""

    async def accepts_connections(self, endpoint: EndpointTracker) -> bool:
        """Return whether a new connection can be opened."""

    async def answers(self, endpoint: EndpointTracker) -> bool | None:
        """Return whether an endpoint answers its health path; None if that can't be asked."""


class _Waiting(Struct, frozen=True):
    """A lost answer that is to be judged.

    Attributes:
        lost: The lost answer.
        how: How it was lost.
        count: Counts it against its version.
    """

    lost: LostAnswer
    how: Loss
    count: Callable[[], None]


class LostAnswers:
    """Counts lost answers that are the fault of their version.

    Each daemon judges what it has lost itself. The endpoint is asked after the loss: by a new
    connection if the old one broke, by its health path if nothing came. Losses that the traffic
    shows alone, such as answers that a hedge has outrun, are judged by that.
    """

    def __init__(self, view: FleetView, liveness: Liveness) -> None:
        """Create it.

        Args:
            view: Current state of the fleet.
            liveness: Asks endpoints whether they are alive.
        """
        self._view = view
        self._liveness = liveness
        self._judge_by_service: dict[str, tuple[RolloutOrder, LossJudge]] = {}
        self._waiting_by_endpoint: dict[str, list[_Waiting]] = {}
        self._looked_at_by_endpoint: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(
        self, attempt: ObservedAttempt, how: Loss, count: Callable[[], None], now: float
    ) -> None:
        """Judge a lost answer soon, if there is a roll-out of its service.

        Args:
            attempt: The attempt whose answer was lost.
            how: How it was lost.
            count: Called if the loss is the fault of the version.
            now: Monotonic time in seconds.
        """
        endpoint = attempt.endpoint
        found = self._judge(endpoint.record.service)
        if found is None:
            return
        order, judge = found
        lost = LostAnswer(
            endpoint.record.endpoint_id,
            endpoint.record.version == order.version,
            how.is_shared,
            attempt.sent_at,
            now,
            endpoint.last_received_at,
        )
        judge.note(lost)
        waiting = self._waiting_by_endpoint.setdefault(lost.endpoint_id, [])
        if len(waiting) >= MAX_WAITING:
            return
        waiting.append(_Waiting(lost, how, count))
        if len(waiting) == 1:
            self._forget_looks(now)
            task = asyncio.create_task(self._resolve(endpoint, judge))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Judge nothing more."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _judge(self, service: str) -> tuple[RolloutOrder, LossJudge] | None:
        """Return the order in force and what judges its losses; None if none count."""
        order = self._view.order(service)
        if order is None or self._view.final_state(service) is RolloutState.ROLLED_BACK:
            return None
        known = self._judge_by_service.get(service)
        if known is None or not self._view.is_same_order(known[0], order):
            known = (order, LossJudge())
            self._judge_by_service[service] = known
        return known

    def _forget_looks(self, now: float) -> None:
        """Forget the looks at endpoints that may be looked at again; many come and go for good."""
        for endpoint_id, looked_at in list(self._looked_at_by_endpoint.items()):
            if now - looked_at >= LOOK_INTERVAL_S:
                del self._looked_at_by_endpoint[endpoint_id]

    async def _resolve(self, endpoint: EndpointTracker, judge: LossJudge) -> None:
        """Look at an endpoint and judge its losses, until none are left."""
        endpoint_id = endpoint.record.endpoint_id
        loop = asyncio.get_running_loop()
        try:
            # What is lost at the same moment is to be known before anything is judged.
            await asyncio.sleep(SAME_MOMENT_S)
            while waiting := self._waiting_by_endpoint[endpoint_id]:
                looked_at = self._looked_at_by_endpoint.get(endpoint_id, float("-inf"))
                await asyncio.sleep(max(0.0, looked_at + LOOK_INTERVAL_S - loop.time()))
                batch = waiting[:]
                self._looked_at_by_endpoint[endpoint_id] = loop.time()
                is_alive = await self._look(endpoint, batch)
                del waiting[: len(batch)]
                for found in batch:
                    self._count(endpoint, judge, found, is_alive)
        finally:
            del self._waiting_by_endpoint[endpoint_id]

    async def _look(self, endpoint: EndpointTracker, batch: list[_Waiting]) -> bool | None:
        """Return whether an endpoint is alive; None if only the traffic shows it."""
        looks = {found.how.look for found in batch}
        if Look.HEALTH_PATH in looks:
            return await self._liveness.answers(endpoint)
        if Look.CONNECT in looks:
            return await self._liveness.accepts_connections(endpoint)
        return None

    def _count(
        self,
        endpoint: EndpointTracker,
        judge: LossJudge,
        found: _Waiting,
        is_alive: bool | None,
    ) -> None:
        """Judge a loss and count it if it is the fault of the version."""
        if is_alive is None or found.how.look is Look.TRAFFIC:
            is_alive = found.lost.heard_at > found.lost.sent_at
        trackers = self._view.trackers_by_service.get(endpoint.record.service, ())
        heard_at_by_endpoint = {
            tracker.record.endpoint_id: tracker.last_received_at
            for tracker in trackers
            if tracker.record.version == endpoint.record.version
        }
        verdict = judge.judge(found.lost, is_alive, heard_at_by_endpoint)
        if verdict is LossVerdict.VERSION:
            found.count()
            return
        log.info(
            "event=loss_not_counted endpoint=%s version=%s how=%r due_to=%r",
            endpoint.record.endpoint_id,
            endpoint.record.version,
            found.how.text,
            verdict.value,
        )
