"""Relays the events of one streamed answer, and learns from their times."""

import asyncio
from collections.abc import AsyncIterator

from comfreyhatch.adapters.http_link import AnswerPart
from comfreyhatch.codes import ResultCode
from comfreyhatch.decisions.crashing_parts import SOUND_EVENTS
from comfreyhatch.decisions.stall import gap_limits
from comfreyhatch.domain.failure import Failure, FailureKind
from comfreyhatch.errors import AnswerBrokenError, BackendError
from comfreyhatch.exchange.answers import StreamedAnswer
from comfreyhatch.exchange.crash_guard import CrashGuard
from comfreyhatch.exchange.events import EventSplitter, has_content
from comfreyhatch.exchange.evidence import EvidenceCollector
from comfreyhatch.exchange.stall_watchdog import StallWatchdog
from comfreyhatch.exchange.stream_state import StreamState

# Fewest event gaps whose median counts as evidence on the version.
MIN_GAPS_OF_ENDED_STREAM = 3
MIN_GAPS_OF_RUNNING_STREAM = 6
# Largest incomplete event; 100 streams with such events take a sixth of a daemon's 150 MB.
MAX_EVENT_BYTES = 262144
# Bytes without a new event with content, such as comments or events that the caller has. An engine
# that resumes a stream from its start, in spite of the id it was told, passes up to this length.
MAX_USELESS_BYTES = 1_048_576


class EventRelay:
    """Yields the events that the caller has not got yet, and watches for stalls and crashes."""

    def __init__(
        self, evidence: EvidenceCollector, watchdog: StallWatchdog, crashes: CrashGuard
    ) -> None:
        """Create a relay.

        Args:
            evidence: Gets the gaps between events.
            watchdog: Interrupts answers that stall.
            crashes: Is told when an answer has gone well beyond its beginning.
        """
        self._evidence = evidence
        self._watchdog = watchdog
        self._crashes = crashes

    async def new_events(self, stream: StreamState, answer: StreamedAnswer) -> AsyncIterator[bytes]:
        """Yield the events of one answer that were not relayed before."""
        splitter = EventSplitter()
        useless_bytes = 0
        loop = asyncio.get_running_loop()
        stream.reset_attempt()
        self._watchdog.watch(
            stream, gap_limits(stream.job.route.gap_aim_s), answer.abort, loop.time()
        )
        async for piece in answer.pieces(stream.job.deadline):
            events = splitter.feed(piece)
            count = 0
            # Thousands of blank events in a piece are not looked at one by one.
            if has_content(b"".join(events)):
                events = [event for event in events if stream.accept_event(event)]
                count = sum(map(has_content, events))
            if count:
                useless_bytes = 0
                self._note_events(stream, answer, count, loop.time())
            else:
                useless_bytes += len(piece)
            if events:
                given_at = loop.time()
                stream.begin_delivery()
                yield b"".join(events)
                stream.end_delivery(given_at, loop.time())
            if splitter.pending_bytes > MAX_EVENT_BYTES:
                raise answer.too_large(AnswerPart.EVENT, f"{MAX_EVENT_BYTES} bytes")
            if useless_bytes > MAX_USELESS_BYTES:
                raise answer.too_large(AnswerPart.BETWEEN_EVENTS, f"{MAX_USELESS_BYTES} bytes")
            require_time(stream, loop.time())
        if splitter.partial:
            raise AnswerBrokenError(
                "the stream ended inside an event", failure=Failure(FailureKind.CUT)
            )
        if not answer.delimited and not stream.attempt_events:
            # A crash of the engine looks the same as the end of its answer.
            raise AnswerBrokenError(
                "the stream ended before its first event", failure=Failure(FailureKind.CUT)
            )
        answer.endpoint.record_complete_answer()

    def record_gap(self, stream: StreamState, answer: StreamedAnswer, ended: bool) -> None:
        """Record the median event gap as evidence once enough gaps are known.

        Running streams are recorded too: until a slow stream ends, its version would get further
        requests.
        """
        if stream.observed is None or stream.observed.is_bad:
            return
        gap_s = stream.median_gap_s(
            MIN_GAPS_OF_ENDED_STREAM if ended else MIN_GAPS_OF_RUNNING_STREAM
        )
        if gap_s is None:
            return
        now = asyncio.get_running_loop().time()
        self._evidence.record_event_gap(stream.observed, stream.model, gap_s, ended, now)

    def _note_events(
        self, stream: StreamState, answer: StreamedAnswer, count: int, now: float
    ) -> None:
        """Note that new events with content have come; other bytes are no progress."""
        stream.idle_since = now
        answer.endpoint.last_received_at = now
        proven = stream.attempt_events >= SOUND_EVENTS
        stream.record_events(count, now)
        if not proven and stream.attempt_events >= SOUND_EVENTS and stream.attempt is not None:
            self._crashes.note_sound(stream.attempt, now)
        self.record_gap(stream, answer, ended=False)


def require_time(stream: StreamState, now: float) -> None:
    """Raise an error if the deadline of a stream that still makes progress has passed.

    Its endpoint is not to blame for that; it is for a stream that has stalled.

    Raises:
        BackendError: If the deadline has passed.
    """
    if now >= stream.job.deadline and not stream.is_stalled(now):
        raise BackendError("the deadline passed during the stream", ResultCode.DEADLINE_EXCEEDED)
