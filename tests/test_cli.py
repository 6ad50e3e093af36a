"""The command line against a fleet of stand-ins in a thread of its own."""

import asyncio
import re
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from threading import Thread
from typing import Any
from urllib.parse import quote, urlencode

import pytest
from click.testing import Result
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode
from typer.main import get_command
from typer.testing import CliRunner

from comfreyhatch.adapters.contract_file import contract_example
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.cli.exits import Exit
from comfreyhatch.cli.main import app
from comfreyhatch.domain.change import SetZone
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.porcelain.changes import commit_change, plan_change
from comfreyhatch.standins.fleet import FleetPlan, LocalFleet
from tests.calls import chat

DIGEST = "cd" * 32


class FleetThread:
    """A fleet on an event loop of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.fleet = LocalFleet(FleetPlan(zones=("a",), engine_zones=("a",)))

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(60)

    def chat(self, **body: object) -> str:
        async def send() -> str:
            client = HttpClient()
            callers = self.fleet.callers("entry-a0")
            reply = await chat(client, callers, **body)  # type: ignore[arg-type]
            client.close()
            return reply.header_by_name["x-request-id"]

        return str(self.run(send()))

    def close(self) -> None:
        self.run(self.fleet.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)


@pytest.fixture(scope="module")
def fleet() -> Iterator[FleetThread]:
    thread = FleetThread()
    thread.run(thread.fleet.start())
    yield thread
    thread.close()


Command = Callable[..., Result]


@pytest.fixture
def command(fleet: FleetThread) -> Command:
    address = str(fleet.fleet.addresses_by_id["entry-a0"].operators)

    def invoke(*words: str, answer: str = "", daemon: str = address) -> Result:
        environment = {"COMFREYHATCH_DAEMON": daemon, "COMFREYHATCH_AUTHOR": "tester"}
        return CliRunner().invoke(app, list(words), input=answer, env=environment)

    return invoke


def walk(command: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[tuple[str, ...], Any]]:
    if not hasattr(command, "commands"):
        yield path, command
        return
    for name, inner in command.commands.items():
        yield from walk(inner, (*path, name))


@pytest.mark.parametrize("path", [" ".join(path) for path, _ in walk(get_command(app))])
def test_help_of_every_command_has_an_example(path: str) -> None:
    result = CliRunner().invoke(app, [*path.split(), "--help"])
    assert result.exit_code == 0 and f"Example: comfreyhatch {path}" in result.output


@pytest.fixture
def contract(tmp_path: Path) -> Path:
    path = tmp_path / "contract.ini"
    text = contract_example().replace("customer =", "customer = keepers")
    text = text.replace("; allowed =", "allowed = coach-small")
    path.write_text(text.replace("; key_digests =", f"key_digests = {DIGEST}"))
    return path


def revision_of(command: Command) -> int:
    return int(decode(command("status", "--json").stdout)["revision"])


def test_contract_is_applied_shown_and_found_in_the_history(
    command: Command, contract: Path
) -> None:
    before = revision_of(command)
    dry = command("contract", "apply", str(contract), "--dry-run")
    assert (
        dry.exit_code == 0 and "+ contract_by_customer.keepers.allowed = coach-small" in dry.output
    )
    assert revision_of(command) == before
    applied = command("contract", "apply", str(contract), "--wait")
    assert applied.exit_code == 0, applied.output
    assert f"accepted at revision {before + 1}\nin force on 1 of 1 instances" in applied.output
    assert "nothing to change" in command("contract", "diff", str(contract)).output
    shown = decode(command("contract", "show", "keepers", "--json").stdout)
    assert shown[0]["key_digests"] == [DIGEST]
    assert f"key_digests = {DIGEST}" in command("contract", "show", "keepers").output
    history = command("contract", "history", "keepers").output
    assert re.search(rf"^{before + 1} .* tester +set-contract +keepers", history, re.M)
    assert "set-contract" in command("config", "history").output
    assert "keepers.allowed" in command("config", "diff", str(before)).output


def test_contracts_are_checked_against_what_a_daemon_has_in_force(
    command: Command, contract: Path, tmp_path: Path
) -> None:
    before = revision_of(command)
    asked = command("config", "check", str(contract))
    assert asked.exit_code in (Exit.OK, Exit.WARNINGS), asked.output
    in_force = tmp_path / "in-force.json"
    in_force.write_text(command("config", "show").stdout)
    read = command("config", "check", str(contract), "--in-force", str(in_force), daemon="")
    assert (read.exit_code, read.stdout) == (asked.exit_code, asked.stdout)
    assert f"differ from {before} in force" in asked.stdout
    assert revision_of(command) == before


@pytest.mark.parametrize(
    ("out", "back"),
    [
        (("zone", "out", "b"), ("zone", "in", "b")),
        (("endpoint", "out", "engine-x"), ("endpoint", "in", "engine-x")),
    ],
)
def test_dangerous_change_asks_and_changes_nothing_without_a_yes(
    command: Command, out: tuple[str, ...], back: tuple[str, ...]
) -> None:
    before = revision_of(command)
    refused = command(*out, answer="n\n")
    assert refused.exit_code == Exit.ABORTED and revision_of(command) == before
    assert command(*out, answer="y\n").exit_code == 0
    changed = decode(command(*back, "--yes", "--json").stdout)
    assert changed["applied"] and changed["revision"] == before + 2
    assert changed["confirmed"] == ["entry-a0"] and changed["diff"]


def test_version_is_declared_rolled_out_drained_and_withdrawn(command: Command) -> None:
    prices = ("--input-price", "1", "--output-price", "2", "--share", "0")
    assert command("version", "declare", "coach-new@1", *prices).exit_code == 0
    assert command("version", "declare", "coach-new", *prices).exit_code == Exit.USAGE
    assert command("version", "roll-out", "coach-new@1", "--share", "5").exit_code == 0
    assert command("version", "drain", "coach-new@1").exit_code == 0
    assert command("version", "withdraw", "coach-new@1", answer="n\n").exit_code == Exit.ABORTED
    assert command("version", "withdraw", "coach-new@1", "--yes").exit_code == 0
    again = command("version", "drain", "coach-new@1")
    assert again.exit_code == Exit.INVALID and "5003 CHANGE_INVALID" in again.stderr
    states = {v["version_id"]: v for v in decode(command("status", "--json").stdout)["versions"]}
    assert (states["coach-new@1"]["state"], states["coach-new@1"]["share"]) == ("withdrawn", 5)


def test_status_is_one_screen(command: Command) -> None:
    output = command("status").output
    for expected in ("seen by entry-a0", "ZONE", "engine-a0", "coach-large@1", "trackline"):
        assert expected in output
    assert re.search(r"^entry-a0 +a +\d+ +current +no$", output, re.M)


def test_request_is_explained_billed_and_reported(
    command: Command, fleet: FleetThread, tmp_path: Path
) -> None:
    request_id = fleet.chat()
    explained = command("explain", request_id).output
    for expected in (request_id, "customer   trackline", "attempt 1  engine-a0", "result     0 OK"):
        assert expected in explained
    record = decode(command("explain", request_id, "--json").stdout)
    grouped = command("explain", "--customer", "trackline", "--since", "1h").output
    assert "0 not answered" in grouped and request_id in grouped
    bills = decode(command("bills", "--json").stdout)
    assert bills[0]["requests"] >= 1 and bills[0]["cost_micros"] >= record["cost_micros"] > 0
    assert decode(command("bills", "--customer", "nobody", "--json").stdout) == []
    for suffix, start in ((".svg", b"<?xml"), (".png", b"\x89PNG")):
        plot = tmp_path / f"burn{suffix}"
        report = command("report", "burn", "--plot", str(plot))
        assert report.exit_code == 0 and "trackline  availability" in report.output
        assert plot.read_bytes().startswith(start)
    burns = decode(command("report", "burn", "--json").stdout)["objectives"]
    assert {"availability", "first-token"} <= {burn["objective"] for burn in burns}


@pytest.mark.parametrize(
    ("words", "status", "text"),
    [
        (("explain", "no-such"), Exit.NOT_FOUND, "1004 NOT_FOUND"),
        (("explain",), Exit.USAGE, "request id or --customer"),
        (("bills", "--since", "soon"), Exit.USAGE, "such as 30m"),
        (("report", "burn", "--plot", "x.gif"), Exit.USAGE, ".svg or .png"),
        (("contract", "show", "nobody"), Exit.NOT_FOUND, "no contract"),
        (("contract", "remove", "nobody"), Exit.INVALID, "5003"),
        (("version", "roll-out", "x@1"), Exit.INVALID, "not declared"),
        (("config", "diff", "1", "99999"), Exit.NOT_FOUND, "no revision 99999"),
        (("config", "status", "--revision", "99999"), Exit.NOT_IN_FORCE, ""),
    ],
)
def test_errors_are_clear_and_have_an_exit_status(
    command: Command, words: tuple[str, ...], status: Exit, text: str
) -> None:
    result = command(*words)
    assert result.exit_code == status
    assert text in re.sub(r"[│\s]+", " ", result.output)


def test_daemon_that_does_not_answer_is_passed_over(command: Command, fleet: FleetThread) -> None:
    dead = command("status", daemon="127.0.0.1:1 127.0.0.1:2")
    assert dead.exit_code == Exit.UNREACHABLE
    assert "daemon 127.0.0.1:1:" in dead.stderr and "daemon 127.0.0.1:2:" in dead.stderr
    assert command("status", daemon="nowhere").exit_code == Exit.INVALID
    assert command("status", daemon="").exit_code == Exit.INVALID
    address = str(fleet.fleet.addresses_by_id["entry-a0"].operators)
    assert command("status", daemon=f"127.0.0.1:1 {address}").exit_code == 0


def test_client_settings_name_daemons(command: Command, fleet: FleetThread, tmp_path: Path) -> None:
    path = tmp_path / "client.ini"
    path.write_text(f"[client]\ndaemons = {fleet.fleet.addresses_by_id['entry-a0'].operators}\n")
    assert command("status", "--client-settings", str(path), daemon="").exit_code == 0
    path.write_text("[client]\ndaemons = nowhere\n")
    result = command("status", "--client-settings", str(path), daemon="")
    assert (
        result.exit_code == Exit.INVALID and f"{path}: [client] daemons = nowhere" in result.output
    )


def test_unconfirmed_instance_is_named_and_fails_only_with_wait(
    command: Command, fleet: FleetThread, monkeypatch: pytest.MonkeyPatch
) -> None:
    reporter = fleet.fleet.daemon_by_id["entry-a0"].reporter
    real = reporter.in_force
    monkeypatch.setattr(reporter, "in_force", lambda revision: real(revision + 1))
    out = command("zone", "out", "c", "--yes", "--timeout", "0.3")
    assert out.exit_code == 0
    assert "in force on 0 of 1 instances; not confirmed: entry-a0" in out.output
    back = command("zone", "in", "c", "--wait", "--timeout", "0.3")
    assert back.exit_code == Exit.NOT_IN_FORCE and "4005 NOT_IN_FORCE" in back.stderr


def test_change_against_an_older_revision_is_a_conflict(
    command: Command, fleet: FleetThread
) -> None:
    async def race() -> str:
        client = HttpClient()
        operators = OperatorClient(client, [fleet.fleet.addresses_by_id["entry-a0"].operators])
        first = await plan_change(operators, SetZone("d", True))
        second = await plan_change(operators, SetZone("e", True))
        await commit_change(operators, first, "first")
        try:
            await commit_change(operators, second, "second")
        except ComfreyhatchError as error:
            return f"{error.code.name} {error}"
        return "no conflict"

    conflict = asyncio.run(race())
    assert conflict.startswith("CONFLICT") and "'first'" in conflict
    zones = decode(command("status", "--json").stdout)["zones_out"]
    assert "d" in zones and "e" not in zones


def test_checks_and_examples(command: Command, contract: Path, tmp_path: Path) -> None:
    assert "no errors; customer keepers" in command("check", "contract", str(contract)).output
    settings = tmp_path / "daemon.ini"
    settings.write_text(command("settings", "example").output)
    result = command("check", "settings", str(settings))
    assert result.exit_code == Exit.INVALID and "[instance] id = : must be" in result.output
    assert command("contract", "example").output == contract_example()
    key = decode(command("contract", "new-key", "--json").output)
    assert len(key["digest"]) == 64 and key["key"] not in key["digest"]


@pytest.mark.parametrize(
    "target",
    [
        "/bills?since=0",
        "/records?since=nan",
        "/burn/stored?from=-inf",
        "/burn/stored?to=1e300",
        "/config?revision=" + "9" * 5000,
    ],
)
def test_parameter_out_of_bounds_is_refused(fleet: FleetThread, target: str) -> None:
    async def status() -> int:
        client = HttpClient()
        address = fleet.fleet.addresses_by_id["entry-a0"].operators
        reply = await client.request(address, "GET", target, timeout_s=20)
        client.close()
        return reply.status

    assert fleet.run(status()) == 400


@settings(max_examples=60)
@given(
    path=st.sampled_from(
        ["/bills", "/records", "/burn/stored", "/config", "/config/history", "/config/in-force"]
    ),
    name=st.sampled_from(["since", "from", "to", "revision", "after", "limit"]),
    value=st.one_of(st.text(max_size=8), st.floats().map(str), st.integers().map(str)),
    body=st.binary(max_size=40),
)
def test_no_parameter_and_no_body_makes_the_operators_port_fail(
    fleet: FleetThread, path: str, name: str, value: str, body: bytes
) -> None:
    target = f"{path}?{urlencode({name: value.encode('utf-8', 'replace')})}"

    async def statuses() -> list[int]:
        client = HttpClient()
        address = fleet.fleet.addresses_by_id["entry-a0"].operators
        read = await client.request(address, "GET", target)
        change = await client.request(address, "POST", "/changes", body)
        explained = await client.request(address, "GET", "/explain/" + quote(value, safe=""))
        client.close()
        return [read.status, change.status, explained.status]

    read, change, explained = fleet.run(statuses())
    assert read in (200, 400, 404) and change == 400 and explained in (400, 404)
