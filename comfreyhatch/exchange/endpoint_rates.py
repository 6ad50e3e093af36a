"""Rates of endpoints over all daemons: bounds, this daemon's part of them, and permits.

An endpoint has such a rate while it is cold and while it names a limit. Each request that is sent
to it draws on the rate, whatever it is: a first attempt, a retry, a hedge, the larger model's
answer, a stream that goes on.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Collection, Iterable
from random import Random

from msgspec import Struct
from prometheus_client import CollectorRegistry, Counter

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.shared_rate import (
    RateBound,
    cold_bound,
    lower_bound,
    named_bound,
    senders_of,
)
from comfreyhatch.domain.deployment import Deployment
from comfreyhatch.domain.permit import PermitAnswer, PermitAsk
from comfreyhatch.exchange.endpoint_limits import EndpointLimits
from comfreyhatch.exchange.permits import PermitClient
from comfreyhatch.exchange.view import FleetView

ASSUMED_DAEMONS_PER_ZONE = 2
# Time after this daemon's start in which daemons that have not registered yet are assumed.
ASSUMED_S = 20.0
# Most senders that are asked for one request, usually and under overload.
MAX_ASKS = 6
MAX_ASKS_OVERLOADED = 2
# Longest time for which no sender is asked after a request was denied.
DENIED_PAUSE_S = 0.25
# Time for which the selection of senders is kept, unless a daemon does not answer.
SENDERS_LIFE_S = 0.2
# Time over which the permits of this daemon are counted.
GRANTED_WINDOW_S = 4.0
# A sender that does not know of the endpoint, or of its rate, is asked again after this time.
UNKNOWN_RETRY_S = 0.5
# A service is overloaded for this time after the first of two denied permits.
OVERLOADED_S = 1.0
MAX_SILENT_TOLD = 8

log = logging.getLogger("comfreyhatch.rates")


class _Source(Struct, frozen=True):
    """A sender that may have a permit for an endpoint."""

    tracker: EndpointTracker
    sender: str


class _Pause(Struct, frozen=True):
    """A time in which no sender is asked for permits that are needed as soon as a denied one."""

    until: float
    within_s: float


class EndpointRates:
    """Decides whether a request may be sent to an endpoint with a bounded rate."""

    def __init__(
        self,
        deployment: Deployment,
        view: FleetView,
        limits: EndpointLimits,
        client: PermitClient,
        registry: CollectorRegistry,
        rng: Random,
        started_at: float,
    ) -> None:
        """Create it.

        Args:
            deployment: Settings.
            view: Current state of the fleet.
            limits: Limits that endpoints name.
            client: Asks other daemons for permits.
            registry: Registry of the metrics.
            rng: Seeded source of the choice among equal senders.
            started_at: Monotonic time at which this daemon started, in seconds.
        """
        self._deployment = deployment
        self._view = view
        self._limits = limits
        self._client = client
        self._rng = rng
        self._started_at = started_at
        self._denied_at_by_service: dict[str, deque[float]] = {}
        self._pause_by_service: dict[str, _Pause] = {}
        self._sent_at_by_service: dict[str, deque[float]] = {}
        self._senders_by_endpoint: dict[tuple[str, RateBound], list[str]] = {}
        self._senders_among: frozenset[str] = frozenset()
        self._senders_at = float("-inf")
        self._failures_known = 0
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._asked = Counter(
            "comfreyhatch_permits_asked",
            "Permits asked of other daemons, by outcome.",
            ["outcome"],
            registry=registry,
        )

    def daemons(self, now: float) -> set[str]:
        """Return the known daemons.

        For some time after the start they are padded with placeholders for daemons that have not
        registered yet, so that this one does not take more than its part of a shared rate.
        """
        known = self._view.daemons() | {self._deployment.instance}
        if now - self._started_at > ASSUMED_S:
            return known
        least = ASSUMED_DAEMONS_PER_ZONE * len(self._deployment.zones)
        return known | {f"unheard-{n}" for n in range(least - len(known))}

    def bound(self, tracker: EndpointTracker, now: float) -> RateBound | None:
        """Return the bound on an endpoint's rate; None if it has none."""
        limit_per_s = self._limits.per_s(tracker)
        cold = self._cold_bound(tracker) if self._view.cold(tracker, now) else None
        if limit_per_s is None:
            return cold
        named = named_bound(limit_per_s)
        return named if cold is None else lower_bound(cold, named)

    def may_send(self, tracker: EndpointTracker, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        bound = self.bound(tracker, now)
        return bound is None or tracker.rate.may_send(self._part_per_s(tracker, bound, now), now)

    def record(self, tracker: EndpointTracker, now: float) -> None:
        """Draw a request that is sent to an endpoint on its rate."""
        bound = self.bound(tracker, now)
        if bound is None:
            return
        tracker.rate.take(self._part_per_s(tracker, bound, now), now)
        sent = self._sent_at_by_service.setdefault(tracker.record.service, deque())
        sent.append(now)
        while now - sent[0] > GRANTED_WINDOW_S:
            sent.popleft()

    def bounded(self, trackers: Iterable[EndpointTracker], now: float) -> list[EndpointTracker]:
        """Return the endpoints whose rate is bounded."""
        return [tracker for tracker in trackers if self.bound(tracker, now) is not None]

    def permits(self, trackers: Iterable[EndpointTracker], now: float) -> int:
        """Return the number of permits that this daemon holds for endpoints, for now or later."""
        return sum(tracker.rate.permits(now) for tracker in trackers)

    def is_open(self, trackers: Collection[EndpointTracker], within_s: float, now: float) -> bool:
        """Return whether any sender may have a permit for one of some endpoints within a time."""
        if any(self._is_paused(tracker.record.service, within_s, now) for tracker in trackers):
            return False
        return self._open_source(trackers, within_s, now) is not None

    def overloaded(self, service: str, now: float) -> bool:
        """Return whether two requests of a service were denied permits a short time ago."""
        denied_at = self._denied_at_by_service.get(service)
        if denied_at is None or len(denied_at) < 2:
            return False
        return now - denied_at[0] < OVERLOADED_S

    def next_s(self, trackers: Iterable[EndpointTracker], now: float) -> float:
        """Return the time until any sender may have a permit, as far as senders told."""
        told = [at for source in self._sources(trackers, now) if (at := _next_at(source)) > 0]
        return max(0.0, min(told, default=now) - now)

    def interval_s(self, service: str, trackers: Iterable[EndpointTracker], now: float) -> float:
        """Return the time that this daemon needs to send one request to some endpoints.

        It may have more than an even part of their rates, if others have fewer requests.
        """
        bounds = [bound for t in trackers if (bound := self.bound(t, now)) is not None]
        even_per_s = sum(bound.per_s for bound in bounds) / len(self.daemons(now))
        sent_at = self._sent_at_by_service.get(service, ())
        own_per_s = sum(now - at <= GRANTED_WINDOW_S for at in sent_at) / GRANTED_WINDOW_S
        per_s = max(even_per_s, own_per_s)
        return 1 / per_s if per_s > 0 else 0.0

    async def obtain(self, trackers: Collection[EndpointTracker], within_s: float) -> float | None:
        """Ask senders for a permit for one of some endpoints; the permit is kept with the endpoint.

        Args:
            trackers: Endpoints with bounded rates.
            within_s: Longest wait for the permit, in seconds.

        Returns:
            Time until the permit may be used, in seconds; None if no sender has any in time.
        """
        loop = asyncio.get_running_loop()
        overloaded = any(self.overloaded(t.record.service, loop.time()) for t in trackers)
        for _ in range(MAX_ASKS_OVERLOADED if overloaded else MAX_ASKS):
            source = self._open_source(trackers, within_s, loop.time())
            if source is None:
                break
            delay_s = await self._obtain_from(source, within_s)
            if delay_s is not None:
                return delay_s
        for service in {tracker.record.service for tracker in trackers}:
            self._note_denied(service, within_s, loop.time())
        return None

    def answer(self, ask: PermitAsk, now: float) -> PermitAnswer:
        """Answer another daemon that asks this one for a permit."""
        self._probe_silent(ask.silent, now)
        tracker = self._view.tracker_by_id.get(ask.start.rpartition("/")[0])
        bound = None
        if tracker is not None and tracker.start == ask.start:
            bound = self.bound(tracker, now)
        per_s = self._part_per_s(tracker, bound, now) if tracker and bound else 0.0
        if tracker is None or per_s <= 0:
            return PermitAnswer()
        bucket = tracker.rate.bucket
        delay_s = bucket.reserve(per_s, ask.within_s, now)
        return PermitAnswer(delay_s, bucket.wait_s(per_s, now))

    async def stop(self) -> None:
        """End what is under way."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)
        await self._client.stop()

    def _note_denied(self, service: str, within_s: float, now: float) -> None:
        self._denied_at_by_service.setdefault(service, deque(maxlen=2)).append(now)
        if not self._is_paused(service, within_s, now):
            pause_s = min(DENIED_PAUSE_S, within_s) * (0.5 + 0.5 * self._rng.random())
            self._pause_by_service[service] = _Pause(now + pause_s, within_s)

    def _is_paused(self, service: str, within_s: float, now: float) -> bool:
        """Return whether a permit is not asked for; one that may come later still is."""
        pause = self._pause_by_service.get(service)
        return pause is not None and now < pause.until and within_s <= pause.within_s

    def _cold_bound(self, tracker: EndpointTracker) -> RateBound | None:
        catalog = self._view.catalog
        service = catalog.service_by_name.get(tracker.record.service) if catalog else None
        if service is None or service.cold_per_s <= 0:
            return None
        bounds = self._deployment.bounds
        return cold_bound(service.cold_per_s, bounds.cold_over, bounds.cold_slack)

    def _senders(self, tracker: EndpointTracker, bound: RateBound, now: float) -> list[str]:
        """Return the senders of an endpoint, without daemons that do not answer."""
        if now - self._senders_at > SENDERS_LIFE_S or self._client.failures > self._failures_known:
            self._update_daemons(now)
        key = (tracker.record.endpoint_id, bound)
        found = self._senders_by_endpoint.get(key)
        if found is None:
            found = senders_of(tracker.record.endpoint_id, self._senders_among, bound)
            self._senders_by_endpoint[key] = found
        return found

    def _update_daemons(self, now: float) -> None:
        """Take note of the daemons that may be senders, and forget selections of others."""
        silent = self._client.silent(now) - {self._deployment.instance}
        daemons = frozenset(self.daemons(now) - silent)
        self._senders_at, self._failures_known = now, self._client.failures
        if daemons != self._senders_among:
            self._senders_among = daemons
            self._senders_by_endpoint.clear()

    def _part_per_s(self, tracker: EndpointTracker, bound: RateBound, now: float) -> float:
        senders = self._senders(tracker, bound, now)
        return bound.per_s / len(senders) if self._deployment.instance in senders else 0.0

    def _sources(self, trackers: Iterable[EndpointTracker], now: float) -> list[_Source]:
        return [
            _Source(tracker, sender)
            for tracker in trackers
            if (bound := self.bound(tracker, now)) is not None
            for sender in self._senders(tracker, bound, now)
        ]

    def _open_source(
        self, trackers: Iterable[EndpointTracker], within_s: float, now: float
    ) -> _Source | None:
        """Return the source that may have the next permit; of equal ones this daemon, or any."""
        sources = [s for s in self._sources(trackers, now) if _next_at(s) <= now + within_s]
        if not sources:
            return None
        earliest = min(max(now, _next_at(source)) for source in sources)
        equal = [source for source in sources if _next_at(source) <= earliest]
        own = [source for source in equal if source.sender == self._deployment.instance]
        return self._rng.choice(own or equal)

    async def _obtain_from(self, source: _Source, within_s: float) -> float | None:
        """Ask a source for a permit, and return the time until it may be used; None without one."""
        rate = source.tracker.rate
        answer = await self._ask(source, within_s)
        now = asyncio.get_running_loop().time()
        if answer is None or answer.next_s is None:
            rate.note_next(source.sender, now + within_s + UNKNOWN_RETRY_S)
            return None
        if answer.delay_s is None:
            rate.note_next(source.sender, now + max(answer.next_s, within_s))
            return None
        rate.note_next(source.sender, now + answer.next_s)
        rate.add_permit(now + answer.delay_s)
        return answer.delay_s

    async def _ask(self, source: _Source, within_s: float) -> PermitAnswer | None:
        now = asyncio.get_running_loop().time()
        silent = sorted(self._client.silent(now))[:MAX_SILENT_TOLD]
        ask = PermitAsk(source.tracker.start, within_s, tuple(silent))
        if source.sender == self._deployment.instance:
            return self.answer(ask, now)
        answer = await self._client.ask(source.sender, ask)
        granted = answer is not None and answer.delay_s is not None
        outcome = "silent" if answer is None else "granted" if granted else "denied"
        self._asked.labels(outcome=outcome).inc()
        return answer

    def _probe_silent(self, names: Iterable[str], now: float) -> None:
        """Find out whether daemons that others can't reach are silent, to stand in for them."""
        for name in names:
            known = name in self._view.control_by_daemon and name != self._deployment.instance
            if known and name not in self._probes and name not in self._client.silent(now):
                self._probes[name] = asyncio.create_task(self._probe(name))

    async def _probe(self, name: str) -> None:
        try:
            await self._client.ask(name, PermitAsk())
        finally:
            del self._probes[name]


def _next_at(source: _Source) -> float:
    return source.tracker.rate.next_at(source.sender)
