"""Figures of one run of the policy measurement."""

from msgspec import Struct

from bench.policy_fleet import NEW, QUALITY_TARGET
from bench.policy_load import Load, Seen
from bench.policy_scenarios import Marks
from comfreyhatch.domain.record import RequestRecord

SETTLING_S = 2.0


class Figures(Struct):
    """What is reported of one run.

    Attributes:
        requests: Requests sent.
        served: Share of requests answered in their deadline.
        served_by_phase: The same by phase of the scenario.
        at_target: Share of served chats whose true quality is at the target.
        cost: Micros for each answer at the target.
        late_at_target: As `at_target`, in the second half.
        late_cost: As `cost`, in the second half.
        first_token_ms: p50, p95 and p99 of streamed chats.
        gap_ms: p50, p95 and p99.
        alone_first_token_ms: The same of an engine that is asked directly, before the load.
        alone_gap_ms: The same.
        bad_seen: Chats answered by the bad version after it turned.
        after_turn: Chats sent after it turned.
        quarantine_s: Time from the turn until the last daemon had it in quarantine.
        critical: Critical requests sent.
        critical_dropped: Critical requests without an answer in their deadline.
        refusals: Number of refusals by result code; 0 is no answer at all.
        escalated: Share of chats with two runs.
    """

    requests: int
    served: float
    served_by_phase: dict[str, float]
    at_target: float
    cost: float
    late_at_target: float
    late_cost: float
    first_token_ms: tuple[float, float, float]
    gap_ms: tuple[float, float, float]
    alone_first_token_ms: tuple[float, float, float]
    alone_gap_ms: tuple[float, float, float]
    bad_seen: int
    after_turn: int
    quarantine_s: float | None
    critical: int
    critical_dropped: int
    refusals: dict[str, int]
    escalated: float


def figures_of(
    load: Load,
    marks: Marks,
    records: dict[str, RequestRecord],
    alone: tuple[list[float], list[float]],
) -> Figures:
    """Return the figures of a run."""
    seen = load.seen
    at_by_name = {name: at - load.started for name, at in marks.at_by_name.items()}
    end = max(s.at_s for s in seen)
    chats = [s for s in seen if s.kind == "chat"]
    late = [s for s in chats if s.at_s >= end / 2]
    streamed = [s for s in chats if s.streamed and s.served]
    turned = [s for s in chats if s.at_s >= at_by_name.get("bad", end + 1)]
    critical = [s for s in chats if s.critical]
    found = [records[s.request_id] for s in chats if s.request_id in records]
    refusals: dict[str, int] = {}
    for s in seen:
        if not s.served:
            refusals[str(s.code)] = refusals.get(str(s.code), 0) + 1
    quarantined = at_by_name.get("quarantined")
    return Figures(
        requests=len(seen),
        served=_share([s.served for s in seen]),
        served_by_phase=_phases(seen, at_by_name),
        at_target=_at_target(chats),
        cost=_cost(chats, records),
        late_at_target=_at_target(late),
        late_cost=_cost(late, records),
        first_token_ms=_quantiles([s.first_token_s or 0.0 for s in streamed]),
        gap_ms=_quantiles([gap for s in streamed for gap in s.gaps_s]),
        alone_first_token_ms=_quantiles(alone[0]),
        alone_gap_ms=_quantiles(alone[1]),
        bad_seen=sum(s.version == NEW.version_id and s.status == 200 for s in turned),
        after_turn=len(turned),
        quarantine_s=quarantined - at_by_name["bad"] if quarantined else None,
        critical=len(critical),
        critical_dropped=sum(not s.served for s in critical),
        refusals=refusals,
        escalated=_share([len(r.attempts) > 1 for r in found]),
    )


def _phases(seen: list[Seen], at_by_name: dict[str, float]) -> dict[str, float]:
    """Return the share served before, just after and well after each event."""
    edges = [("start", 0.0)]
    for name, at_s in sorted(at_by_name.items(), key=lambda item: item[1]):
        edges += [(f"{name} +{SETTLING_S:g} s", at_s), (f"after {name}", at_s + SETTLING_S)]
    shares = {}
    for index, (name, begin) in enumerate(edges):
        finish = edges[index + 1][1] if index + 1 < len(edges) else float("inf")
        part = [s.served for s in seen if begin <= s.at_s < finish]
        if part:
            shares[name] = _share(part)
    return shares


def _at_target(chats: list[Seen]) -> float:
    return _share([s.quality >= QUALITY_TARGET for s in chats if s.served])


def _cost(chats: list[Seen], records: dict[str, RequestRecord]) -> float:
    total = sum(records[s.request_id].cost_micros for s in chats if s.request_id in records)
    good = sum(s.served and s.quality >= QUALITY_TARGET for s in chats)
    return total / max(1, good)


def _share(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def _quantiles(values: list[float]) -> tuple[float, float, float]:
    ordered = sorted(values) or [0.0]
    at = [ordered[min(len(ordered) - 1, int(q * len(ordered)))] for q in (0.5, 0.95, 0.99)]
    return (round(at[0] * 1000, 1), round(at[1] * 1000, 1), round(at[2] * 1000, 1))
