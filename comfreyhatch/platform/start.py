"""Entry point of the daemon on the users' platform; listens before it imports the daemon.

Callers whose connections are closed by a restart reconnect at once, while the new process still
imports its modules. With an early listener these connections wait in its backlog instead of being
refused.
"""

import socket

from comfreyhatch.platform.held_signals import hold_signals
from comfreyhatch.platform.setting_lines import (
    CALLERS_ADDRESS_KEY,
    parse_setting_lines,
    settings_path,
)

LISTEN_BACKLOG = 1024


def open_caller_listener(path: str) -> socket.socket | None:
    """Listen on the callers' address of a settings file.

    Returns:
        The listening socket; None on any error, which the daemon reports when it reads its settings
        and listens itself.
    """
    try:
        with open(path, encoding="utf-8-sig") as file:
            address = parse_setting_lines(file.read()).get(CALLERS_ADDRESS_KEY, "")
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except (OSError, UnicodeDecodeError):
        return None
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError, OverflowError):
        listener.close()
        return None
    return listener


def main() -> None:
    """Listen for callers, then import and run the daemon."""
    hold_signals()
    listener = open_caller_listener(settings_path())
    # This import takes most of the start-up time, so it comes after listening.
    from comfreyhatch.platform.main import main as run_daemon

    run_daemon(listener)


if __name__ == "__main__":
    main()
