"""What a daemon does against requests and prompt parts that crash endpoints.

Attempts are followed from their begin to their end. When one breaks, a new connection shows whether
the endpoint has crashed; if so, the requests and the parts that it was given are suspects.
"""

import asyncio

from comfreyhatch.decisions.crashing_requests import SAME_CRASH_S, Attempt
from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.domain.exchange import Job
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendRefusedError,
    EndpointUnreachableError,
    RefusedError,
)
from comfreyhatch.exchange.crash_probe import Probe
from comfreyhatch.exchange.part_guard import PartGuard
from comfreyhatch.exchange.request_guard import RequestGuard

# Longest wait for a probe before a request is tried again; it goes on behind that.
PROBE_WAIT_S = 0.1


class GuardedAttempt:
    """An attempt at an endpoint that is followed to its end.

    Attributes:
        job: The request.
        endpoint: The endpoint.
        attempt: What is known of it as a whole request.
    """

    __slots__ = ("attempt", "endpoint", "job")

    def __init__(self, job: Job, endpoint: EndpointTracker, attempt: Attempt) -> None:
        self.job = job
        self.endpoint = endpoint
        self.attempt = attempt


class CrashGuard:
    """Follows attempts, finds crashes of endpoints and refuses what causes them."""

    def __init__(self, parts: PartGuard, requests: RequestGuard, is_down: Probe) -> None:
        """Create a guard.

        Args:
            parts: Learns which prompt parts crash endpoints.
            requests: Learns which requests do.
            is_down: Returns whether the process of an endpoint has ended.
        """
        self._parts = parts
        self._requests = requests
        self._is_down = is_down
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._crashed_at_by_start: dict[str, float] = {}

    def refusal(self, job: Job, now: float) -> RefusedError | None:
        """Return the error for a request that may not be sent; None for others."""
        return self._requests.refusal(job, now) or self._parts.refusal(job, now)

    def blocks(self, job: Job, now: float) -> bool:
        """Return whether a request would be refused, without counting a refusal."""
        return self._requests.blocks(job, now) or self._parts.blocks(job, now)

    def suspects(self, job: Job) -> bool:
        """Return whether an endpoint has crashed that may have been running a request."""
        return self._requests.suspects(job)

    def begin(self, job: Job, endpoint: EndpointTracker, now: float) -> GuardedAttempt:
        """Note that a request is sent to an endpoint; its attempt has to be ended."""
        self._parts.note_sent(job, now)
        return GuardedAttempt(job, endpoint, self._requests.begin(job, endpoint, now))

    def note_head(self, attempt: GuardedAttempt, now: float) -> None:
        """Note that the head of a streamed answer has come."""
        self._parts.note_begun(attempt.job, attempt.endpoint, now)

    def note_sound(self, attempt: GuardedAttempt, now: float) -> None:
        """Note that a streamed answer has gone well beyond its beginning."""
        self._parts.note_sound(attempt.job, attempt.endpoint, now)
        self._requests.end_complete(attempt.attempt, now)

    def end_complete(self, attempt: GuardedAttempt, now: float) -> None:
        """Note that an attempt got a complete answer, whatever its status."""
        self._requests.end_complete(attempt.attempt, now)

    def end_unknown(self, attempt: GuardedAttempt, now: float) -> None:
        """Note that an attempt is given up; nothing if it was ended before."""
        self._requests.end_unknown(attempt.attempt, now)

    async def end_failed(self, attempt: GuardedAttempt, error: BaseException) -> None:
        """End an attempt by its error, and wait until it is known whether its endpoint crashed."""
        now = asyncio.get_running_loop().time()
        if isinstance(error, BackendRefusedError):
            self._requests.end_not_run(attempt.attempt)
        else:
            self._requests.end_unknown(attempt.attempt, now)
        if isinstance(error, EndpointUnreachableError | AnswerBrokenError):
            await self._look_for_crash(attempt.endpoint, now)

    async def stop(self) -> None:
        """End the probes of endpoints."""
        probes = list(self._probes.values())
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _look_for_crash(self, endpoint: EndpointTracker, now: float) -> None:
        start = endpoint.start
        probe = self._probes.get(start)
        if probe is None:
            if self._has_crashed(start, now) or not self._has_candidates(start, now):
                return
            probe = asyncio.create_task(self._probe(endpoint, start, now))
            self._probes[start] = probe
        await asyncio.wait({probe}, timeout=PROBE_WAIT_S)

    def _has_crashed(self, start: str, now: float) -> bool:
        """Return whether an endpoint was found to have crashed, with all that it was running."""
        for known, at in list(self._crashed_at_by_start.items()):
            if now - at >= SAME_CRASH_S:
                del self._crashed_at_by_start[known]
        return start in self._crashed_at_by_start

    def _has_candidates(self, start: str, now: float) -> bool:
        return self._requests.has_candidates(start) or self._parts.has_candidates(start, now)

    async def _probe(self, endpoint: EndpointTracker, start: str, broke_at: float) -> None:
        try:
            if await self._is_down(endpoint):
                now = asyncio.get_running_loop().time()
                self._crashed_at_by_start[start] = now
                self._parts.note_crash(start, broke_at, now)
                self._requests.note_crash(start, broke_at, now)
        finally:
            del self._probes[start]
