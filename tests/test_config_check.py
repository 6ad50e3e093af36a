"""The commands that check a configuration before it is sent; they ask no daemon here."""

from pathlib import Path

import pytest
from click.testing import Result
from msgspec.json import decode, encode
from typer.testing import CliRunner

from comfreyhatch.cli.exits import Exit
from comfreyhatch.cli.main import app
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import Version
from tests.platform_harness import API_KEY, config

DIGEST = "aa" * 32
CONTRACT = Contract("trackline", (DIGEST,), ("coach",), default_model="coach")
IN_FORCE = FleetConfig(7, {"trackline": CONTRACT}, {"coach@1": Version("coach", "1", 100, 400)})


def run(*words: object) -> Result:
    return CliRunner().invoke(app, [str(word) for word in words])


@pytest.fixture
def in_force(tmp_path: Path) -> Path:
    path = tmp_path / "in-force.json"
    path.write_bytes(encode(IN_FORCE))
    return path


def contract_file(folder: Path, **changes: str) -> Path:
    keys = {
        "customer": "trackline",
        "key_digests": DIGEST,
        "allowed": "coach",
        "default_model": "coach",
        **changes,
    }
    path = folder / f"contract-{len(list(folder.iterdir()))}.ini"
    path.write_text("[contract]\n" + "".join(f"{key} = {keys[key]}\n" for key in keys))
    return path


def test_unchanged_contract_is_clean(tmp_path: Path, in_force: Path) -> None:
    result = run("config", "check", contract_file(tmp_path), "--in-force", in_force)
    assert result.exit_code == Exit.OK
    assert result.stdout == "0 errors, 0 warnings; 0 lines differ from 7 in force\n"


def test_differences_alone_are_no_findings(tmp_path: Path, in_force: Path) -> None:
    file = contract_file(tmp_path, max_priority="9")
    result = run("config", "check", file, "--in-force", in_force)
    assert result.exit_code == Exit.OK
    assert result.stdout.splitlines() == [
        "- contract_by_customer.trackline.max_priority = 5",
        "+ contract_by_customer.trackline.max_priority = 9",
        "0 errors, 0 warnings; 2 lines differ from 7 in force",
    ]


def test_warnings_have_a_status_of_their_own(tmp_path: Path, in_force: Path) -> None:
    file = contract_file(tmp_path, allowed="coach judge")
    result = run("config", "check", file, "--in-force", in_force)
    assert result.exit_code == Exit.WARNINGS == 10
    line = "allowed names judge, which no version serves"
    assert f"warning 6101 NEVER_MATCHES contract trackline: {line}\n" in result.stdout


def test_errors_of_all_files_are_printed(tmp_path: Path, in_force: Path) -> None:
    files = [
        contract_file(tmp_path, customer="keepers"),
        contract_file(tmp_path, budget_micros="5", outage_cap_micros="9"),
        contract_file(tmp_path, customer="late", key_digests="bb" * 32, max_priority="10"),
        tmp_path / "missing.ini",
    ]
    result = run("config", "check", *files, "--in-force", in_force, "--json")
    assert result.exit_code == Exit.INVALID
    report = decode(result.stdout)
    found = {(finding["code"], finding["where"]) for finding in report["findings"]}
    assert {
        (6001, f"file {files[2]}"),
        (6001, f"file {files[3]}"),
        (6003, "contract keepers"),
        (6004, "contract trackline"),
    } <= found
    assert report["errors"] == sum(finding["severity"] == "error" for finding in report["findings"])
    assert report["in_force"] == 7 and report["differences"]


@pytest.mark.parametrize("text", ["{", "[]", '{"revision": "x"}', None])
def test_check_without_a_readable_version_in_force_fails(tmp_path: Path, text: str | None) -> None:
    # A check against nothing would call each contract new, and clean.
    path = tmp_path / "other.json"
    if text is not None:
        path.write_text(text)
    result = run("config", "check", contract_file(tmp_path), "--in-force", path)
    assert result.exit_code == (Exit.INVALID if text else Exit.NOT_FOUND)
    assert str(path) in result.stderr


def test_check_without_a_daemon_or_file_fails(tmp_path: Path) -> None:
    assert run("config", "check", contract_file(tmp_path)).exit_code == Exit.INVALID


def document(folder: Path, version: int, **changes: object) -> Path:
    path = folder / f"document-{version}.json"
    path.write_bytes(encode({**config(version), **changes}))
    return path


def test_sound_document_is_clean(tmp_path: Path) -> None:
    old, new = document(tmp_path, 1), document(tmp_path, 2)
    result = run("check", "document", new, "--in-force", old)
    assert result.exit_code == Exit.OK
    assert result.stdout.splitlines() == [
        "- version = 1",
        "+ version = 2",
        "0 errors, 0 warnings; 2 lines differ from 1 in force",
    ]
    alone = run("check", "document", new)
    assert alone.stdout == "0 errors, 0 warnings; compared with nothing in force\n"


def test_document_that_takes_keys_away_is_a_warning(tmp_path: Path) -> None:
    old = document(tmp_path, 1)
    new = document(tmp_path, 2, tenants=[{"name": "club", "api_keys": ["another"], "priority": 1}])
    result = run("check", "document", new, "--in-force", old)
    assert result.exit_code == Exit.WARNINGS
    assert "warning 6105 ACCESS_REMOVED tenant club: key " in result.stdout
    assert API_KEY not in result.output and "another" not in result.output


def test_document_with_errors_is_told(tmp_path: Path) -> None:
    old = document(tmp_path, 2)
    result = run("check", "document", document(tmp_path, 1, services=[]), "--in-force", old)
    assert result.exit_code == Exit.INVALID
    assert "error 6006 UNKNOWN_SERVICE route pay: service 'desk' is not defined" in result.stdout
    assert "error 6008 NOT_NEWER version: " in result.stdout


def test_malformed_documents_are_told(tmp_path: Path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    result = run("check", "document", bad, "--in-force", document(tmp_path, 1))
    assert result.exit_code == Exit.INVALID and "error 6001 UNREADABLE document: " in result.stdout
    held = run("check", "document", document(tmp_path, 2), "--in-force", bad)
    assert held.exit_code == Exit.INVALID and str(bad) in held.stderr
    assert run("check", "document", tmp_path / "none.json").exit_code == Exit.NOT_FOUND
