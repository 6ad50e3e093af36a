"""Closing of nng sockets."""

import gc
import weakref
from collections import deque

import pynng
import pytest

from comfreyhatch.adapters import nng_socket
from comfreyhatch.adapters.nng_socket import RETAINED_S, close_socket


def test_closed_socket_is_kept_for_late_callbacks(monkeypatch: pytest.MonkeyPatch) -> None:
    # nng's thread calls pynng back after the close; with the object freed, the process crashed.
    monkeypatch.setattr(nng_socket, "_retained", deque())
    socket = pynng.Req0()
    kept = weakref.ref(socket)
    close_socket(socket, 100.0)
    del socket
    gc.collect()
    assert kept() is not None
    close_socket(pynng.Req0(), 100.0 + RETAINED_S)
    assert kept() is not None
    close_socket(pynng.Req0(), 101.0 + RETAINED_S)
    gc.collect()
    assert kept() is None
