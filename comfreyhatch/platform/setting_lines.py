"""Lines of the platform's settings file; loads quickly, for the first moments of a start."""

import os

SETTINGS_VARIABLE = "COMFREYHATCH_SETTINGS"
DEFAULT_SETTINGS = "/etc/comfreyhatch/local.conf"
CALLERS_KEY = "bind.front"


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)


def parse_setting_lines(text: str) -> dict[str, str]:
    """Return the values of lines of the form a.b=value."""
    lines = [line.strip() for line in text.splitlines()]
    pairs = [line.partition("=") for line in lines if "=" in line and not line.startswith("#")]
    return {key.strip(): value.strip() for key, _, value in pairs}
