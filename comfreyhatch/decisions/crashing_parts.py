"""Finds prompt parts that crash each endpoint that begins to write an answer to them.

When an endpoint crashes, the requests whose answers it had just begun are candidates; those that
wait, and those that have received events, are victims. A part that was under several endpoints when
they crashed, and in no prompt whose answer went on, is to blame. Parts that occur in the same
crashes cannot be told apart yet: a request is refused only if it has all of them, so that sound
requests that share some of the parts are served.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection

from msgspec import Struct

from comfreyhatch.domain.part_report import PartReport, ReportKind

# Crashes of different endpoints, with a part in common, after which it is blamed.
MIN_CRASHES = 3
# An endpoint crashes within a fraction of this time after the head of the answer.
BLAME_S = 1.0
# Events after which an answer counts as gone well.
SOUND_EVENTS = 2
CRASH_MEMORY_S = 60.0
SOUND_MEMORY_S = 60.0
# A block ends when no request with its parts has come, to any daemon, for this long.
BLOCK_S = 30.0
# Interval at which a daemon that refuses requests tells the others.
BLOCK_REPORT_INTERVAL_S = 10.0
# One daemon lets one request through after this time, so that a wrong block doesn't last.
TRIAL_AFTER_S = 120.0
SOUND_REPORT_INTERVAL_S = 10.0
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 64
MAX_SOUND_PARTS = 4096
MAX_BLOCKS = 64
MAX_BEGUN = 1024


class _Begun(Struct, frozen=True):
    """An answer whose head has come, and no or one event yet.

    Attributes:
        part_ids: Shared parts of the prompt.
        at: Time at which the head came.
    """

    part_ids: frozenset[str]
    at: float


class _Crash(Struct):
    """A crash of an endpoint: its candidate parts, and the time at which it was seen."""

    part_ids: set[str]
    at: float


class _Block(Struct):
    """A refusal of all requests that have a set of parts.

    Attributes:
        until: Time at which it ends, unless a request is refused before.
        reported_at: Time at which the daemons last told each other of it.
        trial_at: Time from which one request is let through.
    """

    until: float
    reported_at: float
    trial_at: float


class CrashingParts:
    """What this daemon knows of prompt parts; times are monotonic, in seconds.

    Methods that learn something return the reports that other daemons have to get.
    """

    def __init__(self) -> None:
        self._begun_by_attempt: OrderedDict[tuple[str, str], _Begun] = OrderedDict()
        self._crash_by_endpoint: OrderedDict[str, _Crash] = OrderedDict()
        self._sound_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._sound_reported_at: OrderedDict[str, float] = OrderedDict()
        self._block_by_parts: dict[frozenset[str], _Block] = {}

    def note_begun(
        self, request_id: str, endpoint: str, part_ids: Collection[str], now: float
    ) -> None:
        """Note that an endpoint has sent the head of an answer.

        Args:
            request_id: Id of the request.
            endpoint: The endpoint, with its start.
            part_ids: Shared parts of the prompt.
            now: Present time.
        """
        if not part_ids:
            return
        self._begun_by_attempt[request_id, endpoint] = _Begun(frozenset(part_ids), now)
        self._expire_begun(now)

    def note_sound(
        self, request_id: str, endpoint: str, part_ids: Collection[str], now: float
    ) -> list[PartReport]:
        """Note that an answer has gone well for `SOUND_EVENTS` events; see `note_begun`."""
        self._begun_by_attempt.pop((request_id, endpoint), None)
        self._add_sound(part_ids, now)
        self._drop_sound_blocks(now)
        return self.sound_reports(part_ids, now)

    def sound_reports(self, part_ids: Collection[str], now: float) -> list[PartReport]:
        """Return a report on the sound parts among some that other daemons may hold to blame."""
        found = self._unreported_sound(part_ids, now)
        if not found:
            return []
        self._note_sound_reported(found, now)
        return [PartReport(ReportKind.SOUND, frozenset(found))]

    def has_candidates(self, endpoint: str, broke_at: float) -> bool:
        """Return whether an endpoint had just begun answers when a connection to it broke."""
        return bool(self._candidates(endpoint, broke_at))

    def note_crash(self, endpoint: str, broke_at: float, now: float) -> list[PartReport]:
        """Note that an endpoint has crashed.

        Args:
            endpoint: The endpoint, with its start.
            broke_at: Time at which its connections broke.
            now: Present time.
        """
        part_ids = self._candidates(endpoint, broke_at)
        known = self._crash_by_endpoint.get(endpoint)
        if not part_ids or (known is not None and part_ids <= known.part_ids):
            return []
        self._add_crash(endpoint, part_ids, broke_at)
        self._block_suspects(now)
        return [PartReport(ReportKind.CRASHED, part_ids, endpoint, now - broke_at)]

    def merge(self, report: PartReport, now: float) -> list[str]:
        """Learn from the report of another daemon.

        Returns:
            Parts that the other daemon holds to blame and that are sound; see `sound_reports`.
        """
        at = now - report.age_s
        if report.kind is ReportKind.SOUND:
            self._note_sound_reported(report.part_ids, now)
            self._add_sound(report.part_ids, at)
            self._drop_sound_blocks(now)
            return []
        if report.kind is ReportKind.CRASHED:
            self._add_crash(report.endpoint, report.part_ids, at)
            self._block_suspects(now)
        elif not any(self._is_sound(part_id, now) for part_id in report.part_ids):
            self._extend_block(report.part_ids, at)
        return self._unreported_sound(report.part_ids, now)

    def blocked_parts(
        self, part_ids: Collection[str], tries: Callable[[frozenset[str]], bool], now: float
    ) -> frozenset[str] | None:
        """Return the parts because of which a request has to be refused; None if it may be sent.

        Args:
            part_ids: Shared parts of its prompt.
            tries: Returns whether this is the daemon that lets one request with blocked parts
                through each `TRIAL_AFTER_S`.
            now: Present time.
        """
        if not self._block_by_parts:
            return None
        shared = frozenset(part_ids)
        for blocked, block in list(self._block_by_parts.items()):
            if now >= block.until:
                del self._block_by_parts[blocked]
            elif blocked <= shared and (now < block.trial_at or not tries(blocked)):
                return blocked
        return None

    def note_sent(self, part_ids: Collection[str], now: float) -> None:
        """Note that a request is sent; if it has blocked parts, it is the trial."""
        shared = frozenset(part_ids)
        for blocked, block in self._block_by_parts.items():
            if blocked <= shared:
                block.trial_at = now + TRIAL_AFTER_S

    @property
    def blocks(self) -> list[frozenset[str]]:
        """The sets of parts that are blocked, ended blocks included."""
        return list(self._block_by_parts)

    def note_refused(self, blocked: frozenset[str], now: float) -> list[PartReport]:
        """Note that a request was refused because of parts."""
        block = self._block_by_parts.get(blocked)
        if block is None:
            return []
        block.until = max(block.until, now + BLOCK_S)
        if now - block.reported_at < BLOCK_REPORT_INTERVAL_S:
            return []
        block.reported_at = now
        return [PartReport(ReportKind.BLOCKED, blocked)]

    def _candidates(self, endpoint: str, broke_at: float) -> frozenset[str]:
        """Return the parts of answers that an endpoint had just begun, without sound ones."""
        found: set[str] = set()
        for (_, at_endpoint), begun in self._begun_by_attempt.items():
            if at_endpoint == endpoint and broke_at - BLAME_S <= begun.at <= broke_at:
                found |= begun.part_ids
        return frozenset(part for part in found if not self._is_sound(part, broke_at))

    def _expire_begun(self, now: float) -> None:
        begun = self._begun_by_attempt
        while begun:
            oldest = next(iter(begun.values()))
            if len(begun) <= MAX_BEGUN and now - oldest.at <= 2 * BLAME_S:
                return
            begun.popitem(last=False)

    def _add_crash(self, endpoint: str, part_ids: Collection[str], at: float) -> None:
        for known, crash in list(self._crash_by_endpoint.items()):
            if at - crash.at > CRASH_MEMORY_S:
                del self._crash_by_endpoint[known]
        crash = self._crash_by_endpoint.setdefault(endpoint, _Crash(set(), at))
        crash.part_ids.update(part_ids)
        if len(crash.part_ids) > MAX_PARTS_PER_CRASH:
            crash.part_ids = set(sorted(crash.part_ids)[:MAX_PARTS_PER_CRASH])
        while len(self._crash_by_endpoint) > MAX_CRASHES:
            self._crash_by_endpoint.popitem(last=False)

    def _block_suspects(self, now: float) -> None:
        """Block the parts that are to blame by now; the other daemons conclude the same."""
        for blocked in self._suspects(now):
            self._extend_block(blocked, now)

    def _suspects(self, now: float) -> set[frozenset[str]]:
        """Return the sets of parts that cannot be told apart and are to blame."""
        endpoints_by_part: dict[str, set[str]] = {}
        for endpoint, crash in self._crash_by_endpoint.items():
            if now - crash.at > CRASH_MEMORY_S:
                continue
            for part_id in crash.part_ids:
                if not self._is_sound(part_id, now):
                    endpoints_by_part.setdefault(part_id, set()).add(endpoint)
        return {
            frozenset(other for other, at in endpoints_by_part.items() if at >= endpoints)
            for endpoints in endpoints_by_part.values()
            if len(endpoints) >= MIN_CRASHES
        }

    def _extend_block(self, blocked: frozenset[str], at: float) -> None:
        """Block parts until `BLOCK_S` after a time, or keep them blocked until then."""
        block = self._block_by_parts.get(blocked)
        if block is not None:
            block.until = max(block.until, at + BLOCK_S)
            block.reported_at = max(block.reported_at, at)
            return
        if len(self._block_by_parts) >= MAX_BLOCKS:
            self._block_by_parts.pop(next(iter(self._block_by_parts)))
        self._block_by_parts[blocked] = _Block(at + BLOCK_S, at, at + TRIAL_AFTER_S)

    def _drop_sound_blocks(self, now: float) -> None:
        """Reduce blocks to those of their parts that have not turned out to be sound."""
        for blocked in list(self._block_by_parts):
            left = frozenset(part for part in blocked if not self._is_sound(part, now))
            if left == blocked:
                continue
            block = self._block_by_parts.pop(blocked)
            if left:
                self._block_by_parts.setdefault(left, block)

    def _add_sound(self, part_ids: Collection[str], at: float) -> None:
        for part_id in part_ids:
            last_at = self._sound_at_by_part.pop(part_id, at)
            self._sound_at_by_part[part_id] = max(last_at, at)
        while len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            self._sound_at_by_part.popitem(last=False)

    def _note_sound_reported(self, part_ids: Collection[str], now: float) -> None:
        for part_id in part_ids:
            self._sound_reported_at.pop(part_id, None)
            self._sound_reported_at[part_id] = now
        while len(self._sound_reported_at) > MAX_SOUND_PARTS:
            self._sound_reported_at.popitem(last=False)

    def _is_sound(self, part_id: str, now: float) -> bool:
        at = self._sound_at_by_part.get(part_id)
        return at is not None and now - at <= SOUND_MEMORY_S

    def _unreported_sound(self, part_ids: Collection[str], now: float) -> list[str]:
        """Return the sound parts among some that other daemons may hold to blame."""
        if not self._crash_by_endpoint and not self._block_by_parts:
            return []
        suspected = {p for crash in self._crash_by_endpoint.values() for p in crash.part_ids}
        suspected |= {p for blocked in self._block_by_parts for p in blocked}
        return [
            part_id
            for part_id in part_ids
            if part_id in suspected
            and self._is_sound(part_id, now)
            and now - self._sound_reported_at.get(part_id, float("-inf")) > SOUND_REPORT_INTERVAL_S
        ]
