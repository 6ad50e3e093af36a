"""What log lines tell of a request."""

from pathlib import Path

from typer.testing import CliRunner

from comfreyhatch.cli.main import app
from comfreyhatch.porcelain.log_story import parse_line, story_lines, summary_lines

PLACED = (
    "  12.50 front-b-1 at=2026-01-01T00:00:02.000Z level=INFO logger=comfreyhatch.pool event=placed"
    " id=ab endpoint=e1 zone=a version=v1 delay_s=0.010 running=3 choices=4 list_age_s=0.2"
)
FAILED = (
    "at=2026-01-01T00:00:03.000Z level=INFO logger=comfreyhatch.streams event=attempt_failed id=ab"
    " endpoint=e1 code=3006 ran=unknown events=4 reason='the connection broke: closed'"
)
CUT = (
    "at=2026-01-01T00:00:04.000Z level=INFO logger=comfreyhatch.requests event=stream_cut id=ab"
    " route=r code=3005 took_s=2.000 pieces=4 reason='all endpoints of s7 are busy'"
)
OTHER = CUT.replace("id=ab", "id=cd").replace("s7", "s8")
LINES = [CUT, "not a log line", OTHER, FAILED, PLACED]


def test_story_is_in_order_of_time_and_of_one_request() -> None:
    story = story_lines(LINES, "ab")
    assert [line.split()[0][-7:-5] for line in story] == ["02", "03", "04"]
    assert "front-b-1: sent to e1" in story[0]
    assert "the connection broke: closed" in story[1]
    assert "cut with code 3005 after 2.000 s and 4 pieces" in story[2]


def test_unknown_id_is_told() -> None:
    assert story_lines(LINES, "zz") == ["no line has the id zz"]


def test_failures_are_grouped_by_cause() -> None:
    (line,) = summary_lines(LINES)
    assert line.split()[:4] == ["2", "stream_cut", "code", "3005:"]
    assert "all endpoints of … are busy" in line and "ab" in line


def test_event_without_a_sentence_shows_its_pairs() -> None:
    line = parse_line("at=x level=INFO event=rollout_step service=s state=running")
    assert line and line.text() == "rollout_step: service=s state=running"


def test_lines_of_other_text() -> None:
    assert parse_line("hello") is None
    assert parse_line("at=noon without an event") is None


def test_commands(tmp_path: Path) -> None:
    path = tmp_path / "front.log"
    path.write_text("\n".join(LINES))
    told = CliRunner().invoke(app, ["logs", "explain", "ab", str(path)])
    assert told.exit_code == 0 and "sent to e1" in told.output
    piped = CliRunner().invoke(app, ["logs", "summary"], input="\n".join(LINES))
    assert "stream_cut code 3005" in piped.output
    missing = CliRunner().invoke(app, ["logs", "summary", str(tmp_path / "none")])
    assert missing.exit_code == 1 and "cannot be read" in missing.output
