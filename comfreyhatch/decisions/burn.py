"""Burn rates of error budgets by customer and objective, broken down by cause."""

from collections.abc import Iterable
from enum import Enum

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.domain.record import RequestRecord

BUCKET_S = 60
# Stored counts use longer buckets than counts in memory to keep stored segments small.
STORED_BUCKET_S = 300
HOUR_S = 3600
# Share of answers whose first token has to be in time.
FIRST_TOKEN_SHARE = 0.95
BUDGET_PERIOD_S = 30 * 24 * HOUR_S
# Results that no objective counts, since the caller or its contract caused them.
CALLER_FAULTS = frozenset(
    {
        ResultCode.BAD_REQUEST,
        ResultCode.UNAUTHENTICATED,
        ResultCode.NOT_ALLOWED,
        ResultCode.NOT_FOUND,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.HEADERS_TOO_LARGE,
        ResultCode.REQUEST_TIMEOUT,
        ResultCode.METHOD_NOT_ALLOWED,
        ResultCode.KEY_REUSED,
        ResultCode.BUDGET_EXHAUSTED,
    }
)


class Objective(Enum):
    """A service-level objective; EXPOSURE limits the share of requests that bad versions serve."""

    AVAILABILITY = "availability"
    FIRST_TOKEN = "first-token"
    QUALITY = "quality"
    EXPOSURE = "exposure"


class AlertWindow(Struct, frozen=True):
    """A pair of windows that alerts when the burn rate of both reaches a threshold.

    Attributes:
        name: "fast" or "slow".
        long_s: Length of the long window, in seconds.
        short_s: Length of the short window, in seconds.
        rate: Burn rate that raises the alert; a rate of 1 spends the budget in its period.
    """

    name: str
    long_s: int
    short_s: int
    rate: float


ALERT_WINDOWS = (
    AlertWindow("fast", HOUR_S, 300, 14.4),
    AlertWindow("slow", 6 * HOUR_S, 1800, 6.0),
)


class Cause(Struct, frozen=True, order=True, array_like=True):
    """Result of a request and where it last ran: the axes of the breakdown of misses.

    The endpoint is empty for requests that met the objective, so that the number of counts
    grows with the misses and not with the number of endpoints.

    Attributes:
        code: Number of the result code.
        version: Version of the last attempt; empty if there was none.
        zone: Zone of the last attempt; empty if there was none.
        endpoint: Endpoint of the last attempt, if the objective was missed.
    """

    code: int
    version: str
    zone: str
    endpoint: str


class BurnKey(Struct, frozen=True, array_like=True):
    """Time bucket, customer, objective and cause of a count.

    Attributes:
        start_s: Start of the bucket, in seconds since the epoch.
        customer: Name of the customer.
        objective: The objective.
        cause: The cause.
        length_s: Length of the bucket, in seconds.
    """

    start_s: int
    customer: str
    objective: Objective
    cause: Cause
    length_s: int = BUCKET_S

    @property
    def end_s(self) -> int:
        """End of the bucket, in seconds since the epoch."""
        return self.start_s + self.length_s


class BurnCount(Struct, frozen=True, array_like=True):
    """Number of requests that an objective applies to, and of those that missed it."""

    key: BurnKey
    total: int
    bad: int


class BurnSegment(Struct, frozen=True, array_like=True):
    """A batch of counts of one incarnation of a daemon.

    Attributes:
        incarnation: Incarnation of the daemon.
        sequence: Sequence number of the segment within the incarnation.
        counts: The counts.
    """

    incarnation: str
    sequence: int
    counts: tuple[BurnCount, ...]


class StoredBurn(Struct, frozen=True):
    """Sums of stored segments.

    Attributes:
        counts: The sums.
        sequence_by_incarnation: Highest sequence number in the sums, by incarnation.
    """

    counts: tuple[BurnCount, ...]
    sequence_by_incarnation: dict[str, int]


class Contribution(Struct, frozen=True):
    """Number of misses with one value of an axis of the breakdown.

    Attributes:
        axis: Name of the axis, such as "version".
        value: Value on the axis; "none" if it is empty.
        bad: Number of misses.
    """

    axis: str
    value: str
    bad: int


class ObjectiveBurn(Struct, frozen=True):
    """Burn of one objective of one customer in a period.

    Attributes:
        customer: Name of the customer.
        objective: The objective.
        allowed: Share of requests that may miss the objective.
        total: Number of requests in the period that the objective applies to.
        bad: Number of requests that missed it.
        budget_left: Remaining share of the error budget; below 0 when overspent.
        rate_by_window: Burn rates of the short and long windows by name, such as "fast-long".
        alerts: Names of the window pairs that alert.
        contributions: Misses by value of each axis, largest first.
    """

    customer: str
    objective: Objective
    allowed: float
    total: int
    bad: int
    budget_left: float
    rate_by_window: dict[str, float]
    alerts: tuple[str, ...]
    contributions: tuple[Contribution, ...]


class BurnReport(Struct, frozen=True):
    """Burn of all customers in a period; times in seconds since the epoch."""

    from_unix_s: float
    to_unix_s: float
    objectives: tuple[ObjectiveBurn, ...]


class BurnCounts:
    """Counts requests by time bucket, customer, objective and cause."""

    def __init__(self) -> None:
        self._count_by_key: dict[BurnKey, list[int]] = {}

    def add_record(
        self, record: RequestRecord, contract: Contract, bad_versions: frozenset[str]
    ) -> None:
        """Count a request for each objective that applies to it.

        Args:
            record: Record of the request.
            contract: Contract of the customer.
            bad_versions: Ids of the versions known to be bad when the request ran.
        """
        if record.code in CALLER_FAULTS:
            return
        for objective, missed in _missed_by_objective(record, contract, bad_versions).items():
            cause = _cause(record, missed)
            self._add_request(record.customer, objective, cause, record.at_unix_s, missed)

    def add_rating(
        self, contract: Contract, version_id: str, rating: float, at_unix_s: float
    ) -> None:
        """Count a rating that arrived after its request was counted."""
        missed = rating < contract.quality_target
        cause = Cause(int(ResultCode.OK), version_id, "", "")
        self._add_request(contract.customer, Objective.QUALITY, cause, at_unix_s, missed)

    def add_count(self, count: BurnCount) -> None:
        """Add a count, such as one of another instance."""
        self._add(count.key, count.total, count.bad)

    def _add_request(
        self, customer: str, objective: Objective, cause: Cause, at_unix_s: float, missed: bool
    ) -> None:
        start_s = int(at_unix_s) // BUCKET_S * BUCKET_S
        self._add(BurnKey(start_s, customer, objective, cause), 1, missed)

    def counts(self) -> list[BurnCount]:
        """Return all counts."""
        return [BurnCount(key, total, bad) for key, (total, bad) in self._count_by_key.items()]

    def _add(self, key: BurnKey, total: int, bad: int) -> None:
        entry = self._count_by_key.setdefault(key, [0, 0])
        entry[0] += total
        entry[1] += bad


def allowed_share(objectives: Objectives, objective: Objective) -> float:
    """Return the share of requests that may miss an objective."""
    return {
        Objective.AVAILABILITY: 1 - objectives.availability,
        Objective.FIRST_TOKEN: 1 - FIRST_TOKEN_SHARE,
        Objective.QUALITY: 1 - objectives.quality,
        Objective.EXPOSURE: objectives.exposure,
    }[objective]


def burn_report(
    counts: Iterable[BurnCount],
    contract_by_customer: dict[str, Contract],
    from_unix_s: float,
    now_unix_s: float,
) -> BurnReport:
    """Return the burn of each objective in a period.

    Args:
        counts: Counts of all instances.
        contract_by_customer: Contracts in force.
        from_unix_s: Start of the period, in seconds since the epoch.
        now_unix_s: End of the period, in seconds since the epoch.

    Returns:
        One entry for each customer and objective with requests, least budget left first.
    """
    counts_by_pair: dict[tuple[str, Objective], list[BurnCount]] = {}
    for count in counts:
        if count.key.end_s > from_unix_s and count.key.start_s <= now_unix_s:
            pair = (count.key.customer, count.key.objective)
            counts_by_pair.setdefault(pair, []).append(count)
    burns = [
        _objective_burn(pair, found, contract_by_customer[pair[0]], now_unix_s)
        for pair, found in counts_by_pair.items()
        if pair[0] in contract_by_customer
    ]
    burns.sort(key=lambda burn: (burn.budget_left, burn.customer, burn.objective.value))
    return BurnReport(from_unix_s, now_unix_s, tuple(burns))


def _objective_burn(
    pair: tuple[str, Objective], counts: list[BurnCount], contract: Contract, now_unix_s: float
) -> ObjectiveBurn:
    customer, objective = pair
    allowed = allowed_share(contract.objectives, objective)
    total = sum(count.total for count in counts)
    bad = sum(count.bad for count in counts)
    rates = {
        f"{window.name}-{length}": burn_rate(counts, allowed, now_unix_s - seconds)
        for window in ALERT_WINDOWS
        for length, seconds in (("long", window.long_s), ("short", window.short_s))
    }
    alerts = tuple(
        window.name
        for window in ALERT_WINDOWS
        if min(rates[f"{window.name}-long"], rates[f"{window.name}-short"]) >= window.rate
    )
    return ObjectiveBurn(
        customer=customer,
        objective=objective,
        allowed=allowed,
        total=total,
        bad=bad,
        budget_left=1 - _ratio(bad, total * allowed),
        rate_by_window=rates,
        alerts=alerts,
        contributions=_contributions(counts),
    )


def burn_rate(counts: Iterable[BurnCount], allowed: float, since_unix_s: float) -> float:
    """Return the burn rate since a time: the share of misses divided by the allowed share."""
    recent = [count for count in counts if count.key.end_s > since_unix_s]
    total = sum(count.total for count in recent)
    return _ratio(sum(count.bad for count in recent), total * allowed)


def _ratio(bad: int, allowed: float) -> float:
    """Return misses divided by allowed misses; a large number if none is allowed and one occurs."""
    if allowed > 0:
        return bad / allowed
    return float(bad > 0) * BUDGET_PERIOD_S


def _contributions(counts: list[BurnCount]) -> tuple[Contribution, ...]:
    bad_by_pair: dict[tuple[str, str], int] = {}
    for count in counts:
        cause = count.key.cause
        axes = (
            ("code", str(cause.code)),
            ("version", cause.version),
            ("zone", cause.zone),
            ("endpoint", cause.endpoint),
        )
        for pair in axes:
            bad_by_pair[pair] = bad_by_pair.get(pair, 0) + count.bad
    found = [
        Contribution(axis, value or "none", bad)
        for (axis, value), bad in bad_by_pair.items()
        if bad
    ]
    return tuple(sorted(found, key=lambda item: (-item.bad, item.axis, item.value)))


def _cause(record: RequestRecord, missed: bool) -> Cause:
    if not record.attempts:
        return Cause(int(record.code), "", "", "")
    last = record.attempts[-1]
    endpoint = last.endpoint_id if missed else ""
    return Cause(int(record.code), last.version_id, last.zone, endpoint)


def sum_segments(segments: Iterable[BurnSegment]) -> StoredBurn:
    """Return the sums of segments; each segment must occur only once."""
    sums = BurnCounts()
    last: dict[str, int] = {}
    for segment in segments:
        last[segment.incarnation] = max(segment.sequence, last.get(segment.incarnation, 0))
        for count in segment.counts:
            sums.add_count(count)
    return StoredBurn(tuple(sums.counts()), last)


def add_stored(first: StoredBurn, second: StoredBurn) -> StoredBurn:
    """Return the total of two sums of different segments.

    The sequence numbers of `second` take precedence, so its segments must be the later ones.
    """
    sums = BurnCounts()
    for count in (*first.counts, *second.counts):
        sums.add_count(count)
    last = first.sequence_by_incarnation | second.sequence_by_incarnation
    return StoredBurn(tuple(sums.counts()), last)


def merge_burn(stored: StoredBurn, pending: Iterable[BurnSegment]) -> list[BurnCount]:
    """Return the stored counts and the counts of pending segments that are not stored yet."""
    stored_sequences = stored.sequence_by_incarnation
    fresh = [s for s in pending if s.sequence > stored_sequences.get(s.incarnation, -1)]
    return [*stored.counts, *(count for segment in fresh for count in segment.counts)]


def downsample(segment: BurnSegment) -> BurnSegment:
    """Return the segment with its counts summed to buckets of `STORED_BUCKET_S`."""
    sums = BurnCounts()
    for count in segment.counts:
        start_s = count.key.start_s // STORED_BUCKET_S * STORED_BUCKET_S
        key = replace(count.key, start_s=start_s, length_s=STORED_BUCKET_S)
        sums.add_count(replace(count, key=key))
    return replace(segment, counts=tuple(sums.counts()))


def _missed_by_objective(
    record: RequestRecord, contract: Contract, bad_versions: frozenset[str]
) -> dict[Objective, bool]:
    """Return, for each objective that applies to a request, whether the request missed it."""
    answered = record.code is ResultCode.OK
    late = record.deadline_s > 0 and record.duration_s > record.deadline_s
    missed = {Objective.AVAILABILITY: not answered or late}
    if not answered:
        return missed
    if record.first_token_s is not None:
        limit_s = contract.objectives.first_token_s
        missed[Objective.FIRST_TOKEN] = record.first_token_s > limit_s
    if record.delivered_rating is not None:
        missed[Objective.QUALITY] = record.delivered_rating < contract.quality_target
    if record.kind == "chat":
        ran = {attempt.version_id for attempt in record.attempts}
        missed[Objective.EXPOSURE] = bool(ran & bad_versions)
    return missed
