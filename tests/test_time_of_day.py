"""The time of day may jump and differs between instances; what depends on it."""

import ast
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

import comfreyhatch
from comfreyhatch.adapters.peer_frame import is_replayed, next_sequence
from comfreyhatch.decisions.replay import ReplayGuard
from comfreyhatch.domain.usage import new_run
from tests.platform_harness import config, running_harness

PACKAGE = Path(comfreyhatch.__file__).parent
JUMP_S = 60.0
NOW = 1_000_000.0
# Modules that read or format the time of day, and for what. None of the path on the platform.
READERS = {
    "adapters/logs.py": "time of a log line",
    "adapters/peer_bus.py": "age of frames; see below",
    "cli/report.py": "period of a report",
    "daemon/components.py": "name of an incarnation",
    "daemon/config/change_log.py": "time of a change, for operators",
    "daemon/daemon.py": "key of a segment",
    "daemon/history/burn_store.py": "key of a segment and hour of a count",
    "daemon/history/journal.py": "hour of a segment's key",
    "daemon/history/journal_copies.py": "hour of a segment's key",
    "daemon/history/record_finder.py": "period of a search",
    "daemon/limits/budgets.py": "period of a budget; see test_budgets",
    "daemon/members/zone_sync.py": "number of an incarnation",
    "daemon/operators.py": "period of a query",
    "daemon/requests/callers.py": "time in a request id; see test_record_finder",
    "daemon/requests/chat_format.py": "field created of an answer",
    "daemon/requests/forwarding.py": "age of forwarded requests; see below",
    "daemon/requests/sessions.py": "time of a pin; see test_sessions",
    "daemon/versions/quarantine.py": "hour of counts; see test_quarantine",
    "domain/journal.py": "hour of a segment's key",
    "porcelain/explain.py": "time of a record, for operators",
    "porcelain/history.py": "time of a change, for operators",
}


def names_of_time(tree: ast.Module) -> Iterator[str]:
    """Yield the names under which a module can read or format the time of day."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
            yield from (alias.name for alias in node.names if alias.name != "monotonic")
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in ("time", "datetime"))


def test_modules_that_read_the_time_of_day_are_known() -> None:
    found = {
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if any(names_of_time(ast.parse(path.read_text())))
    }
    inner = {path for path in found if path.startswith(("decisions", "exchange", "platform"))}
    assert (found - READERS.keys(), inner) == (set(), set())


@pytest.mark.parametrize("jump_s", [JUMP_S, -JUMP_S])
async def test_path_on_the_platform_does_not_depend_on_it(
    jump_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_harness() as harness:
        true_time = time.time
        for offset_s in (jump_s, 0.0):
            monkeypatch.setattr(time, "time", lambda offset_s=offset_s: true_time() + offset_s)
            for path in ("/pay/x", "/read/x"):
                assert (await harness.send(path)).status == 200
            assert (await harness.send_draft()).status == 200
            version = harness.daemon.view.catalog.version + 1
            harness.store.put("op", "config", config(version))
            await harness.wait_until(lambda v=version: harness.daemon.view.catalog.version == v)
            assert harness.daemon.ready()


def test_runs_of_a_process_have_different_numbers_at_the_same_time_of_day(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Batches of usage are inserted only if absent: a number that came twice lost usage.
    monkeypatch.setattr(time, "time", lambda: NOW)
    assert len({new_run() for _ in range(100)}) == 100


@pytest.mark.parametrize("jump_s", [JUMP_S, -JUMP_S])
def test_forwarded_requests_are_refused_while_the_time_of_day_differs(jump_s: float) -> None:
    # Refused as not run: the daemon that forwards takes another source.
    guard = ReplayGuard()
    assert not guard.accept(f"{int((NOW + jump_s) * 1000)}.a", NOW, 0.0)
    assert guard.accept(f"{int(NOW * 1000)}.b", NOW, 1.0)


def test_frames_of_a_daemon_whose_time_of_day_is_behind_are_dropped_meanwhile() -> None:
    behind = next_sequence(0, NOW - JUMP_S)
    assert is_replayed(behind, 0, NOW, max_age_s=30.0)
    ahead = next_sequence(behind, NOW + JUMP_S)
    back = next_sequence(ahead, NOW)
    assert not is_replayed(ahead, behind, NOW, max_age_s=30.0)
    assert not is_replayed(back, ahead, NOW, max_age_s=30.0)
