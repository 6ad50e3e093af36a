"""What became of requests and of their attempts: counters, and one log line for each request."""

import asyncio
import logging
from collections.abc import AsyncIterator
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Histogram

from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.exchange import Exchange, Job
from comfreyhatch.errors import ComfreyhatchError

DURATION_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
NO_KIND = "none"

log = logging.getLogger("comfreyhatch.requests")


class AttemptOutcome(Enum):
    """How an attempt at an endpoint went, as far as the head of its answer."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"


class RequestTelemetry:
    """Counts and logs the end of each request; counts attempts and choices of a model."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._requests = Counter(
            "comfreyhatch_exchanges",
            "Requests that ended.",
            ("kind", "code"),
            registry=registry,
        )
        self._seconds = Histogram(
            "comfreyhatch_exchange_seconds",
            "Time from arrival to the answer, of streams to the first event.",
            ("kind",),
            buckets=DURATION_BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            "comfreyhatch_attempts",
            "Attempts at endpoints, by how they went.",
            ("outcome",),
            registry=registry,
        )
        self._judged = Counter(
            "comfreyhatch_model_answers",
            "Answers of the smallest model that were passed on, or dropped for a larger one's.",
            ("decision",),
            registry=registry,
        )

    def count_attempt(self, outcome: AttemptOutcome) -> None:
        """Count an attempt at an endpoint."""
        self._attempts.labels(outcome.value).inc()

    def count_cascade_answer(self, dropped: bool) -> None:
        """Count an answer of the smallest model."""
        self._judged.labels("dropped" if dropped else "kept").inc()

    def record_answer(
        self, exchange: Exchange, job: Job | None, status: int, arrived: float
    ) -> None:
        """Count an answer of an endpoint that was passed on."""
        code = ResultCode.OK if status < 400 else ResultCode.ENDPOINT_FAILED
        self._record("answered", exchange, job, code, arrived, f"status={status}")

    def record_error(
        self, exchange: Exchange, job: Job | None, error: ComfreyhatchError, arrived: float
    ) -> None:
        """Count a request that was refused or failed."""
        after = f" retry_after_s={error.retry_after_s:.2f}" if error.retry_after_s else ""
        detail = f"ran={error.ran.value}{after} reason={str(error)!r}"
        self._record("refused", exchange, job, error.code, arrived, detail)

    def record_abandoned(self, exchange: Exchange, job: Job | None, arrived: float) -> None:
        """Count a request whose caller went away."""
        self._record(
            "abandoned", exchange, job, ResultCode.ABANDONED, arrived, "reason='caller left'"
        )

    async def record_stream(
        self, exchange: Exchange, job: Job | None, stream: AsyncIterator[bytes], arrived: float
    ) -> AsyncIterator[bytes]:
        """Pass a stream on and count it once it has ended."""
        pace = _Pace(arrived)
        try:
            async for piece in stream:
                pace.note(asyncio.get_running_loop().time())
                yield piece
        except ComfreyhatchError as error:
            detail = f"{pace.describe()} reason={str(error)!r}"
            self._record("stream_cut", exchange, job, error.code, arrived, detail)
            raise
        except (asyncio.CancelledError, GeneratorExit):
            detail = f"{pace.describe()} reason='caller left'"
            self._record("abandoned", exchange, job, ResultCode.ABANDONED, arrived, detail)
            raise
        else:
            self._record("answered", exchange, job, ResultCode.OK, arrived, pace.describe())
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
        kind = job.route.kind.value if job else NO_KIND
        self._requests.labels(kind, str(int(code))).inc()
        self._seconds.labels(kind).observe(took_s)
        log.info(
            "event=%s id=%s route=%s service=%s workspace=%s code=%d took_s=%.3f %s",
            event,
            exchange.request_id,
            job.route.name if job else NO_KIND,
            job.service if job else NO_KIND,
            job.workspace if job else NO_KIND,
            code,
            took_s,
            detail,
        )


class _Pace:
    """Times of the pieces of one stream."""

    __slots__ = ("_first_s", "_last_at", "_longest_gap_s", "_pieces", "_started")

    def __init__(self, started: float) -> None:
        self._started = started
        self._first_s = 0.0
        self._last_at = started
        self._longest_gap_s = 0.0
        self._pieces = 0

    def note(self, now: float) -> None:
        """Count a piece."""
        if self._pieces:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_at)
        else:
            self._first_s = now - self._started
        self._last_at = now
        self._pieces += 1

    def describe(self) -> str:
        """Return the times as pairs for a log line."""
        return f"pieces={self._pieces} first_s={self._first_s:.3f} gap_s={self._longest_gap_s:.3f}"
