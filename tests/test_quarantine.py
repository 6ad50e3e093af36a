"""Quarantine: evidence of several daemons, notices, automatic withdrawal and the end by trial."""

from collections.abc import Callable

import pytest

from comfreyhatch.daemon.members.evidence_peers import MAX_EVIDENCE_PEERS, evidence_peers
from comfreyhatch.daemon.versions.quarantine import Quarantine, QuarantineNotice
from comfreyhatch.decisions.regression import Outcomes, VersionKey
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.version import Version
from comfreyhatch.errors import PlatformError
from comfreyhatch.ports.peers import Member, MembershipView, MemoryNetwork

OLD = Version("large", "1", 10, 10)
NEW = Version("large", "2", 10, 10, share=25, replaces="large@1")
NOW = 1000.0
BAD = Outcomes(count=1, errors=1)
GOOD = Outcomes(count=1, rated=1)


def view(count: int) -> MembershipView:
    address = Address("", 0)
    return MembershipView(
        {f"d{n}": Member(f"d{n}", "", "z", address, address) for n in range(count)}
    )


def config_of(*versions: Version, auto_withdraw: bool = False) -> FleetConfig:
    contract = Contract("c", allowed=("large",), auto_withdraw=auto_withdraw)
    return FleetConfig(1, {"c": contract}, {v.version_id: v for v in versions})


def fleet(size: int, config: Callable[[], FleetConfig], **more: object) -> list[Quarantine]:
    network = MemoryNetwork()
    return [
        Quarantine(
            f"i{n}",
            f"d{n}",
            config,
            lambda: view(size),
            network.join(f"d{n}"),
            clock=lambda: NOW,
            **more,  # type: ignore[arg-type]
        )
        for n in range(size)
    ]


async def test_evidence_of_all_daemons_counts_and_all_quarantine_the_version() -> None:
    daemons = fleet(6, lambda: config_of(OLD, NEW))
    for daemon in daemons:
        for _ in range(20):
            daemon.record_outcomes(OLD, GOOD)
        daemon.record_outcomes(NEW, BAD)
        await daemon.tick()
    assert all(daemon.quarantined() == {"large@2"} for daemon in daemons)
    alone = fleet(1, lambda: config_of(OLD, NEW))[0]
    alone.record_outcomes(NEW, BAD)
    await alone.tick()
    assert not alone.quarantined()


async def test_replaced_version_is_never_put_in_quarantine() -> None:
    daemon = fleet(1, lambda: config_of(OLD, NEW))[0]
    for _ in range(50):
        daemon.record_outcomes(OLD, BAD)
        daemon.record_outcomes(NEW, BAD)
        await daemon.tick()
    assert not daemon.quarantined()


async def test_quarantine_ends_only_with_a_higher_trial() -> None:
    version = NEW
    daemon = fleet(1, lambda: config_of(OLD, version))[0]
    for _ in range(10):
        daemon.record_outcomes(version, BAD)
    await daemon.tick()
    version = Version("large", "2", 10, 10, share=50, replaces="large@1")
    assert daemon.quarantined() == {"large@2"}
    version = Version("large", "2", 10, 10, share=50, replaces="large@1", trial=1)
    assert not daemon.quarantined()
    await daemon.tick()
    assert not daemon.quarantined()


async def test_notice_is_repeated_for_a_daemon_that_missed_it() -> None:
    daemons = fleet(2, lambda: config_of(OLD, NEW))
    notice = QuarantineNotice(VersionKey("large@2"), "errors", "d0")
    daemons[0].notice_by_key[notice.key] = notice
    assert not daemons[1].quarantined()
    await daemons[0].tick()
    assert daemons[1].quarantined() == {"large@2"}


@pytest.mark.parametrize("auto_withdraw", [True, False])
async def test_automatic_withdrawal_follows_the_contract(auto_withdraw: bool) -> None:
    edits: list[tuple[str, str]] = []

    async def withdraw(version_id: str, edit_id: str) -> None:
        edits.append((version_id, edit_id))
        raise PlatformError("the store is down")

    config = config_of(OLD, NEW, auto_withdraw=auto_withdraw)
    daemon = fleet(1, lambda: config, withdraw=withdraw)[0]
    for _ in range(10):
        daemon.record_outcomes(NEW, BAD)
    await daemon.tick()
    assert edits == ([("large@2", "auto-withdraw/large@2/0")] if auto_withdraw else [])
    assert daemon.quarantined() == {"large@2"}


async def test_disabled_quarantine_only_counts_outcomes() -> None:
    daemons = fleet(2, lambda: config_of(OLD, NEW), enabled=False)
    for _ in range(20):
        daemons[0].record_outcomes(NEW, BAD)
    await daemons[0].tick()
    assert not daemons[0].quarantined()
    assert daemons[0].outcome_counts.total(VersionKey("large@2"), NOW).errors == 20


def test_growth_is_blocked_without_evidence_and_in_quarantine() -> None:
    daemon = fleet(1, lambda: config_of(OLD, NEW))[0]
    assert "outcomes" in daemon.growth_blocker("large@2")
    for _ in range(40):
        daemon.record_outcomes(NEW, GOOD)
    assert daemon.growth_blocker("large@2") == ""
    daemon.notice_by_key[VersionKey("large@2")] = QuarantineNotice(VersionKey("large@2"), "", "")
    assert "quarantine" in daemon.growth_blocker("large@2")
    assert "not active" in daemon.growth_blocker("large@9")


def test_evidence_peers_are_bounded_and_exclude_the_daemon_itself() -> None:
    for size in (1, 3, 6, 50):
        for number in range(size):
            peers = evidence_peers(f"d{number}", view(size))
            assert len(peers) == min(size - 1, MAX_EVIDENCE_PEERS)
            assert f"d{number}" not in peers


async def test_notice_reaches_daemons_that_are_not_evidence_peers_at_once() -> None:
    daemons = fleet(12, lambda: config_of(OLD, NEW))
    for _ in range(10):
        daemons[0].record_outcomes(NEW, BAD)
    await daemons[0].tick()
    assert all(daemon.quarantined() == {"large@2"} for daemon in daemons)
