"""The layers keep apart: decisions see no adapter, no clock and no global randomness."""

import ast
import re
from pathlib import Path

import pytest

import comfreyhatch

PACKAGE = Path(comfreyhatch.__file__).parent
FORBIDDEN_FROM_DECISIONS = ("asyncio", "time", "socket", "pynng", "comfreyhatch.adapters")
OUTER_LAYERS = ("comfreyhatch.daemon", "comfreyhatch.cli", "comfreyhatch.standins")


def imported_modules(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def violations(folder: str, forbidden: tuple[str, ...]) -> list[str]:
    return [
        f"{path.name} imports {name}"
        for path in sorted((PACKAGE / folder).glob("*.py"))
        for name in imported_modules(path)
        if any(name == bad or name.startswith(bad + ".") for bad in forbidden)
    ]


@pytest.mark.parametrize("folder", ["decisions", "domain"])
def test_inner_layers_do_no_input_or_output(folder: str) -> None:
    assert violations(folder, FORBIDDEN_FROM_DECISIONS + OUTER_LAYERS) == []


@pytest.mark.parametrize("folder", ["ports", "adapters"])
def test_ports_and_adapters_do_not_import_outer_layers(folder: str) -> None:
    assert violations(folder, OUTER_LAYERS) == []


def test_decisions_use_no_global_randomness() -> None:
    allowed = {"random.Random", "random"}
    for path in (PACKAGE / "decisions").glob("*.py"):
        names = {name for name in imported_modules(path) if name.startswith("random")}
        assert names <= allowed, path.name
        assert "random.random(" not in path.read_text(), path.name


PLATFORM_WORDS = (
    "attempt-id",
    "server-stamp",
    "not-executed",
    "expect-instance",
    "token-counts",
    "rows-tx",
    "store-era",
    "rows-feed",
    "expected_rev",
    "api_keys",
    "cold_left_ms",
    "retry_budget_ratio",
)
MAY_IMPORT_PLATFORM = ("platform", "cli")


def test_words_of_the_platform_stay_in_its_folder() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}: {word}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] != "platform"
        for word in PLATFORM_WORDS
        if re.search(rf"\b{word}\b", path.read_text().lower())
    ]
    assert found == []


def test_only_its_entry_and_the_command_line_know_the_platform() -> None:
    found = [
        str(path.relative_to(PACKAGE))
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] not in MAY_IMPORT_PLATFORM
        and any(n.startswith("comfreyhatch.platform") for n in imported_modules(path))
    ]
    assert found == []


def test_exchange_does_not_import_the_other_path_of_requests() -> None:
    assert violations("exchange", OUTER_LAYERS) == []
