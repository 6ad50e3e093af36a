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
DIGESTS_PER_FULL = 16
OWN_POLL_AFTER_S = 4.5

log = logging.getLogger("comfreyhatch.loads")


class DigestEntry(Struct, frozen=True, array_like=True):
    """One endpoint in a digest: the part of its state that seldom changes."""

    endpoint_id: str
    limit: int
    cold: bool
    versions: tuple[str, ...]


class ToldEntry(Struct, frozen=True, array_like=True):
    """An entry on its way; `versions` is the number of a set in the digest."""

    endpoint_id: str
    limit: int
    cold: bool
    versions: int


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

    told: tuple[ToldEntry, ...]
    version_sets: tuple[tuple[str, ...], ...]
    state_hash: int
    age_s: float
    full: bool = False
    urgent: bool = False

    def entries(self) -> tuple[DigestEntry, ...]:
        """Return the entries with their versions; one that names no set is left out."""
        return tuple(
            DigestEntry(e.endpoint_id, e.limit, e.cold, self.version_sets[e.versions])
            for e in self.told
            if 0 <= e.versions < len(self.version_sets)
        )


def digest_of(
    entries: Iterable[DigestEntry],
    state_hash: int = 0,
    age_s: float = 0.0,
    full: bool = False,
    urgent: bool = False,
) -> LoadDigest:
    """Return the digest of entries, each set of versions in it once."""
    number_by_set: dict[tuple[str, ...], int] = {}
    told = tuple(
        ToldEntry(
            e.endpoint_id,
            e.limit,
            e.cold,
            number_by_set.setdefault(e.versions, len(number_by_set)),
        )
        for e in entries
    )
    return LoadDigest(told, tuple(number_by_set), state_hash, age_s, full, urgent)


class LoadMonitor:
    """Keeps reports and limits of the zone's endpoints; polls its part of them."""

    def __init__(
        self,
        engine: Engine,
        service: PlainService,
        bus: PeerBus | None,
        peers: Callable[[], Iterable[str]],
        clock: Callable[[], float] = monotonic,
        on_fall: Callable[[list[str]], Awaitable[None]] | None = None,
    ) -> None:
        """Create the book.

        Args:
            engine: Client of model engines.
            service: Client of plain services.
            bus: Peer bus; None for a daemon without peers.
            peers: Ids of the zone's other daemons.
            clock: Monotonic seconds.
            on_fall: Called with endpoints that bear less, after the peers were told.
        """
        self._on_fall = on_fall
        self.report_by_id: dict[str, LoadReport] = {}
        self.state_by_id: dict[str, LimitState] = {}
        self._engine = engine
        self._service = service
        self._bus = bus
        self._peers = peers
        self._clock = clock
        self._sent_by_id: dict[str, DigestEntry] = {}
        self._received_by_sender: dict[str, dict[str, DigestEntry]] = {}
        self._digests = 0
        self._digest_due = 0.0
        self._urgent: set[str] = set()
        if bus:
            bus.on_message(LoadDigest, self._take_digest)

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

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take in a report of this daemon's own poll or from an answer."""
        before = self.state_by_id.get(report.endpoint_id, LimitState())
        after = after_report(before, report, now)
        self.state_by_id[report.endpoint_id] = after
        if after is not before:
            self.report_by_id[report.endpoint_id] = report
        self._note_fall(report.endpoint_id, before, after, now)

    def take_outcome(
        self, endpoint_id: str, outcome: SlotOutcome, first_token_s: float | None, now: float
    ) -> None:
        """Take in how a request ended at an endpoint."""
        before = self.state_by_id.get(endpoint_id)
        if before is None:
            return
        after = after_request(before, outcome, first_token_s, now)
        self.state_by_id[endpoint_id] = after
        self._note_fall(endpoint_id, before, after, now)

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forget the endpoints that are not among those named."""
        for endpoint_id in self.state_by_id.keys() - endpoint_ids:
            self.state_by_id.pop(endpoint_id)
            self.report_by_id.pop(endpoint_id, None)
            self._sent_by_id.pop(endpoint_id, None)

    async def refresh(self, mine: list[Instance], others: list[Instance]) -> None:
        """Poll this daemon's part, and what no peer has told of lately; send the digest.

        Args:
            mine: Endpoints that this daemon polls for the zone.
            others: Endpoints that peers poll.
        """
        now = self._clock()
        untold = [e for e in others if self._age_s(e.instance_id, now) > OWN_POLL_AFTER_S]
        await asyncio.gather(*(self._poll(endpoint) for endpoint in (*mine, *untold)))
        await self.send_digest([endpoint.instance_id for endpoint in mine])

    async def send_digest(self, mine: list[str]) -> None:
        """Send what changed to the zone's peers, and from time to time that nothing did."""
        await self.send_urgent()
        now = self._clock()
        entries = {entry.endpoint_id: entry for entry in self._entries(mine, now)}
        changed = [e for e in entries.values() if self._sent_by_id.get(e.endpoint_id) != e]
        if now < self._digest_due and not changed:
            return
        self._digest_due = now + DIGEST_INTERVAL_S
        self._digests += 1
        full = self._digests % DIGESTS_PER_FULL == 1 or bool(self._sent_by_id.keys() - entries)
        self._sent_by_id = entries
        if entries:
            age_s = max(self._known_age_s(endpoint_id, now) for endpoint_id in entries)
            told = entries.values() if full else changed
            await self._send(digest_of(told, _state_hash(entries), age_s, full))

    @property
    def has_urgent(self) -> bool:
        """Whether peers have to be told that an endpoint bears less."""
        return bool(self._urgent)

    async def send_urgent(self) -> None:
        """Tell the zone's peers at once of the endpoints that bear less."""
        entries = self._entries(self._urgent, self._clock())
        self._urgent.clear()
        if entries:
            await self._send(digest_of(entries, urgent=True))
            await self._tell_fall(entries)

    async def _send(self, digest: LoadDigest) -> None:
        if self._bus is None:
            return
        await asyncio.gather(*(self._bus.send(peer, digest) for peer in self._peers()))

    async def _take_digest(self, sender: str, digest: LoadDigest) -> None:
        now = self._clock()
        if digest.urgent:
            for entry in digest.entries():
                self._take_fall(entry, now)
            await self._tell_fall(digest.entries())
            return
        known = {} if digest.full else self._received_by_sender.get(sender, {})
        told = {entry.endpoint_id: entry for entry in digest.entries()}
        known = {**known, **told}
        self._received_by_sender[sender] = known
        missed = _state_hash(known) != digest.state_hash
        for entry in (told if missed else known).values():
            self._take_entry(entry, digest.age_s, now)

    async def _tell_fall(self, entries: Iterable[DigestEntry]) -> None:
        if self._on_fall:
            await self._on_fall([entry.endpoint_id for entry in entries])

    def _take_fall(self, entry: DigestEntry, now: float) -> None:
        state = self.state_by_id.get(entry.endpoint_id)
        if state is not None:
            self.state_by_id[entry.endpoint_id] = after_peer_decrease(state, entry.limit, now)

    def _take_entry(self, entry: DigestEntry, age_s: float, now: float) -> None:
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

    def _note_fall(
        self, endpoint_id: str, before: LimitState, after: LimitState, now: float
    ) -> None:
        if current_limit(after, now) < current_limit(before, now):
            self._urgent.add(endpoint_id)
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

    def _age_s(self, endpoint_id: str, now: float) -> float:
        state = self.state_by_id.get(endpoint_id)
        return now - state.reported_at if state else float("inf")

    def _known_age_s(self, endpoint_id: str, now: float) -> float:
        return self._age_s(endpoint_id, now) if endpoint_id in self.report_by_id else 0.0

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
        self.take_report(report, self._clock())


def _state_hash(entry_by_id: dict[str, DigestEntry]) -> int:
    return xxh64_intdigest(encode([entry_by_id[name] for name in sorted(entry_by_id)]))
