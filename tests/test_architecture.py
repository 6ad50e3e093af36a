"""The layers keep apart: decisions see no adapter, no clock and no global randomness."""

import ast
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
