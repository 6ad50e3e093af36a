"""A contract as an INI file."""

from collections.abc import Callable
from pathlib import Path

from msgspec.structs import replace

from comfreyhatch.adapters.ini import example, read_section, read_sections, reference
from comfreyhatch.domain.contract import Contract, Objectives, contract_problems
from comfreyhatch.errors import ContractError

CONTRACT_SECTION = "contract"
OBJECTIVES_SECTION = "objectives"
NOT_IN_SECTION = ("objectives",)


def load_contract(path: Path) -> Contract:
    """Read and check a contract file.

    Raises:
        ContractError: If the file has errors; the message lists them all.
    """
    return _load(path, contract_problems)


def read_contract(path: Path) -> Contract:
    """Read a contract file whose clauses may contradict each other.

    Raises:
        ContractError: If the file has other errors; the message lists them all.
    """
    return _load(path, lambda contract: [])


def _load(path: Path, problems_of: Callable[[Contract], list[str]]) -> Contract:
    sections, errors = read_sections(path)
    if errors:
        raise ContractError("\n".join(errors))
    unknown = [name for name in sections if name not in (CONTRACT_SECTION, OBJECTIVES_SECTION)]
    contract, problems = read_section(
        CONTRACT_SECTION, sections.get(CONTRACT_SECTION, {}), Contract, NOT_IN_SECTION
    )
    objectives, more = read_section(
        OBJECTIVES_SECTION, sections.get(OBJECTIVES_SECTION, {}), Objectives
    )
    lines = [
        f"[{name}]: unknown section; allowed are {CONTRACT_SECTION}, {OBJECTIVES_SECTION}"
        for name in unknown
    ]
    lines += [str(problem) for problem in problems + more]
    if contract:
        lines += [f"[{CONTRACT_SECTION}] {text}" for text in problems_of(contract)]
    if lines or contract is None or objectives is None:
        raise ContractError("\n".join(f"{path}: {line}" for line in lines))
    return replace(contract, objectives=objectives)


def contract_example() -> str:
    """Return a commented contract file."""
    contract = example(Contract, CONTRACT_SECTION, NOT_IN_SECTION)
    return contract + "\n" + example(Objectives, OBJECTIVES_SECTION)


def contract_reference() -> str:
    """Return the Markdown tables of a contract file."""
    contract = reference(Contract, CONTRACT_SECTION, NOT_IN_SECTION)
    return contract + "\n" + reference(Objectives, OBJECTIVES_SECTION)
