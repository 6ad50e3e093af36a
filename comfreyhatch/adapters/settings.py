"""Settings of the daemon, read from an INI file."""

import os
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field
from msgspec.structs import fields

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.ini import example, read_section, read_sections, reference
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.policy import PolicySettings
from comfreyhatch.errors import SettingsError

FLEET_KEY_LENGTH_BYTES = 16

Name = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$", description="letters, digits, - and _")
]
Host = Annotated[str, Meta(pattern=r"^[^\s\[\]]+$", description="an IP number or a host name")]
Port = Annotated[int, Meta(ge=0, le=65535)]
HostPort = Annotated[
    str, Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$", description="each of the form host:port")
]
Timeout = Annotated[float, Meta(gt=0, le=60)]


class InstanceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The instance itself.

    Attributes:
        id: Name of the instance, unique in the fleet.
        zone: Its availability zone.
        region: Its region.
    """

    id: Name
    zone: Name
    region: Name = "default"


class ListenerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where a listener is bound.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; 0 takes a free one.
    """

    host: Host = "127.0.0.1"
    port: Port = 0


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Listeners for other daemons, and where to find these.

    Attributes:
        host: Address that other daemons reach this one at.
        control_port: Port for control messages; 0 takes a free one.
        http_port: Port for forwarded requests; 0 takes a free one.
        seeds: Control addresses of daemons to join through.
    """

    host: Host = "127.0.0.1"
    control_port: Port = 0
    http_port: Port = 0
    seeds: tuple[HostPort, ...] = ()

    @property
    def seed_addresses(self) -> list[Address]:
        """Addresses of the seeds."""
        pairs = (seed.rpartition(":") for seed in self.seeds)
        return [Address(host, int(port)) for host, _, port in pairs]


class PlatformSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's service listens.

    Attributes:
        host: Address of the platform's service.
        port: Port of the platform's service.
        timeout_s: Time that the platform has for an answer, in seconds.
    """

    host: Host = "127.0.0.1"
    port: Port = 0
    timeout_s: Timeout = 1.0

    @property
    def address(self) -> Address:
        """Address of the platform's service."""
        return Address(self.host, self.port)


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the key that the daemons of the fleet share is found.

    Attributes:
        key_env: Environment variable that holds the key, if there is no key_file.
        key_file: File that holds the key.
        accepted_key_files: Files with other keys that are accepted while the key is changed.
    """

    key_env: str = "COMFREYHATCH_FLEET_KEY"
    key_file: str = ""
    accepted_key_files: tuple[str, ...] = ()


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The log on standard error.

    Attributes:
        format: One line of key=value pairs for each event, or one JSON object.
        level: Least level that is logged.
    """

    format: Literal["keyvalue", "json"] = "keyvalue"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ShutdownSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The planned stop on SIGTERM.

    Attributes:
        balancer_s: Time for the balancer to let go after the readiness check fails, in seconds.
        grace_s: Time for running requests to end after that, in seconds.
    """

    balancer_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    grace_s: Annotated[float, Meta(ge=0, le=3600)] = 60.0


class ResourceSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of the process, from which the limits on what it holds for clients are derived.

    Attributes:
        memory_mb: Memory that the process may use, in megabytes.
        max_fds: File descriptors that it may open; 0 for the limit of the process at its start.
    """

    memory_mb: Annotated[float, Meta(ge=100, le=1_000_000)] = 256.0
    max_fds: Annotated[int, Meta(ge=0, le=1_000_000_000)] = 0


class EndpointSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Calls to model engines and plain services.

    Attributes:
        orphan_hold_s: Time in which an endpoint ends the requests of a daemon that has ended, and
            within which the instance list shows a daemon that was announced, in seconds.
    """

    orphan_hold_s: Annotated[float, Meta(ge=0, le=600)] = 5.0


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings, by section."""

    instance: InstanceSettings
    platform: PlatformSettings
    callers: ListenerSettings = field(default_factory=ListenerSettings)
    operators: ListenerSettings = field(default_factory=ListenerSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    fleet: FleetSettings = field(default_factory=FleetSettings)
    endpoints: EndpointSettings = field(default_factory=EndpointSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    limits: HttpLimits = field(default_factory=HttpLimits)
    resources: ResourceSettings = field(default_factory=ResourceSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: If the file has errors; the message lists them all.
    """
    sections, errors = read_sections(path)
    if errors:
        raise SettingsError("\n".join(errors))
    kind_by_section = _kinds()
    allowed = ", ".join(kind_by_section)
    lines = [
        f"[{name}]: unknown section; allowed are {allowed}"
        for name in sections
        if name not in kind_by_section
    ]
    found: dict[str, Any] = {}
    for name, kind in kind_by_section.items():
        found[name], problems = read_section(name, sections.get(name, {}), kind)
        lines += [str(problem) for problem in problems]
    if lines:
        raise SettingsError("\n".join(f"{path}: {line}" for line in lines))
    return Settings(**found)


def settings_example() -> str:
    """Return a commented settings file."""
    return "\n".join(example(kind, name) for name, kind in _kinds().items())


def settings_reference() -> str:
    """Return the Markdown tables of the settings."""
    return "\n".join(reference(kind, name) for name, kind in _kinds().items())


def fleet_key(settings: FleetSettings) -> bytes:
    """Return the fleet's key, which signs.

    Raises:
        SettingsError: If neither the file nor the environment has a key of enough length.
    """
    if settings.key_file:
        return _read_key_file(settings.key_file)
    source = f"environment variable {settings.key_env}"
    return _checked_key(os.environ.get(settings.key_env, "").encode(), source)


def accepted_fleet_keys(settings: FleetSettings) -> tuple[bytes, ...]:
    """Return the other keys that are accepted.

    Raises:
        SettingsError: If a file cannot be read or its key is too short.
    """
    return tuple(_read_key_file(path) for path in settings.accepted_key_files)


def _read_key_file(path: str) -> bytes:
    try:
        return _checked_key(Path(path).read_bytes().strip(), path)
    except OSError as error:
        raise SettingsError(f"[fleet] key_file = {path}: {error.strerror}") from error


def _checked_key(key: bytes, source: str) -> bytes:
    if len(key) < FLEET_KEY_LENGTH_BYTES:
        raise SettingsError(
            f"[fleet] {source}: must hold a key of at least {FLEET_KEY_LENGTH_BYTES} bytes,"
            f" has {len(key)}"
        )
    return key


def _kinds() -> dict[str, type[Struct]]:
    return {info.name: info.type for info in fields(Settings)}
