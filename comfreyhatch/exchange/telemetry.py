"""Request telemetry: metrics, and one log line per request."""

import asyncio
import logging
from collections.abc import AsyncIterator
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Histogram

from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.exchange import Exchange, Job
from comfreyhatch.errors import ComfreyhatchError

DURATION_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
# Label and log value of requests that were refused before they had a route.
NO_ROUTE = "none"

log = logging.getLogger("comfreyhatch.requests")


class AttemptOutcome(Enum):
    """Outcome of an attempt at an endpoint, up to the head of its answer."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"


class RequestTelemetry:
    """Counts and logs requests; counts attempts and cascade decisions."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self._requests = Counter(
            "comfreyhatch_exchanges",
            "Finished requests by kind of route and result code.",
            ("kind", "code"),
            registry=registry,
        )
        self._seconds = Histogram(
            "comfreyhatch_exchange_seconds",
            "Seconds from the arrival of a request to the end of its answer.",
            ("kind",),
            buckets=DURATION_BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            "comfreyhatch_attempts",
            "Attempts at endpoints by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._cascade_answers = Counter(
            "comfreyhatch_model_answers",
            "Answers of the smallest model, kept or dropped for a larger model's.",
            ("decision",),
            registry=registry,
        )

    def count_attempt(self, outcome: AttemptOutcome) -> None:
        """Count an attempt at an endpoint."""
        self._attempts.labels(outcome.value).inc()

    def count_cascade_answer(self, dropped: bool) -> None:
        """Count an answer of the smallest model as kept, or as dropped for a larger model's."""
        self._cascade_answers.labels("dropped" if dropped else "kept").inc()

    def record_answer(
        self, exchange: Exchange, job: Job | None, status: int, arrived: float
    ) -> None:
        """Record an endpoint's answer that was passed on to the caller."""
        code = ResultCode.OK if status < 400 else ResultCode.ENDPOINT_FAILED
        self._record("answered", exchange, job, code, arrived, f"status={status}")

    def record_error(
        self, exchange: Exchange, job: Job | None, error: ComfreyhatchError, arrived: float
    ) -> None:
        """Record a request that was refused or failed."""
        after = f" retry_after_s={error.retry_after_s:.2f}" if error.retry_after_s else ""
        detail = f"ran={error.ran.value}{after} reason={str(error)!r}"
        self._record("refused", exchange, job, error.code, arrived, detail)

    def record_abandoned(self, exchange: Exchange, job: Job | None, arrived: float) -> None:
        """Record a request whose caller disconnected before the answer."""
        self._record(
            "abandoned", exchange, job, ResultCode.ABANDONED, arrived, "reason='caller left'"
        )

    async def record_stream(
        self, exchange: Exchange, job: Job | None, stream: AsyncIterator[bytes], arrived: float
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of a stream, and record the request at its end."""
        timing = _StreamTiming(arrived)
        try:
            async for chunk in stream:
                timing.add_chunk(asyncio.get_running_loop().time())
                yield chunk
        except ComfreyhatchError as error:
            detail = f"{timing.log_pairs()} reason={str(error)!r}"
            self._record("stream_cut", exchange, job, error.code, arrived, detail)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            detail = f"{timing.log_pairs()} reason='caller left'"
            self._record("abandoned", exchange, job, ResultCode.ABANDONED, arrived, detail)
            raise
        else:
            self._record("answered", exchange, job, ResultCode.OK, arrived, timing.log_pairs())
        finally:
            close = getattr(stream, "aclose", None)
            if close:
                await close()

    def _record(
        self,
        event: str,
        exchange: Exchange,
        job: Job | None,
        code: ResultCode,
        arrived: float,
        detail: str,
    ) -> None:
        took_s = asyncio.get_running_loop().time() - arrived
        kind = job.route.kind.value if job else NO_ROUTE
        self._requests.labels(kind, str(int(code))).inc()
        self._seconds.labels(kind).observe(took_s)
        log.info(
            "event=%s id=%s route=%s service=%s workspace=%s code=%d took_s=%.3f %s",
            event,
            exchange.request_id,
            job.route.name if job else NO_ROUTE,
            job.service if job else NO_ROUTE,
            job.workspace if job else NO_ROUTE,
            code,
            took_s,
            detail,
        )


class _StreamTiming:
    """Chunk count, time to the first chunk and longest gap of one stream, in seconds."""

    __slots__ = ("_chunks", "_first_s", "_last_at", "_longest_gap_s", "_started")

    def __init__(self, started: float) -> None:
        self._started = started
        self._first_s = 0.0
        self._last_at = started
        self._longest_gap_s = 0.0
        self._chunks = 0

    def add_chunk(self, now: float) -> None:
        """Count a chunk that was received at `now`."""
        if self._chunks:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_at)
        else:
            self._first_s = now - self._started
        self._last_at = now
        self._chunks += 1

    def log_pairs(self) -> str:
        """Return the values as key=value pairs for a log line."""
        return f"pieces={self._chunks} first_s={self._first_s:.3f} gap_s={self._longest_gap_s:.3f}"
