"""Load reports and limits of the zone's endpoints, shared among the zone's daemons by digests.

Each endpoint is polled by one daemon of the zone, which sends the others digests. A digest
carries the changes since the last one and a hash of all entries, which renews the unchanged ones
at a receiver that has missed none.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from time import monotonic

from msgspec import Struct
from msgspec.msgpack import encode
from xxhash import xxh64_intdigest

from comfreyhatch.decisions.concurrency_limit import (
    LimitState,
    SlotOutcome,
    after_peer_decrease,
    after_report,
    after_request,
    current_limit,
)
from comfreyhatch.domain.instance import Instance, Role
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import Engine, LoadReport, PlainService
from comfreyhatch.ports.peers import PeerBus

# Changes are sent after each poll; if there are none, entries are renewed at this interval.
DIGEST_INTERVAL_S = 4.0
# One digest in so many contains all entries, changed or not.
DIGESTS_PER_FULL_DIGEST = 16
# Above this age of its report, an endpoint that a peer polls is polled by this daemon too. Longer
# than the digest interval, so that digests renew the report in time.
MAX_PEER_REPORT_AGE_S = 4.5

log = logging.getLogger("comfreyhatch.loads")


class DigestEntry(Struct, frozen=True, array_like=True):
    """The part of an endpoint's state that seldom changes.

    The numbers of running and queued requests are left out: sent every second for 12 endpoints
    to 29 peers, they would exceed 2 KB/s.

    Attributes:
        endpoint_id: Id of the endpoint.
        limit: Requests that all daemons together may have running on it.
        cold: Whether it is in cold start.
        versions: Ids of the versions that it serves.
    """

    endpoint_id: str
    limit: int
    cold: bool
    versions: tuple[str, ...]


class EncodedEntry(Struct, frozen=True, array_like=True):
    """A `DigestEntry` as sent, with the index of its versions in `LoadDigest.version_sets`."""

    endpoint_id: str
    limit: int
    cold: bool
    version_set: int


class LoadDigest(Struct, frozen=True, array_like=True, tag="load-digest"):
    """The state of the endpoints that the sender polls, in full or as changes.

    Attributes:
        encoded_entries: Endpoints whose state changed, or all that the sender polls.
        version_sets: Distinct sets of version ids, to which the entries refer by index.
        state_hash: Hash of all entries of the sender; a receiver that has missed none gets the
            same from the entries that it has merged.
        age_s: Age of the oldest report in the digest, in seconds.
        full: Whether all entries are given.
        urgent: Whether the digest announces decreased limits, which apply at once, even where a
            newer report has a higher one.
    """

    encoded_entries: tuple[EncodedEntry, ...]
    version_sets: tuple[tuple[str, ...], ...]
    state_hash: int
    age_s: float
    full: bool = False
    urgent: bool = False

    def decoded_entries(self) -> tuple[DigestEntry, ...]:
        """Return the entries with their versions, without those whose index is out of range."""
        return tuple(
            DigestEntry(e.endpoint_id, e.limit, e.cold, self.version_sets[e.version_set])
            for e in self.encoded_entries
            if 0 <= e.version_set < len(self.version_sets)
        )


def encode_digest(
    entries: Iterable[DigestEntry],
    state_hash: int = 0,
    age_s: float = 0.0,
    full: bool = False,
    urgent: bool = False,
) -> LoadDigest:
    """Return a digest of entries that contains each set of versions once."""
    number_by_set: dict[tuple[str, ...], int] = {}
    encoded = tuple(
        EncodedEntry(
            e.endpoint_id,
            e.limit,
            e.cold,
            number_by_set.setdefault(e.versions, len(number_by_set)),
        )
        for e in entries
    )
    return LoadDigest(encoded, tuple(number_by_set), state_hash, age_s, full, urgent)


class LoadMonitor:
    """Polls this daemon's part of the zone's endpoints and keeps reports and limits of all.

    Attributes:
        report_by_id: Last load report of each endpoint; removed when a poll fails.
        state_by_id: State of the limit of each endpoint.
    """

    def __init__(
        self,
        engine: Engine,
        service: PlainService,
        bus: PeerBus | None,
        peers: Callable[[], Iterable[str]],
        clock: Callable[[], float] = monotonic,
        on_limit_decrease: Callable[[list[str]], Awaitable[None]] | None = None,
    ) -> None:
        """Create the monitor and register its handler on the bus.

        Args:
            engine: Client of model engines.
            service: Client of plain services.
            bus: Peer bus; None for a daemon without peers.
            peers: Returns the ids of the zone's other daemons.
            clock: Returns monotonic time, in seconds.
            on_limit_decrease: Called with the ids of endpoints whose limit has decreased, after
                this daemon has notified its peers or a peer has notified it.
        """
        self._on_limit_decrease = on_limit_decrease
        self.report_by_id: dict[str, LoadReport] = {}
        self.state_by_id: dict[str, LimitState] = {}
        self._engine = engine
        self._service = service
        self._bus = bus
        self._peers = peers
        self._clock = clock
        self._sent_by_id: dict[str, DigestEntry] = {}
        self._received_by_sender: dict[str, dict[str, DigestEntry]] = {}
        self._digests_sent = 0
        self._next_digest_at = 0.0
        self._pending_decreases: set[str] = set()
        if bus:
            bus.on_message(LoadDigest, self._handle_digest)

    def limit(self, endpoint_id: str, now: float) -> int:
        """Return how many requests an endpoint may have running in all; 0 if it is unknown."""
        state = self.state_by_id.get(endpoint_id)
        return current_limit(state, now) if state else 0

    def limits(self, now: float) -> dict[str, int]:
        """Return the limits of all known endpoints."""
        return {
            endpoint_id: current_limit(state, now)
            for endpoint_id, state in self.state_by_id.items()
        }

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report from this daemon's own poll or from an answer."""
        before = self.state_by_id.get(report.endpoint_id, LimitState())
        after = after_report(before, report, now)
        self.state_by_id[report.endpoint_id] = after
        if after is not before:
            self.report_by_id[report.endpoint_id] = report
        self._detect_limit_decrease(report.endpoint_id, before, after, now)

    def record_outcome(
        self, endpoint_id: str, outcome: SlotOutcome, first_token_s: float | None, now: float
    ) -> None:
        """Record how a request ended at an endpoint.

        Args:
            endpoint_id: The endpoint.
            outcome: How the request ended.
            first_token_s: Time to its first token, in seconds; None without one.
            now: Monotonic time, in seconds.
        """
        before = self.state_by_id.get(endpoint_id)
        if before is None:
            return
        after = after_request(before, outcome, first_token_s, now)
        self.state_by_id[endpoint_id] = after
        self._detect_limit_decrease(endpoint_id, before, after, now)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the state of all endpoints but those given."""
        for endpoint_id in self.state_by_id.keys() - endpoint_ids:
            self.state_by_id.pop(endpoint_id)
            self.report_by_id.pop(endpoint_id, None)
            self._sent_by_id.pop(endpoint_id, None)

    async def refresh(self, polled_here: list[Instance], polled_by_peers: list[Instance]) -> None:
        """Poll endpoints and send the digest.

        Args:
            polled_here: Endpoints that this daemon polls for the zone.
            polled_by_peers: Endpoints that peers poll; those without a recent report are polled
                too, but not sent in the digest.
        """
        now = self._clock()
        outdated = [
            e
            for e in polled_by_peers
            if self._state_age_s(e.instance_id, now) > MAX_PEER_REPORT_AGE_S
        ]
        await asyncio.gather(*(self._poll(endpoint) for endpoint in (*polled_here, *outdated)))
        await self.send_digest([endpoint.instance_id for endpoint in polled_here])

    async def send_digest(self, polled_here: list[str]) -> None:
        """Send changes to the zone's daemons; without any, renew the entries at an interval.

        Args:
            polled_here: Ids of the endpoints that this daemon polls for the zone.
        """
        await self.send_limit_decreases()
        now = self._clock()
        entries = {entry.endpoint_id: entry for entry in self._entries(polled_here, now)}
        changed = [e for e in entries.values() if self._sent_by_id.get(e.endpoint_id) != e]
        if now < self._next_digest_at and not changed:
            return
        self._next_digest_at = now + DIGEST_INTERVAL_S
        self._digests_sent += 1
        # A digest of changes cannot remove an entry at the receivers.
        full = self._digests_sent % DIGESTS_PER_FULL_DIGEST == 1 or bool(
            self._sent_by_id.keys() - entries
        )
        self._sent_by_id = entries
        if entries:
            age_s = max(self._report_age_s(endpoint_id, now) for endpoint_id in entries)
            sent = entries.values() if full else changed
            await self._send(encode_digest(sent, _state_hash(entries), age_s, full))

    @property
    def has_pending_decreases(self) -> bool:
        """Whether there is a decreased limit that was not sent to the peers yet."""
        return bool(self._pending_decreases)

    async def send_limit_decreases(self) -> None:
        """Notify the zone's daemons of decreased limits, without waiting for the next digest."""
        entries = self._entries(self._pending_decreases, self._clock())
        self._pending_decreases.clear()
        if entries:
            await self._send(encode_digest(entries, urgent=True))
            await self._notify_limit_decrease(entries)

    async def _send(self, digest: LoadDigest) -> None:
        if self._bus is None:
            return
        await asyncio.gather(*(self._bus.send(peer, digest) for peer in self._peers()))

    async def _handle_digest(self, sender: str, digest: LoadDigest) -> None:
        """Merge a digest; renew all entries of the sender unless a change was missed.

        After a missed change only the entries received count, so that the rest grow old and are
        polled by this daemon.
        """
        now = self._clock()
        if digest.urgent:
            for entry in digest.decoded_entries():
                self._apply_limit_decrease(entry, now)
            await self._notify_limit_decrease(digest.decoded_entries())
            return
        merged = {} if digest.full else self._received_by_sender.get(sender, {})
        received = {entry.endpoint_id: entry for entry in digest.decoded_entries()}
        merged = {**merged, **received}
        self._received_by_sender[sender] = merged
        missed = _state_hash(merged) != digest.state_hash
        for entry in (received if missed else merged).values():
            self._apply_entry(entry, digest.age_s, now)

    async def _notify_limit_decrease(self, entries: Iterable[DigestEntry]) -> None:
        if self._on_limit_decrease:
            await self._on_limit_decrease([entry.endpoint_id for entry in entries])

    def _apply_limit_decrease(self, entry: DigestEntry, now: float) -> None:
        state = self.state_by_id.get(entry.endpoint_id)
        if state is not None:
            self.state_by_id[entry.endpoint_id] = after_peer_decrease(state, entry.limit, now)

    def _apply_entry(self, entry: DigestEntry, age_s: float, now: float) -> None:
        last = self.report_by_id.get(entry.endpoint_id)
        report = LoadReport(
            entry.endpoint_id,
            last.in_flight if last else 0,
            last.queued if last else 0,
            entry.limit,
            entry.cold,
            entry.versions,
            age_s,
        )
        before = self.state_by_id.get(entry.endpoint_id, LimitState())
        after = after_report(before, report, now)
        if after is not before:
            self.state_by_id[entry.endpoint_id] = after
            self.report_by_id[entry.endpoint_id] = report

    def _detect_limit_decrease(
        self, endpoint_id: str, before: LimitState, after: LimitState, now: float
    ) -> None:
        if current_limit(after, now) < current_limit(before, now):
            self._pending_decreases.add(endpoint_id)
            log.info(
                "event=endpoint_bears_less endpoint=%s limit=%d before=%d cold=%s",
                endpoint_id,
                current_limit(after, now),
                current_limit(before, now),
                after.cold,
            )

    def _entries(self, endpoint_ids: Iterable[str], now: float) -> tuple[DigestEntry, ...]:
        return tuple(self._entry(endpoint_id, now) for endpoint_id in sorted(endpoint_ids))

    def _entry(self, endpoint_id: str, now: float) -> DigestEntry:
        """Return the entry of an endpoint; limit 0 and no versions if it has no report."""
        report = self.report_by_id.get(endpoint_id)
        if report is None:
            return DigestEntry(endpoint_id, 0, False, ())
        cold = self.state_by_id[endpoint_id].cold
        return DigestEntry(endpoint_id, self.limit(endpoint_id, now), cold, report.versions)

    def _state_age_s(self, endpoint_id: str, now: float) -> float:
        state = self.state_by_id.get(endpoint_id)
        return now - state.reported_at if state else float("inf")

    def _report_age_s(self, endpoint_id: str, now: float) -> float:
        return self._state_age_s(endpoint_id, now) if endpoint_id in self.report_by_id else 0.0

    async def _poll(self, endpoint: Instance) -> None:
        port = self._engine if endpoint.role is Role.ENGINE else self._service
        try:
            report = await port.load(endpoint)
        except ComfreyhatchError as error:
            if self.report_by_id.pop(endpoint.instance_id, None):
                log.info(
                    "event=endpoint_unreachable endpoint=%s reason=%r",
                    endpoint.instance_id,
                    str(error),
                )
            return
        self.record_report(report, self._clock())


def _state_hash(entry_by_id: dict[str, DigestEntry]) -> int:
    return xxh64_intdigest(encode([entry_by_id[name] for name in sorted(entry_by_id)]))
