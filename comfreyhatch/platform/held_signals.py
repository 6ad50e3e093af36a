"""Signals that come before the daemon can handle them.

A new process listens before it has imported its modules. Ended by a signal then, it would reset the
connections that wait in its backlog.
"""

from signal import SIG_BLOCK, SIG_UNBLOCK, SIGHUP, SIGTERM, pthread_sigmask

HELD_SIGNALS = (SIGTERM, SIGHUP)


def hold_signals() -> None:
    """Let signals wait until they are released."""
    pthread_sigmask(SIG_BLOCK, HELD_SIGNALS)


def release_signals() -> None:
    """Deliver the signals that have come, and later ones at once."""
    pthread_sigmask(SIG_UNBLOCK, HELD_SIGNALS)
