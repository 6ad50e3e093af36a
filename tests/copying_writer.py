"""A server's side of a connection that sends copies of earlier answers."""

import asyncio
import re
from collections.abc import Callable
from random import Random

from msgspec import Struct

HEAD_START = b"HTTP/1.1 "
_ID = re.compile(rb"\r\nattempt-id: *([^\r]*)", re.IGNORECASE)
# Answers of a connection that may be copied later.
KEPT_ANSWERS = 8


class CopyOptions(Struct):
    """Which copies are sent.

    Attributes:
        refusals: Share of the requests before whose answers the copy of a refusal is sent, if their
            connection has carried one.
        successes: The same for copies of successes.
        own: Share of the requests whose own earlier answer is copied, if their connection has
            carried one to their id.
        nameless: Share of the copies without an id.
        early: Share of the copies that are sent as the request comes; others just before its
            answer.
        doubled: Share of the copies that are sent twice in a row.
        seed: Seed of what is drawn.
    """

    refusals: float = 0.0
    successes: float = 0.0
    own: float = 0.0
    nameless: float = 0.0
    early: float = 0.0
    doubled: float = 0.0
    seed: int = 0


class _Answer:
    """An answer that was sent, whole or in part."""

    def __init__(self, head: bytes) -> None:
        self.pieces = [head]

    @property
    def data(self) -> bytes:
        return b"".join(self.pieces)

    @property
    def id(self) -> bytes:
        return answer_id(self.pieces[0])

    @property
    def is_refusal(self) -> bool:
        return not self.pieces[0].startswith(HEAD_START + b"2")


class CopyingWriter(asyncio.StreamWriter):
    """Sends copies of the earlier answers of its connection before later ones."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
        options: CopyOptions,
        note: Callable[..., None],
    ) -> None:
        """Take a connection over.

        Args:
            writer: Its own writer.
            reader: Its reader.
            options: Which copies are sent.
            note: Logs a copy by its id, the id of the request that it comes before and its status.
        """
        transport = writer.transport
        protocol = transport.get_protocol()
        super().__init__(transport, protocol, reader, asyncio.get_running_loop())
        self._options = options
        self._note = note
        # By the peer's port, so that connections of one endpoint draw different ones.
        self._rng = Random(f"{options.seed} {transport.get_extra_info('peername')[1]}")
        self._answers: list[_Answer] = []
        self._copied_for = b""

    def request_came(self, request_id: bytes) -> None:
        """Send a copy, if one is drawn, before the request is run."""
        self._copied_for = b""
        if self._rng.random() < self._options.early:
            self._copied_for = request_id
            self._send_copy(request_id)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes of an answer; a copy of an earlier one before its first ones."""
        sent = bytes(data)
        if sent.startswith(HEAD_START):
            if answer_id(sent) != self._copied_for:
                self._send_copy(answer_id(sent))
            self._answers = [*self._answers[1 - KEPT_ANSWERS :], _Answer(sent)]
        elif self._answers:
            self._answers[-1].pieces.append(sent)
        super().write(data)

    def _send_copy(self, request_id: bytes) -> None:
        answer = self._drawn(request_id)
        if answer is None:
            return
        nameless = self._rng.random() < self._options.nameless
        data = _ID.sub(b"", answer.data, count=1) if nameless else answer.data
        copies = 2 if self._rng.random() < self._options.doubled else 1
        super().write(data * copies)
        self._note(
            id=answer_id(data).decode(),
            before=request_id.decode(),
            status=int(data.split(b" ", 2)[1]),
        )

    def _drawn(self, request_id: bytes) -> _Answer | None:
        """Return the earlier answer of which a copy is sent, if one is."""
        own = next((a for a in self._answers if a.id == request_id), None)
        if own and self._rng.random() < self._options.own:
            return own
        refusal = self._rng.random() < self._options.refusals
        success = self._rng.random() < self._options.successes
        chosen = [a for a in self._answers if (refusal if a.is_refusal else success)]
        return self._rng.choice(chosen) if chosen else None


def answer_id(head: bytes) -> bytes:
    """Return the id that an answer repeats; nothing if it has none."""
    found = _ID.search(head)
    return found.group(1) if found else b""
