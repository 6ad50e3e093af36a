"""Contracts are checked together, against the configuration in force, before they are sent."""

from typing import Any

import pytest
from msgspec.structs import replace

from comfreyhatch.decisions.contract_check import contract_findings, with_contracts
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.domain.finding import (
    MEANING_BY_FINDING,
    Finding,
    FindingCode,
    Severity,
)
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import Version, VersionState

OWN_KEY, OTHER_KEY = "aa" * 32, "bb" * 32
SOUND = Contract(
    customer="trackline",
    key_digests=(OWN_KEY,),
    allowed=("coach",),
    services=("booking",),
    default_model="coach",
)
OTHER = Contract(customer="keepers", key_digests=(OTHER_KEY,), services=("booking",))
VERSIONS = (
    Version("coach", "1", 100, 400),
    Version("coach", "2", 100, 300),
    Version("judge", "1", 100, 400, state=VersionState.WITHDRAWN),
)
IN_FORCE = FleetConfig(
    12,
    {"trackline": SOUND, "keepers": OTHER},
    {version.version_id: version for version in VERSIONS},
)


def codes(*contracts: Contract, in_force: FleetConfig = IN_FORCE) -> list[FindingCode]:
    return [finding.code for finding in contract_findings(contracts, in_force)]


def changed(**fields: Any) -> Contract:
    return replace(SOUND, **fields)


def test_sound_contracts_have_no_findings() -> None:
    assert contract_findings([SOUND, OTHER], IN_FORCE) == []
    assert contract_findings([], IN_FORCE) == []


def test_contract_of_a_new_customer_has_no_findings() -> None:
    assert codes(changed(customer="new", key_digests=("cc" * 32,))) == []


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"outage_cap_micros": 2_000_000_000}, FindingCode.CONTRADICTION),
        ({"on_budget_unknown": "cap"}, FindingCode.CONTRADICTION),
        ({"default_model": "judge"}, FindingCode.CONTRADICTION),
        ({"default_deadline_s": 0.4}, FindingCode.CONTRADICTION),
        ({"objectives": Objectives(first_token_s=31.0)}, FindingCode.CONTRADICTION),
        ({"budget_micros": 0}, FindingCode.ZERO_LIMIT),
        ({"allowed": ("judge",), "default_model": ""}, FindingCode.NOT_SERVED),
        ({"allowed": ("coach", "judge"), "default_model": "judge"}, FindingCode.NOT_SERVED),
        ({"allowed": ("coach", "judge")}, FindingCode.NEVER_MATCHES),
        ({"allowed": ("coach", "judge@1")}, FindingCode.NEVER_MATCHES),
        ({"allowed": ("coach", "unknown")}, FindingCode.NEVER_MATCHES),
        ({"allowed": ("coach", "coach@2")}, FindingCode.COVERED),
        ({"allowed": ("coach", "coach")}, FindingCode.COVERED),
        ({"services": ("booking", "booking")}, FindingCode.COVERED),
        ({"key_digests": (OWN_KEY, OWN_KEY)}, FindingCode.COVERED),
        ({"key_digests": ()}, FindingCode.NO_KEY),
        ({"key_digests": (OWN_KEY, OTHER_KEY)}, FindingCode.SHARED_KEY),
        ({"key_digests": ("cc" * 32,)}, FindingCode.ACCESS_REMOVED),
        ({"services": ()}, FindingCode.ACCESS_REMOVED),
        ({"allowed": ("coach@1",)}, FindingCode.ACCESS_REMOVED),
        ({"outage_cap_micros": 5}, FindingCode.UNUSED),
        ({"budget_micros": 306}, FindingCode.BUDGET_TOO_SMALL),
    ],
)
def test_fault_of_a_contract_is_found(fields: dict[str, Any], code: FindingCode) -> None:
    assert code in codes(changed(**fields))


@pytest.mark.parametrize(
    "fields",
    [
        {"default_deadline_s": 0.46},
        {"on_budget_unknown": "cap", "outage_cap_micros": 1_000_000_000},
        {"allowed": ("coach@1", "coach@2")},
        {"key_digests": (OWN_KEY, "cc" * 32)},
        {"budget_micros": 308},
    ],
)
def test_contract_at_the_edge_of_a_limit_is_sound(fields: dict[str, Any]) -> None:
    assert codes(changed(**fields)) == []


def test_two_files_of_one_customer_are_found() -> None:
    # The second would replace the first without a word.
    assert codes(SOUND, changed(quality_target=0.5)) == [FindingCode.DUPLICATE_NAME]


def test_key_that_moves_between_contracts_of_one_set_is_not_shared() -> None:
    moved = [changed(key_digests=(OTHER_KEY,)), replace(OTHER, key_digests=(OWN_KEY,))]
    assert set(codes(*moved)) == {FindingCode.ACCESS_REMOVED}


def test_findings_name_no_whole_digest() -> None:
    findings = contract_findings([changed(key_digests=(OTHER_KEY, OTHER_KEY))], IN_FORCE)
    assert len(findings) == 3
    assert not any(OTHER_KEY in finding.message for finding in findings)


def test_contracts_are_added_and_replaced() -> None:
    new = changed(customer="new")
    planned = with_contracts(IN_FORCE, [new, changed(quality_target=0.5)])
    assert planned.revision == 12
    assert planned.contract_by_customer["new"] == new
    assert planned.contract_by_customer["trackline"].quality_target == 0.5
    assert planned.contract_by_customer["keepers"] == OTHER


def test_every_finding_has_a_meaning_and_the_severity_of_its_number() -> None:
    assert MEANING_BY_FINDING.keys() == set(FindingCode)
    severities = [Finding(code, "", "").severity for code in FindingCode]
    assert severities == [Severity.ERROR] * 8 + [Severity.WARNING] * 6
