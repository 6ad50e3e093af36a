"""Detects stalled streams with one shared timer."""

import asyncio
import logging
from collections.abc import Callable

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.stall import StallLimits
from comfreyhatch.exchange.stream_state import StreamState

CHECK_INTERVAL_S = 0.1

log = logging.getLogger("comfreyhatch.streams")


class StallWatchdog:
    """Interrupts streams that have stalled and that another endpoint may serve."""

    def __init__(
        self,
        reserve_retry: Callable[[StreamState, float], bool],
        verify: Callable[[EndpointTracker], None],
        note_stalled: Callable[[StreamState, float], None],
    ) -> None:
        """Create a watchdog.

        Args:
            reserve_retry: Reserves the retry of a stalled request on another endpoint, and returns
                whether it may be retried; called with its stream and the monotonic time in seconds.
            verify: Finds out whether an endpoint that answers load probes is busy or silent.
            note_stalled: Notes a stream that is retried or has exceeded the longer limit; called
                with the stream and the monotonic time in seconds, repeatedly while it stays so.
        """
        self._verify = verify
        self._note_stalled = note_stalled
        self._reserve_retry = reserve_retry
        self._streams: set[StreamState] = set()
        self._timer: asyncio.TimerHandle | None = None

    def watch(
        self, stream: StreamState, limits: StallLimits, interrupt: Callable[[], object], now: float
    ) -> None:
        """Start to watch a stream.

        Args:
            stream: The stream.
            limits: Longest waits for its next event.
            interrupt: Called once if the stream stalls.
            now: Monotonic time in seconds.
        """
        stream.stall_limits = limits
        stream.interrupt = interrupt
        stream.idle_since = now
        self._streams.add(stream)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def unwatch(self, stream: StreamState) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for stream in list(self._streams):
            endpoint = stream.lease.endpoint if stream.lease is not None else None
            if endpoint is not None and endpoint.answers_probes and stream.may_stall(now):
                self._verify(endpoint)
            if stream.is_stalled(now):
                self._end_stalled(stream, now)
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check) if self._streams else None

    def _end_stalled(self, stream: StreamState, now: float) -> None:
        """Note a stalled stream, and interrupt it if it may be retried."""
        hangs = stream.waited_s(now) >= stream.stall_limits.alive_s
        is_retried = self._reserve_retry(stream, now)
        if is_retried or hangs:
            self._note_stalled(stream, now)
        if is_retried:
            self._streams.discard(stream)
            self._log_stalled(stream, now)
            stream.interrupt()

    def _log_stalled(self, stream: StreamState, now: float) -> None:
        assert stream.lease is not None
        log.info(
            "event=stream_stalled id=%s endpoint=%s events=%s waited_s=%.2f endpoint_silent_s=%.2f",
            stream.job.exchange.request_id,
            stream.endpoint_id,
            stream.last_event_id,
            now - stream.idle_since,
            now - stream.lease.endpoint.last_received_at,
        )
