"""Parsing of the platform's settings file."""

from pathlib import Path

import pytest

from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import SettingsError
from comfreyhatch.platform.settings import load_deployment, parse_deployment

TEXT = """
node_name=front-a-1
zone=a
region=r
zones.a=r
zones.b=r
bind.front=10.1.0.40:8227
bind.ready=10.1.0.40:8220
bind.control=10.1.0.40:8229
seeds=10.1.0.40:8229,10.2.0.29:8229
heartbeat_ms=1200
limits.memory_mb=300
limits.max_fds=4100
limits.source_connections=20
bounds.drain_ms=2000
bounds.retry_budget_ratio=0.9
bounds.rollback_ms=5000
bounds.grace_s=8
platform.address=10.200.1.7:8223
something.new=1
"""


def test_values_are_converted_to_the_units_of_deployment() -> None:
    found = parse_deployment(TEXT)
    assert found.instance == "front-a-1"
    assert found.zones == ("a", "b")
    assert found.region == "r"
    assert found.callers == Address("10.1.0.40", 8227)
    assert found.seeds == (Address("10.1.0.40", 8229), Address("10.2.0.29", 8229))
    assert found.heartbeat_s == 1.2
    assert (found.bounds.drain_s, found.bounds.rollback_s, found.bounds.grace_s) == (2.0, 5.0, 8.0)
    assert found.bounds.retry_ratio == 0.9
    assert found.max_fds == 4100
    assert found.source_connections == 20


def test_control_address_and_seeds_are_optional() -> None:
    lines = [line for line in TEXT.splitlines() if "control" not in line and "seeds" not in line]
    found = parse_deployment("\n".join(lines))
    assert found.control is None and found.seeds == ()


def test_message_lists_all_errors_with_key_value_and_allowed_values() -> None:
    text = TEXT.replace("drain_ms=2000", "drain_ms=soon").replace("10.200.1.7:8223", "nowhere")
    with pytest.raises(SettingsError) as caught:
        parse_deployment(text, "local.conf")
    message = str(caught.value)
    assert "local.conf: bounds.drain_ms is 'soon'; allowed is a number" in message
    assert "local.conf: platform.address is 'nowhere'; allowed is HOST:PORT" in message


def test_missing_key_is_an_error() -> None:
    with pytest.raises(SettingsError, match="node_name is ''"):
        parse_deployment(TEXT.replace("node_name=front-a-1", ""))


def test_byte_order_mark_is_skipped(tmp_path: Path) -> None:
    path = tmp_path / "local.conf"
    path.write_text(TEXT.lstrip(), encoding="utf-8-sig")
    assert load_deployment(path).instance == "front-a-1"


def test_unreadable_file_is_a_settings_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="cannot be read"):
        load_deployment(tmp_path / "none")
    (tmp_path / "bytes").write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError, match="cannot be read"):
        load_deployment(tmp_path / "bytes")


@pytest.mark.parametrize("value", ["inf", "nan", "1e400"])
def test_number_that_is_not_finite_is_an_error(value: str) -> None:
    with pytest.raises(SettingsError, match="limits.max_fds is"):
        parse_deployment(TEXT.replace("max_fds=4100", f"max_fds={value}"))
