"""Signals that arrive while a program is loaded."""

import signal


def ignore_reload_requests() -> None:
    """Ignore SIGHUP, which would end the process, until a task waits for it.

    Nothing is missed: the settings are read after the program is loaded.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
