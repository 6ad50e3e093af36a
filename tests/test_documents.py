"""Pages that are made from the code are the committed ones."""

from pathlib import Path

import pytest

from comfreyhatch.cli.documents import codes_page, configuration_page
from comfreyhatch.cli.exits import MEANING_BY_EXIT, Exit
from comfreyhatch.codes import ENTRY_BY_CODE, ResultCode

DOCS = Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize(
    ("name", "page"),
    [("CONFIGURATION.md", configuration_page), ("RESULT-CODES.md", codes_page)],
)
def test_committed_page_is_the_one_made_from_the_code(name: str, page: object) -> None:
    made = page()  # type: ignore[operator]
    assert (DOCS / name).read_text(encoding="utf-8") == made, "run `make docs`"


def test_every_code_and_exit_status_has_a_meaning() -> None:
    assert set(ENTRY_BY_CODE) == set(ResultCode)
    assert set(MEANING_BY_EXIT) == set(Exit)
