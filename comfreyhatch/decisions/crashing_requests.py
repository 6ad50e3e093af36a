"""Finds requests that crash each endpoint which begins to run them.

Requests are told by their identity, as callers repeat them with other ids and at any daemon. When
an endpoint crashes, all that it may have been running are suspects, since a buffered answer shows
nothing before its end. A complete answer to a request, at any daemon, clears it; one that was
suspected in three crashes since its last complete answer is blocked.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from msgspec import Struct

from comfreyhatch.domain.part_report import ReportKind
from comfreyhatch.domain.request_report import RequestReport

# Crashes of different endpoints, or starts of one, after which a request is blocked.
MIN_CRASHES = 3
# Crashes of one start within this time are one, which several daemons have seen; later ones are of
# another start that is not registered yet.
SAME_CRASH_S = 3.0
# An endpoint may run, and crash under, a request whose attempt ended without an answer so long ago.
BLAME_S = 2.0
# Crashes and blocks are forgotten when the request has not come for this long.
CRASH_MEMORY_S = 600.0
# A blocked request is let through once after this time, and after each trial so much later: each
# costs an endpoint, and the first tells a request that was blocked by mistake.
FIRST_TRIAL_S = 5.0
TRIAL_FACTOR = 16.0
# Daemons may make a due trial one after the other, as the first may get no such request.
TRIAL_TURN_S = 2.0
# Interval at which a daemon that refuses a request tells the others that it is blocked.
BLOCK_REPORT_INTERVAL_S = 10.0
MAX_ATTEMPTS = 16384
MAX_CANDIDATES = 128
MAX_SUSPECTS = 4096
MAX_BLOCKS = 1024
MAX_COMPLETE = 4096

NO_ANSWER = float("-inf")


class Attempt:
    """A request that an endpoint may be running.

    Attributes:
        request: Identity of the request.
        start: The endpoint, with its start.
        left_at: Time at which it ended without a complete answer; None while it is under way.
    """

    __slots__ = ("left_at", "request", "start")

    def __init__(self, request: bytes, start: str) -> None:
        self.request = request
        self.start = start
        self.left_at: float | None = None


class _Crash(Struct, frozen=True):
    """A crash of an endpoint, told by its start, and the time at which it was seen."""

    start: str
    at: float


class _Block(Struct):
    """A request that is refused.

    Attributes:
        blamed_at: Time of the last crash under it, or of the last trial.
        trials: Number of times that it was let through.
        trial_at: Time from which it is let through once more.
        reported_at: Time at which any daemon last told of the block.
        seen_at: Time at which it last came to any daemon.
    """

    blamed_at: float
    trials: int
    trial_at: float
    reported_at: float
    seen_at: float


class CrashingRequests:
    """What this daemon knows of requests; times are monotonic, in seconds.

    Methods that learn something return the reports that other daemons have to get.
    """

    def __init__(self) -> None:
        self._attempts_by_start: dict[str, dict[Attempt, None]] = {}
        self._left: deque[Attempt] = deque()
        self._attempts = 0
        self._crashes_by_request: OrderedDict[bytes, list[_Crash]] = OrderedDict()
        self._complete_at_by_request: OrderedDict[bytes, float] = OrderedDict()
        self._block_by_request: OrderedDict[bytes, _Block] = OrderedDict()

    def begin(self, request: bytes, start: str, now: float) -> Attempt:
        """Note that a request is sent to an endpoint."""
        self._expire_left(now)
        attempt = Attempt(request, start)
        if self._attempts < MAX_ATTEMPTS:
            self._attempts_by_start.setdefault(start, {})[attempt] = None
            self._attempts += 1
        return attempt

    def leave(self, attempt: Attempt, now: float) -> None:
        """Note that an attempt has ended without a complete answer; its endpoint may run it on."""
        if attempt.left_at is None and attempt in self._attempts_by_start.get(attempt.start, {}):
            attempt.left_at = now
            self._left.append(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Note that an attempt was not run, or is complete."""
        attempts = self._attempts_by_start.get(attempt.start, {})
        if attempt in attempts:
            del attempts[attempt]
            self._attempts -= 1
            if not attempts:
                del self._attempts_by_start[attempt.start]

    def note_complete(self, request: bytes, now: float) -> list[RequestReport]:
        """Note a complete answer to a request, which clears it of all crashes before."""
        self._add_complete(request, now)
        suspected = self._clear(request, now)
        return [_cleared(request, 0.0)] if suspected else []

    def has_candidates(self, start: str) -> bool:
        """Return whether an endpoint may have been running requests."""
        return start in self._attempts_by_start

    def note_crash(self, start: str, broke_at: float, now: float) -> list[RequestReport]:
        """Note that an endpoint has crashed.

        Args:
            start: The endpoint, with its start.
            broke_at: Time at which its connections broke.
            now: Present time.
        """
        candidates = self._candidates(start, broke_at)
        new = [request for request in candidates if not self._knows(request, start, broke_at)]
        if not new:
            return []
        blocked = [r for r in new if self._add_crash(r, start, broke_at, now)]
        reports = [_report(ReportKind.CRASHED, new, start, age_s=now - broke_at)]
        return reports + [self._block_report(request, now) for request in blocked]

    def merge(self, report: RequestReport, now: float) -> list[bytes]:
        """Learn from the report of another daemon.

        Returns:
            Requests of which the other daemon seems not to know a complete answer; see
            `complete_reports`.
        """
        at = now - report.age_s
        found: list[bytes] = []
        for request in report.requests:
            if report.kind is ReportKind.SOUND:
                self._add_complete(request, at)
                self._clear(request, at)
            elif at <= self._complete_at_by_request.get(request, NO_ANSWER):
                found.append(request)
            elif report.kind is ReportKind.BLOCKED:
                self._merge_block(request, report.trials, at, now)
            else:
                self._add_crash(request, report.endpoint, at, now)
        return found

    def complete_reports(self, requests: Iterable[bytes], now: float) -> list[RequestReport]:
        """Return reports on the last complete answers to requests, as far as they are known."""
        known = self._complete_at_by_request
        return [_cleared(request, now - known[request]) for request in requests if request in known]

    def crashes(self, request: bytes) -> int:
        """Return the number of crashes that a request is suspected of."""
        return len(self._crashes_by_request.get(request, ()))

    def is_blocked(self, request: bytes, turn: Callable[[bytes, int], int], now: float) -> bool:
        """Return whether a request has to be refused.

        Args:
            request: Its identity.
            turn: Returns the place of this daemon in the order in which daemons may make a trial,
                from the identity and the number of trials before; 0 for the first.
            now: Present time.
        """
        block = self._block_by_request.get(request)
        if block is None:
            return False
        if now - block.seen_at > CRASH_MEMORY_S:
            self._forget(request)
            return False
        if now < block.trial_at:
            return True
        return now < block.trial_at + TRIAL_TURN_S * turn(request, block.trials)

    def note_sent(self, request: bytes, now: float) -> list[RequestReport]:
        """Note that a request is sent; if it is blocked, this is a trial."""
        block = self._block_by_request.get(request)
        if block is None:
            return []
        block.blamed_at = now
        _set_trials(block, block.trials + 1, now)
        return [self._block_report(request, now)]

    def note_refused(self, request: bytes, now: float) -> list[RequestReport]:
        """Note that a blocked request was refused."""
        block = self._block_by_request.get(request)
        if block is None:
            return []
        block.seen_at = now
        self._block_by_request.move_to_end(request)
        if now - block.reported_at < BLOCK_REPORT_INTERVAL_S:
            return []
        return [self._block_report(request, now)]

    def _candidates(self, start: str, broke_at: float) -> list[bytes]:
        """Return the requests that an endpoint may have been running, the last ones first."""
        attempts = self._attempts_by_start.get(start, {})
        running = [
            attempt.request
            for attempt in reversed(attempts)
            if attempt.left_at is None or broke_at - attempt.left_at <= BLAME_S
        ]
        return list(dict.fromkeys(running))[:MAX_CANDIDATES]

    def _knows(self, request: bytes, start: str, at: float) -> bool:
        """Return whether a crash of an endpoint is known as one of a request."""
        return any(
            crash.start == start and abs(at - crash.at) < SAME_CRASH_S
            for crash in self._crashes_by_request.get(request, ())
        )

    def _expire_left(self, now: float) -> None:
        while self._left and now - (self._left[0].left_at or 0.0) > BLAME_S:
            self.discard(self._left.popleft())

    def _add_complete(self, request: bytes, at: float) -> None:
        last_at = self._complete_at_by_request.pop(request, NO_ANSWER)
        self._complete_at_by_request[request] = max(last_at, at)
        if len(self._complete_at_by_request) > MAX_COMPLETE:
            self._complete_at_by_request.popitem(last=False)

    def _add_crash(self, request: bytes, start: str, at: float, now: float) -> bool:
        """Add a crash of an endpoint to those of a request; return whether it is blocked by it."""
        if at <= self._complete_at_by_request.get(request, NO_ANSWER):
            return False
        known = self._crashes_by_request.get(request, [])
        crashes = [crash for crash in known if at - crash.at <= CRASH_MEMORY_S]
        if not self._knows(request, start, at):
            crashes.append(_Crash(start, at))
        self._crashes_by_request[request] = crashes
        self._crashes_by_request.move_to_end(request)
        if len(self._crashes_by_request) > MAX_SUSPECTS:
            self._crashes_by_request.popitem(last=False)
        block = self._block_by_request.get(request)
        if block is not None:
            block.blamed_at = max(block.blamed_at, at)
            block.seen_at = now
            return False
        if len(crashes) < MIN_CRASHES:
            return False
        self._block(request, at, now)
        return True

    def _clear(self, request: bytes, at: float) -> bool:
        """Clear a request of crashes up to a time; return whether it was suspected of any."""
        crashes = self._crashes_by_request.pop(request, [])
        suspected = bool(crashes) or request in self._block_by_request
        later = [crash for crash in crashes if crash.at > at]
        if later:
            self._crashes_by_request[request] = later
        block = self._block_by_request.get(request)
        if block is not None and block.blamed_at <= at:
            del self._block_by_request[request]
        return suspected

    def _block(self, request: bytes, blamed_at: float, now: float) -> _Block:
        block = _Block(blamed_at, 0, blamed_at + FIRST_TRIAL_S, now, now)
        self._block_by_request[request] = block
        if len(self._block_by_request) > MAX_BLOCKS:
            self._forget(next(iter(self._block_by_request)))
        return block

    def _merge_block(self, request: bytes, trials: int, at: float, now: float) -> None:
        block = self._block_by_request.get(request) or self._block(request, at, now)
        block.blamed_at = max(block.blamed_at, at)
        block.seen_at = block.reported_at = now
        if trials > block.trials:
            _set_trials(block, trials, at)

    def _block_report(self, request: bytes, now: float) -> RequestReport:
        block = self._block_by_request[request]
        block.reported_at = now
        age_s = now - block.blamed_at
        return _report(ReportKind.BLOCKED, [request], trials=block.trials, age_s=age_s)

    def _forget(self, request: bytes) -> None:
        self._block_by_request.pop(request, None)
        self._crashes_by_request.pop(request, None)


def _set_trials(block: _Block, trials: int, at: float) -> None:
    """Set the number of trials of a block, the last of them at a time."""
    block.trials = trials
    block.trial_at = at + FIRST_TRIAL_S * TRIAL_FACTOR**trials


def _report(
    kind: ReportKind,
    requests: Iterable[bytes],
    endpoint: str = "",
    trials: int = 0,
    age_s: float = 0.0,
) -> RequestReport:
    return RequestReport(kind, frozenset(requests), endpoint, trials, age_s)


def _cleared(request: bytes, age_s: float) -> RequestReport:
    return _report(ReportKind.SOUND, [request], age_s=age_s)
