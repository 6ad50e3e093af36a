"""What is known of the zone's endpoints: reports, limits, and the digests that peers share."""

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

DIGEST_INTERVAL_S = 4.0
DIGESTS_PER_FULL_DIGEST = 16
MAX_PEER_REPORT_AGE_S = 4.5

log = logging.getLogger("comfreyhatch.loads")


class DigestEntry(Struct, frozen=True, array_like=True):
    """One endpoint in a digest: the part of its state that seldom changes."""

    endpoint_id: str
    limit: int
    cold: bool
    versions: tuple[str, ...]


class EncodedEntry(Struct, frozen=True, array_like=True):
    """An entry on its way; `versions` is the number of a set in the digest."""

    endpoint_id: str
    limit: int
    cold: bool
    version_set: int


class LoadDigest(Struct, frozen=True, array_like=True, tag="load-digest"):
    """What a daemon knows of the endpoints that it polls.

    Attributes:
        told: Endpoints whose state changed, or all of them.
        version_sets: Sets of version ids that the entries name by number.
        state_hash: Hash of all entries; equal at a receiver that missed none.
        age_s: Age of the oldest report behind it, in seconds.
        full: Whether all entries are given.
        urgent: Whether the limits given hold at once, whatever newer reports say.
    """

    encoded_entries: tuple[EncodedEntry, ...]
    version_sets: tuple[tuple[str, ...], ...]
    state_hash: int
    age_s: float
    full: bool = False
    urgent: bool = False

    def decoded_entries(self) -> tuple[DigestEntry, ...]:
        """Return the entries with their versions; one that names no set is left out."""
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
    """Return the digest of entries, each set of versions in it once."""
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
    """Keeps reports and limits of the zone's endpoints; polls its part of them."""

    def __init__(
        self,
        engine: Engine,
        service: PlainService,
        bus: PeerBus | None,
        peers: Callable[[], Iterable[str]],
        clock: Callable[[], float] = monotonic,
        on_limit_drop: Callable[[list[str]], Awaitable[None]] | None = None,
    ) -> None:
        """Create the book.

        Args:
            engine: Client of model engines.
            service: Client of plain services.
            bus: Peer bus; None for a daemon without peers.
            peers: Ids of the zone's other daemons.
            clock: Monotonic seconds.
            on_limit_drop: Called with endpoints that bear less, after the peers were told.
        """
        self._on_limit_drop = on_limit_drop
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
        self._pending_drops: set[str] = set()
        if bus:
            bus.on_message(LoadDigest, self._handle_digest)

    def limit(self, endpoint_id: str, now: float) -> int:
        """Return how many requests an endpoint may have running in all; 0 if not known."""
        state = self.state_by_id.get(endpoint_id)
        return current_limit(state, now) if state else 0

    def limits(self, now: float) -> dict[str, int]:
        """Return the limits of all known endpoints."""
        return {
            endpoint_id: current_limit(state, now)
            for endpoint_id, state in self.state_by_id.items()
        }

    def record_report(self, report: LoadReport, now: float) -> None:
        """Take in a report of this daemon's own poll or from an answer."""
        before = self.state_by_id.get(report.endpoint_id, LimitState())
        after = after_report(before, report, now)
        self.state_by_id[report.endpoint_id] = after
        if after is not before:
            self.report_by_id[report.endpoint_id] = report
        self._detect_limit_drop(report.endpoint_id, before, after, now)

    def record_outcome(
        self, endpoint_id: str, outcome: SlotOutcome, first_token_s: float | None, now: float
    ) -> None:
        """Take in how a request ended at an endpoint."""
        before = self.state_by_id.get(endpoint_id)
        if before is None:
            return
        after = after_request(before, outcome, first_token_s, now)
        self.state_by_id[endpoint_id] = after
        self._detect_limit_drop(endpoint_id, before, after, now)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forget the endpoints that are not among those named."""
        for endpoint_id in self.state_by_id.keys() - endpoint_ids:
            self.state_by_id.pop(endpoint_id)
            self.report_by_id.pop(endpoint_id, None)
            self._sent_by_id.pop(endpoint_id, None)

    async def refresh(self, polled_here: list[Instance], polled_by_peers: list[Instance]) -> None:
        """Poll this daemon's part, and what no peer has told of lately; send the digest.

        Args:
            polled_here: Endpoints that this daemon polls for the zone.
            polled_by_peers: Endpoints that peers poll.
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
        """Send what changed to the zone's peers, and from time to time that nothing did."""
        await self.send_limit_drops()
        now = self._clock()
        entries = {entry.endpoint_id: entry for entry in self._entries(polled_here, now)}
        changed = [e for e in entries.values() if self._sent_by_id.get(e.endpoint_id) != e]
        if now < self._next_digest_at and not changed:
            return
        self._next_digest_at = now + DIGEST_INTERVAL_S
        self._digests_sent += 1
        full = self._digests_sent % DIGESTS_PER_FULL_DIGEST == 1 or bool(
            self._sent_by_id.keys() - entries
        )
        self._sent_by_id = entries
        if entries:
            age_s = max(self._report_age_s(endpoint_id, now) for endpoint_id in entries)
            sent = entries.values() if full else changed
            await self._send(encode_digest(sent, _state_hash(entries), age_s, full))

    @property
    def has_pending_drops(self) -> bool:
        """Whether peers have to be told that an endpoint bears less."""
        return bool(self._pending_drops)

    async def send_limit_drops(self) -> None:
        """Tell the zone's peers at once of the endpoints that bear less."""
        entries = self._entries(self._pending_drops, self._clock())
        self._pending_drops.clear()
        if entries:
            await self._send(encode_digest(entries, urgent=True))
            await self._notify_limit_drop(entries)

    async def _send(self, digest: LoadDigest) -> None:
        if self._bus is None:
            return
        await asyncio.gather(*(self._bus.send(peer, digest) for peer in self._peers()))

    async def _handle_digest(self, sender: str, digest: LoadDigest) -> None:
        now = self._clock()
        if digest.urgent:
            for entry in digest.decoded_entries():
                self._apply_limit_drop(entry, now)
            await self._notify_limit_drop(digest.decoded_entries())
            return
        merged = {} if digest.full else self._received_by_sender.get(sender, {})
        received = {entry.endpoint_id: entry for entry in digest.decoded_entries()}
        merged = {**merged, **received}
        self._received_by_sender[sender] = merged
        missed = _state_hash(merged) != digest.state_hash
        for entry in (received if missed else merged).values():
            self._apply_entry(entry, digest.age_s, now)

    async def _notify_limit_drop(self, entries: Iterable[DigestEntry]) -> None:
        if self._on_limit_drop:
            await self._on_limit_drop([entry.endpoint_id for entry in entries])

    def _apply_limit_drop(self, entry: DigestEntry, now: float) -> None:
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

    def _detect_limit_drop(
        self, endpoint_id: str, before: LimitState, after: LimitState, now: float
    ) -> None:
        if current_limit(after, now) < current_limit(before, now):
            self._pending_drops.add(endpoint_id)
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
