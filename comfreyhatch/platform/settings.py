"""Reads the settings file that the platform provides on each instance."""

from math import isfinite
from pathlib import Path

from comfreyhatch.domain.deployment import Bounds, Deployment
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import SettingsError
from comfreyhatch.platform.setting_lines import CALLERS_ADDRESS_KEY, parse_setting_lines

MS_PER_S = 1000.0
DEFAULT_HEARTBEAT_MS = 1000.0
DEFAULT_MEMORY_MB = 256.0
DEFAULT_MAX_FDS = 1024
# Item of `contracts` by which endpoints crash when their requests exceed their memory.
PRESSURE_CONTRACT = "pressure"

_KEY_AND_FACTOR_BY_FIELD = {
    # Field of Bounds: (key in the file below "bounds.", factor from its unit to the field's unit)
    "contact_s": ("contact_ms", 1 / MS_PER_S),
    "drain_s": ("drain_ms", 1 / MS_PER_S),
    "grace_s": ("grace_s", 1.0),
    "config_s": ("config_apply_ms", 1 / MS_PER_S),
    "retry_ratio": ("retry_budget_ratio", 1.0),
    "retry_slack": ("retry_slack", 1.0),
    "retry_window_s": ("budget_window_s", 1.0),
    "expose_share": ("expose_share", 1.0),
    "expose_slack": ("expose_slack", 1.0),
    "rollback_s": ("rollback_ms", 1 / MS_PER_S),
    "cold_over": ("cold_over", 1.0),
    "cold_slack": ("cold_slack", 1.0),
    "session_s": ("session_s", 1.0),
    "prefix_life_s": ("again_s", 1.0),
}


class _SettingsReader:
    """Converts values of a settings file to their types and collects the errors.

    Attributes:
        errors: One message for each missing or malformed value.
    """

    def __init__(self, path: str, value_by_key: dict[str, str]) -> None:
        self.errors: list[str] = []
        self._path = path
        self._value_by_key = value_by_key

    def text(self, key: str) -> str:
        value = self._value_by_key.get(key, "")
        if not value:
            self._add_error(key, value, "a value")
        return value

    def number(self, key: str, default: float) -> float:
        value = self._value_by_key.get(key, "")
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if number >= 0 and isfinite(number):
            return number
        self._add_error(key, value, "a number, 0 or more")
        return default

    def address(self, key: str) -> Address:
        return self._address(key, self.text(key)) or Address("", 0)

    def optional_address(self, key: str) -> Address | None:
        value = self._value_by_key.get(key, "")
        return self._address(key, value) if value else None

    def addresses(self, key: str) -> tuple[Address, ...]:
        values = [v for v in self._value_by_key.get(key, "").split(",") if v]
        found = [self._address(key, value) for value in values]
        return tuple(address for address in found if address)

    def port_of_range(self, host_key: str, range_key: str) -> Address | None:
        """Return a host with the first port of a range; None if either is not set."""
        host, ports = self._value_by_key.get(host_key, ""), self._value_by_key.get(range_key, "")
        if not host or not ports:
            return None
        return self._address(range_key, f"{host}:{ports.partition(',')[0]}")

    def suffixes(self, prefix: str) -> tuple[str, ...]:
        """Return the rest of each key that starts with a prefix."""
        return tuple(k.removeprefix(prefix) for k in self._value_by_key if k.startswith(prefix))

    def _address(self, key: str, value: str) -> Address | None:
        host, _, port = value.strip().rpartition(":")
        if host and port.isdecimal() and int(port) <= 65535:
            return Address(host, int(port))
        self._add_error(key, value, "HOST:PORT")
        return None

    def _add_error(self, key: str, value: str, allowed: str) -> None:
        self.errors.append(f"{self._path}: {key} is {value!r}; allowed is {allowed}")


def load_deployment(path: Path) -> Deployment:
    """Read a settings file.

    Raises:
        SettingsError: If the file cannot be read or has errors; the message lists them all.
    """
    try:
        text = path.read_text(encoding="utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_deployment(text, str(path))


def parse_deployment(text: str, path: str = "settings") -> Deployment:
    """Parse settings in lines of the form a.b=value; unknown keys are ignored.

    Args:
        text: Content of the file.
        path: Path of the file for error messages.

    Raises:
        SettingsError: If values are missing or malformed; the message lists them all.
    """
    value_by_key = parse_setting_lines(text)
    reader = _SettingsReader(path, value_by_key)
    deployment = Deployment(
        instance=reader.text("node_name"),
        zone=reader.text("zone"),
        zones=reader.suffixes("zones."),
        region=value_by_key.get("region", ""),
        callers=reader.address(CALLERS_ADDRESS_KEY),
        readiness=reader.address("bind.ready"),
        control=reader.optional_address("bind.control"),
        seeds=reader.addresses("seeds"),
        store=reader.address("platform.address"),
        heartbeat_s=reader.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS) / MS_PER_S,
        memory_mb=reader.number("limits.memory_mb", DEFAULT_MEMORY_MB),
        max_fds=int(reader.number("limits.max_fds", DEFAULT_MAX_FDS)),
        bounds=_bounds(reader),
        link_mbps=reader.number("limits.link_mbps", 0.0),
        relay=reader.port_of_range("ip", "port_range"),
        endpoints_crash_out_of_memory=PRESSURE_CONTRACT in _items(value_by_key, "contracts"),
        source_connections=int(reader.number("limits.source_connections", 0)),
    )
    if reader.errors:
        raise SettingsError("\n".join(reader.errors))
    return deployment


def _items(value_by_key: dict[str, str], key: str) -> list[str]:
    """Return the items of a comma-separated value."""
    return [item.strip() for item in value_by_key.get(key, "").split(",")]


def _bounds(reader: _SettingsReader) -> Bounds:
    """Read the limits; those that the file does not set keep their defaults."""
    defaults = Bounds()
    values = {
        field: reader.number(f"bounds.{key}", getattr(defaults, field) / factor) * factor
        for field, (key, factor) in _KEY_AND_FACTOR_BY_FIELD.items()
    }
    return Bounds(**values)
