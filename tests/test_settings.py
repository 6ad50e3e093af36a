"""Settings files: what is read, and what is refused with all errors at once."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.settings import (
    FleetSettings,
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    fleet_key,
    load_settings,
    settings_example,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import SettingsError

REQUIRED = "[instance]\nid = d-1\nzone = z1\n"
BAD = """
[instance]
id = has.dot
colour = blue
[platform]
port = 70000
timeout_s = 0
[peers]
seeds = 10.0.0.1:99, nowhere
[logs]
format = xml
[fleet]
key = s3cret
[limits]
body_bytes = 0
[extra]
"""
ERRORS = (
    "[extra]: unknown section; allowed are instance, platform,",
    "[instance] id = has.dot: must be text, letters, digits, - and _",
    "[instance] colour = blue: unknown key; allowed are id, zone, region",
    "[instance] zone = (missing): required;",
    "[platform] port = 70000: must be an integer from 0 to 65535",
    "[platform] timeout_s = 0: must be a number above 0 to 60",
    "[peers] seeds = 10.0.0.1:99, nowhere: must be words separated by spaces, each of the form",
    "[logs] format = xml: must be one of keyvalue, json",
    "[fleet] key = (hidden): unknown key; allowed are key_env, key_file",
    "[limits] body_bytes = 0: must be an integer",
)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "daemon.ini"


def errors_of(path: Path, text: str) -> list[str]:
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    return str(caught.value).splitlines()


def test_good_settings_are_read_with_defaults(path: Path) -> None:
    path.write_text(REQUIRED + "[peers]\nseeds = 10.0.0.1:7, 10.0.0.2:7\n[limits]\nbody_bytes=9\n")
    settings = load_settings(path)
    assert settings == Settings(
        InstanceSettings("d-1", "z1"),
        PlatformSettings(),
        peers=PeerSettings(seeds=("10.0.0.1:7", "10.0.0.2:7")),
        limits=HttpLimits(body_bytes=9),
    )
    assert settings.peers.seed_addresses == [Address("10.0.0.1", 7), Address("10.0.0.2", 7)]


def test_file_with_a_byte_order_mark(path: Path) -> None:
    path.write_text(REQUIRED, encoding="utf-8-sig")
    assert load_settings(path).instance.id == "d-1"


def test_all_errors_are_named_at_once(path: Path) -> None:
    errors = errors_of(path, BAD)
    assert len(errors) == len(ERRORS)
    for expected in ERRORS:
        assert any(error.startswith(f"{path}: {expected}") for error in errors), expected


def test_example_is_read_and_holds_the_defaults(path: Path) -> None:
    text = settings_example().replace("id =", "id = d-1").replace("zone =", "zone = z1")
    path.write_text(text.replace("; ", ""))
    assert load_settings(path) == Settings(InstanceSettings("d-1", "z1"), PlatformSettings())


@given(text=st.text(st.characters(exclude_categories=["Cs"]), max_size=60))
def test_no_text_crashes_the_reader(tmp_path: Path, text: str) -> None:
    path = tmp_path / "fuzz.ini"
    path.write_text(REQUIRED + text, encoding="utf-8")
    try:
        load_settings(path)
    except SettingsError as error:
        assert str(path) in str(error)


def test_fleet_key_comes_from_its_file_or_the_environment(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path.write_text("k" * 16 + "\n")
    monkeypatch.setenv("A_KEY", "e" * 16)
    assert fleet_key(FleetSettings("A_KEY", str(path))) == b"k" * 16
    assert fleet_key(FleetSettings("A_KEY")) == b"e" * 16


def test_missing_or_short_fleet_key_is_refused_without_showing_it(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("A_KEY", "s3cret")
    for settings in (FleetSettings("A_KEY"), FleetSettings("NO_KEY"), FleetSettings("", str(path))):
        with pytest.raises(SettingsError) as caught:
            fleet_key(settings)
        assert "s3cret" not in str(caught.value)
