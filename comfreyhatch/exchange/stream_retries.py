"""Decides on further attempts of streamed requests, and reserves the extra requests for them."""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.scheduler import EndpointScheduler
from comfreyhatch.exchange.sender import Sender
from comfreyhatch.exchange.stream_state import StreamState

# Pause between attempts to resume a stream while no endpoint takes it.
RESUME_PAUSE_S = 0.25

log = logging.getLogger("comfreyhatch.streams")


class StreamRetries:
    """Allows further attempts of streams by their routes, their deadlines and the budget."""

    def __init__(
        self,
        scheduler: EndpointScheduler,
        sender: Sender,
        budget: Callable[[str], ExtraRequestBudget],
        crashes: CrashGuard,
    ) -> None:
        """Create it.

        Args:
            scheduler: Knows the endpoints that may serve a request.
            sender: Finds out whether endpoints have ended.
            budget: Returns the budget of extra requests of a service.
            crashes: Knows which requests and prompts crash endpoints.
        """
        self._scheduler = scheduler
        self._sender = sender
        self._budget = budget
        self._crashes = crashes

    async def take(self, stream: StreamState) -> bool:
        """Return whether to retry a failed attempt, and reserve the retry in the budget.

        If the route's attempts are used up, broken endpoints are probed first: an attempt whose
        endpoint has ended does not count. Otherwise two crashes at nearly the same time would cut
        a stream that has used its other attempts for the cascade.
        """
        if stream.account.used_up:
            await self._probe_broken(stream)
        now = asyncio.get_running_loop().time()
        if not stream.may_attempt(now):
            return False
        refused_often = stream.waits_until_deadline and stream.account.failed_often
        if refused_often and not await _pause(stream):
            return False
        while not self._reserve_retry(stream, asyncio.get_running_loop().time()):
            if not await self.pause_before_resume(stream, "no endpoint answers, or no budget"):
                return False
        return True

    def excluded(self, stream: StreamState, now: float) -> set[str]:
        """Return the ids of the endpoints that the next attempt leaves out.

        An endpoint that failed earlier may have recovered: if all are excluded, or the others are
        silent, it is tried again.
        """
        tried = set(stream.excluded_ids)
        last = {stream.endpoint_id}
        if stream.max_silent_s is not None:
            for excluded in (tried, last):
                if self._scheduler.silence.has_responsive(
                    stream.job, excluded, stream.max_silent_s, True, now
                ):
                    return excluded
        for excluded in (tried, last, set()):
            if self._scheduler.silence.has_unavoided(stream.job, excluded, now):
                return excluded
        for excluded in (tried, last):
            if self._scheduler.has_candidates(stream.job, excluded, now):
                return excluded
        return set()

    def _reserve_retry(self, stream: StreamState, now: float) -> bool:
        """Reserve a retry, unless only endpoints could get it that are avoided as silent."""
        repeats = stream.arrivals.any_possible
        if repeats and not self._scheduler.silence.has_unavoided(stream.job, set(), now):
            return False
        return self.reserve(stream, now)

    async def _probe_broken(self, stream: StreamState) -> None:
        """Take the broken attempts whose endpoints have ended off the limit of the route.

        An endpoint to which no connection can be opened in time may be running its attempt.
        """
        for counted, endpoint in stream.endpoint_by_broken.items():
            if await self._sender.is_down(endpoint):
                stream.account.note_endpoint_ended(counted)
                _log_not_counted(stream, endpoint)
        stream.endpoint_by_broken.clear()

    def reserve(self, stream: StreamState, now: float) -> bool:
        """Reserve what the next attempt needs; return whether the budget allows it."""
        return stream.arrivals.reserve(self._budget(stream.job.service), now)

    async def pause_before_resume(self, stream: StreamState, reason: str) -> bool:
        """Pause a stream that waits until its deadline; return whether it may then be resumed.

        Returns:
            False at once for other streams, or if no attempt is left; at the deadline otherwise, if
            no time is left then.
        """
        now = asyncio.get_running_loop().time()
        if not stream.waits_until_deadline or not stream.may_attempt(now):
            return False
        log.info(
            "event=resume_delayed id=%s events=%s reason=%r",
            stream.job.exchange.request_id,
            stream.last_event_id,
            reason,
        )
        return await _pause(stream)

    def reserve_stalled(self, stream: StreamState, now: float) -> bool:
        """Reserve the retry of a stalled request; return False if it has to keep waiting."""
        if not stream.job.route.repeatable or not stream.may_attempt(now + RESUME_PAUSE_S):
            return False
        if self._crashes.blocks(stream.job, now):
            return False
        max_silent_s = None
        if stream.endpoint_is_silent(now):
            max_silent_s = stream.stall_limits.responsive_s
            # Over a lost path, another daemon may reach the endpoint.
            if not (stream.path_is_lost or self._is_worth_leaving(stream, max_silent_s, now)):
                return False
        if not self.reserve(stream, now):
            return False
        if max_silent_s is not None and stream.lease is not None:
            self._sender.reads.note_left_silent(stream.lease.endpoint, stream.lease.started, now)
        stream.give_up_attempt(max_silent_s)
        return True

    def _is_worth_leaving(self, stream: StreamState, max_silent_s: float, now: float) -> bool:
        """Return whether another endpoint is likely to answer sooner than the current, silent one.

        What is sent to a service that is silent as a whole only waits there, too.
        """
        service = stream.job.service
        is_heard = self._scheduler.silence.was_heard(service, now - max_silent_s)
        if not is_heard and not self._budget(service).bears_unheard():
            return False
        return self._has_responsive(stream, max_silent_s, now)

    def _has_responsive(self, stream: StreamState, max_silent_s: float, now: float) -> bool:
        """Return whether another endpoint than the current one may respond."""
        last = {stream.endpoint_id}
        hangs = stream.waited_s(now) >= stream.stall_limits.alive_s
        return self._scheduler.silence.has_responsive(stream.job, last, max_silent_s, hangs, now)


async def _pause(stream: StreamState) -> bool:
    """Wait for a short time, which the deadline ends; return whether the stream may be resumed."""
    loop = asyncio.get_running_loop()
    left_s = stream.time_left_s(loop.time())
    await asyncio.sleep(max(0.0, min(RESUME_PAUSE_S, left_s)))
    return stream.may_attempt(loop.time())


def _log_not_counted(stream: StreamState, endpoint: EndpointTracker) -> None:
    """Log an attempt that leaves room for another one, as its endpoint has ended."""
    log.info(
        "event=attempt_not_counted id=%s endpoint=%s counted=%d of=%d",
        stream.job.exchange.request_id,
        endpoint.record.endpoint_id,
        stream.account.counted,
        stream.job.route.max_attempts,
    )
