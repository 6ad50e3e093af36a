"""Settings of the daemon, read from an INI file."""

import os
from configparser import ConfigParser
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field

from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import SettingsError


class InstanceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The instance itself: its name (without dots), availability zone and region."""

    id: str
    zone: str
    region: str = "default"


class ListenerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where a listener is bound; port 0 takes a free one."""

    host: str = "127.0.0.1"
    port: int = 0


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Listeners for other daemons and addresses to find them, as "host:port host:port"."""

    host: str = "127.0.0.1"
    control_port: int = 0
    http_port: int = 0
    seeds: str = ""


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's service listens."""

    host: str = "127.0.0.1"
    port: int = 0
    timeout_s: float = 1.0

    @property
    def address(self) -> Address:
        """Address of the platform's service."""
        return Address(self.host, self.port)


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The fleet's key: the environment variable or the file that holds it."""

    key_env: str = "COMFREYHATCH_FLEET_KEY"
    key_file: str = ""


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Format (keyvalue or json) and level of the log."""

    format: str = "keyvalue"
    level: str = "info"


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings, by section."""

    instance: InstanceSettings
    platform: PlatformSettings
    callers: ListenerSettings = field(default_factory=ListenerSettings)
    operators: ListenerSettings = field(default_factory=ListenerSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    fleet: FleetSettings = field(default_factory=FleetSettings)
    logs: LogSettings = field(default_factory=LogSettings)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: If the file cannot be read or has errors.
    """
    parser = ConfigParser(interpolation=None)
    if not parser.read(path):
        raise SettingsError(f"{path}: cannot be read")
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return convert(sections, Settings, strict=False)
    except ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error


def fleet_key(settings: FleetSettings) -> bytes:
    """Return the fleet's key.

    Raises:
        SettingsError: If neither the file nor the environment has one.
    """
    if settings.key_file:
        return Path(settings.key_file).read_bytes().strip()
    key = os.environ.get(settings.key_env, "")
    if not key:
        raise SettingsError(f"the environment variable {settings.key_env} holds no fleet key")
    return key.encode()
