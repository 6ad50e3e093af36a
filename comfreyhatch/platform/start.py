"""Entry of the daemon on the users' platform: listens before the rest of the program is loaded.

Callers whose connections end with a process come back at once, while it still loads after its
restart. Their connections wait in the listener's backlog then, instead of being refused.
"""

import socket

from comfreyhatch.platform.setting_lines import CALLERS_KEY, parse_setting_lines, settings_path

BACKLOG = 1024


def open_caller_listener(path: str) -> socket.socket | None:
    """Return a socket that listens on the callers' address of a settings file.

    Returns:
        None if that cannot be done; the daemon checks its settings itself and tells what is wrong.
    """
    try:
        with open(path, encoding="utf-8-sig") as file:
            address = parse_setting_lines(file.read()).get(CALLERS_KEY, "")
        host, _, port = address.rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except (OSError, UnicodeDecodeError):
        return None
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError, OverflowError):
        listener.close()
        return None
    return listener


def main() -> None:
    """Listen, load the daemon and run it."""
    listener = open_caller_listener(settings_path())
    # Loading the rest takes most of a start.
    from comfreyhatch.platform.main import main as run_daemon

    run_daemon(listener)


if __name__ == "__main__":
    main()
