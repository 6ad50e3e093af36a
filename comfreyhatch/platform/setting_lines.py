"""Parses the lines of the platform's settings file.

`platform.start` imports this module before it listens, so it imports little itself.
"""

import os

SETTINGS_VARIABLE = "COMFREYHATCH_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/comfreyhatch/local.conf"
CALLERS_ADDRESS_KEY = "bind.front"


def settings_path() -> str:
    """Return the path of the settings file: $COMFREYHATCH_SETTINGS or the default."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)


def parse_setting_lines(text: str) -> dict[str, str]:
    """Return the values of lines of the form a.b=value, by key; other lines are ignored."""
    lines = [line.strip() for line in text.splitlines()]
    pairs = [line.partition("=") for line in lines if "=" in line and not line.startswith("#")]
    return {key.strip(): value.strip() for key, _, value in pairs}
