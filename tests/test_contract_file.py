"""Contract files: what is read, and what is refused with all errors at once."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.adapters.contract_file import contract_example, load_contract
from comfreyhatch.domain.contract import Contract, Objectives
from comfreyhatch.errors import ContractError

DIGEST = "ab" * 32
GOOD = f"""
[contract]
customer = trackline
key_digests = {DIGEST}
allowed = coach-large, coach-small@2
default_model = coach-small
may_be_critical = yes
budget_micros = 5
[objectives]
exposure = 0.5
"""
BAD = """
[contract]
customer = Bad Name
allowed = coach-large
max_output_tokens = 0
quality_target = nan
token = s3cret
key_digests = s3cret
may_be_critical = perhaps
[objectives]
exposure = 2
[other]
"""


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "contract.ini"


def errors_of(path: Path, text: str) -> list[str]:
    path.write_text(text)
    with pytest.raises(ContractError) as caught:
        load_contract(path)
    return str(caught.value).splitlines()


def test_good_contract_is_read(path: Path) -> None:
    path.write_text(GOOD.replace("yes", "true"))
    assert load_contract(path) == Contract(
        customer="trackline",
        key_digests=(DIGEST,),
        allowed=("coach-large", "coach-small@2"),
        default_model="coach-small",
        may_be_critical=True,
        budget_micros=5,
        objectives=Objectives(exposure=0.5),
    )


def test_all_errors_are_named_at_once(path: Path) -> None:
    errors = errors_of(path, BAD)
    assert all(error.startswith(f"{path}: [") for error in errors)
    named = [error.partition("] ")[2].partition(" = ")[0] for error in errors if "] " in error]
    assert sorted(named) == [
        "customer",
        "exposure",
        "key_digests",
        "max_output_tokens",
        "may_be_critical",
        "quality_target",
        "token",
    ]
    assert any("[other]: unknown section" in error for error in errors)
    assert any("may_be_critical = perhaps: must be true or false" in error for error in errors)
    assert "s3cret" not in "".join(errors)


@pytest.mark.parametrize(
    ("clauses", "error"),
    [
        ("", "customer may use nothing"),
        (
            "allowed = a\ndefault_model = b",
            "default_model b is not the model of any entry in allowed",
        ),
        ("allowed = a\non_budget_unknown = cap", "outage_cap_micros is 0"),
        ("allowed = a\nbudget_micros = 1\noutage_cap_micros = 2", "above budget_micros"),
    ],
)
def test_contradictions_are_refused(path: Path, clauses: str, error: str) -> None:
    (line,) = errors_of(path, f"[contract]\ncustomer = c\n{clauses}\n")
    assert error in line


@pytest.mark.parametrize("text", ["customer = c", "[contract]\n[contract]\n", "[contract\n"])
def test_what_is_no_ini_file_is_refused(path: Path, text: str) -> None:
    assert "is no INI file" in errors_of(path, text)[0]


def test_missing_file_is_refused(path: Path) -> None:
    with pytest.raises(ContractError, match="cannot be read"):
        load_contract(path)


@given(text=st.text(st.characters(exclude_categories=["Cs"]), max_size=60))
def test_no_text_crashes_the_reader(tmp_path: Path, text: str) -> None:
    path = tmp_path / "fuzz.ini"
    path.write_text(f"[contract]\ncustomer = c\n{text}", encoding="utf-8")
    try:
        assert load_contract(path).customer
    except ContractError as error:
        assert str(path) in str(error)


def test_example_is_a_contract_but_for_its_name(path: Path) -> None:
    text = contract_example().replace("customer =", "customer = c").replace("; ", "")
    path.write_text(text.replace("allowed =", "allowed = m"))
    assert load_contract(path) == Contract(customer="c", allowed=("m",))
