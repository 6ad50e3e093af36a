"""Checks contracts against the configuration in force before they are sent."""

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec.structs import replace

from comfreyhatch.domain.contract import Contract, contract_problems
from comfreyhatch.domain.finding import Finding, FindingCode
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import Version, cost_micros

# Digits of a key's digest that a finding names.
DIGEST_DIGITS = 8


def with_contracts(config: FleetConfig, contracts: Iterable[Contract]) -> FleetConfig:
    """Return a configuration in which contracts are added or replaced."""
    changed = {contract.customer: contract for contract in contracts}
    return replace(config, contract_by_customer={**config.contract_by_customer, **changed})


def contract_findings(contracts: Sequence[Contract], in_force: FleetConfig) -> list[Finding]:
    """Return what is wrong with contracts that are to be sent together.

    Args:
        contracts: The contracts.
        in_force: Configuration that they are to change.
    """
    names = Counter(contract.customer for contract in contracts)
    found = [
        Finding(FindingCode.DUPLICATE_NAME, _where(name), f"{count} files are of this customer")
        for name, count in names.items()
        if count > 1
    ]
    planned = with_contracts(in_force, contracts)
    for contract in contracts:
        found += _clause_findings(contract)
        found += _key_findings(contract, planned)
        found += _access_findings(contract, planned)
        found += _budget_findings(contract, planned)
        before = in_force.contract_by_customer.get(contract.customer)
        if before is not None:
            found += _removals(before, contract, in_force)
    return sorted(set(found))


def _clause_findings(contract: Contract) -> list[Finding]:
    """Return the contradictions between the clauses of a contract."""
    where = _where(contract.customer)
    messages = contract_problems(contract)
    aim_s, deadline_s = contract.objectives.first_token_s, contract.default_deadline_s
    if aim_s > deadline_s:
        messages.append(
            f"first_token_s {aim_s:g} of the objectives is above default_deadline_s {deadline_s:g}"
        )
    found = [Finding(FindingCode.CONTRADICTION, where, message) for message in messages]
    if contract.outage_cap_micros and contract.on_budget_unknown != "cap":
        message = f"outage_cap_micros is set, but on_budget_unknown is {contract.on_budget_unknown}"
        found.append(Finding(FindingCode.UNUSED, where, message))
    return found


def _key_findings(contract: Contract, planned: FleetConfig) -> list[Finding]:
    where = _where(contract.customer)
    if not contract.key_digests:
        return [Finding(FindingCode.NO_KEY, where, "key_digests is empty")]
    found = _repeated(where, "key_digests", contract.key_digests)
    for other in planned.contract_by_customer.values():
        if other.customer == contract.customer:
            continue
        for digest in sorted(set(contract.key_digests) & set(other.key_digests)):
            message = f"key {digest[:DIGEST_DIGITS]}... is one of customer {other.customer}, too"
            found.append(Finding(FindingCode.SHARED_KEY, where, message))
    return found


def _access_findings(contract: Contract, planned: FleetConfig) -> list[Finding]:
    """Return the entries of `allowed` that no version serves or that others cover."""
    where = _where(contract.customer)
    found = _repeated(where, "allowed", contract.allowed)
    found += _repeated(where, "services", contract.services)
    served = planned.allowed_versions(contract)
    if contract.allowed and not served:
        message = "no version that is declared and not withdrawn serves any entry of allowed"
        return [*found, Finding(FindingCode.NOT_SERVED, where, message)]
    for name in sorted(set(contract.allowed)):
        model, is_version, _ = name.partition("@")
        if is_version and model in contract.allowed:
            message = f"allowed names {name} beside all versions of {model}"
            found.append(Finding(FindingCode.COVERED, where, message))
        if not any(name in (version.model, version.version_id) for version in served):
            message = f"allowed names {name}, which no version serves"
            found.append(Finding(FindingCode.NEVER_MATCHES, where, message))
    model = contract.default_model
    if model and not any(version.model == model for version in served):
        message = f"no version of default_model {model} that it may use serves"
        found.append(Finding(FindingCode.NOT_SERVED, where, message))
    return found


def _budget_findings(contract: Contract, planned: FleetConfig) -> list[Finding]:
    where = _where(contract.customer)
    if not contract.allowed:
        return []
    if not contract.budget_micros:
        return [Finding(FindingCode.ZERO_LIMIT, where, "budget_micros is 0")]
    costs = [_answer_cost(contract, version) for version in planned.allowed_versions(contract)]
    cheapest = min(costs, default=0)
    if cheapest > contract.budget_micros:
        message = (
            f"{contract.max_output_tokens} tokens of the cheapest version cost {cheapest} micros,"
            f" more than budget_micros {contract.budget_micros}"
        )
        return [Finding(FindingCode.BUDGET_TOO_SMALL, where, message)]
    return []


def _answer_cost(contract: Contract, version: Version) -> int:
    return cost_micros(version, 0, contract.max_output_tokens)


def _removals(before: Contract, after: Contract, in_force: FleetConfig) -> list[Finding]:
    """Return what the customer may use now and no longer afterwards."""
    versions = in_force.version_by_id.values()
    served = {v.version_id for v in in_force.allowed_versions(before)}
    kept = {v.version_id for v in versions if after.allows(v.model, v.version_id)}
    keys = sorted(set(before.key_digests) - set(after.key_digests))
    lost = [
        *(f"key {digest[:DIGEST_DIGITS]}..." for digest in keys),
        *(f"version {version_id}" for version_id in sorted(served - kept)),
        *(f"service {name}" for name in sorted(set(before.services) - set(after.services))),
    ]
    where = _where(after.customer)
    return [Finding(FindingCode.ACCESS_REMOVED, where, f"{what} is taken away") for what in lost]


def _repeated(where: str, key: str, words: Iterable[str]) -> list[Finding]:
    repeated = sorted(word for word, count in Counter(words).items() if count > 1)
    names = [word[:DIGEST_DIGITS] + "..." if key == "key_digests" else word for word in repeated]
    return [
        Finding(FindingCode.COVERED, where, f"{key} names {name} more than once") for name in names
    ]


def _where(customer: str) -> str:
    return f"contract {customer}"
