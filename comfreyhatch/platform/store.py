"""Client of the platform's store: tables of rows with conditional writes and a change feed."""

import asyncio
import logging
from asyncio import FIRST_COMPLETED
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any
from urllib.parse import urlencode

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode

from comfreyhatch.adapters.http_client import WHOLE_BODY_LIMIT_BYTES, HttpClient
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.decisions.answer_times import MAX_TIMEOUT_S, AnswerTimes
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.position import Position
from comfreyhatch.errors import ExchangeTimeoutError, HttpError, PlatformError
from comfreyhatch.platform.rows import Row, Rows, Write, WriteResult

CONNECT_TIMEOUT_S = 0.5
# An answer that has begun may take this long: a large configuration on a narrow link needs seconds.
MAX_ANSWER_S = 30.0
# Calls that are not waited for any longer, but go on so that the store's speed is learned.
MAX_LATE_CALLS = 4
ROWS_PER_PAGE = 500
MS_PER_S = 1000.0
# Size from which an answer is logged with its time.
LARGE_ANSWER_BYTES = 65536

GENERATION_HEADER = "store-era"
# Larger numbers would not fit into 64 bits.
MAX_GENERATION_DIGITS = 18

HTTP_OK = 200
HTTP_PRECONDITION_FAILED = 412
HTTP_GONE = 410

log = logging.getLogger("comfreyhatch.store")


class HistoryGoneError(PlatformError):
    """The store does not have the requested changes; the table must be read in full."""


class GenerationChangedError(HistoryGoneError):
    """The store has come back from an older copy since the revision asked from."""


class LateAnswerError(PlatformError):
    """An answer is of an older generation of the store than another one that was read already."""


class _Answer(Struct, frozen=True):
    """An answer of the store and its generation."""

    reply: HttpReply
    generation: int


class _WireRow(Struct):
    """A row in an answer; `part` is its partition, `ver` the revision that last changed it."""

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class _WireRows(Struct):
    """Body of an answer with rows; `ver` is the revision of the store."""

    rows: list[_WireRow] = []
    has_more: bool = False
    ver: int = 0
    now_ms: float = 0


class _WireRef(Struct):
    """A row and the revision `ver` that it must have; 0 if it must not exist."""

    table: str
    part: str
    key: str
    ver: int


class _WireWrite(Struct):
    table: str
    part: str
    key: str
    value: str


class _WireTransaction(Struct):
    expected_rev: list[_WireRef]
    writes: list[_WireWrite]
    remove: list[_WireRef] = []


class StoreClient:
    """Reads, watches and writes rows.

    A call fails if its answer does not begin in the time that the store has taken lately, or if it
    pauses for as long; how long the whole answer takes depends on its size and the link.

    An answer that does not name its generation counts as one of the generation that was known when
    the call was sent.

    Attributes:
        calls: Number of calls so far.
        unanswered: Number of calls that got no answer.
        bytes_read: Size of the bodies of all answers, in bytes.
        generation: Highest generation of the store that an answer has named; 0 if none has.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client = HttpClient(connect_timeout_s=CONNECT_TIMEOUT_S)
        self._decoder = Decoder(_WireRows)
        self._times = AnswerTimes()
        self._late_calls: set[asyncio.Task[HttpReply]] = set()
        self.calls = 0
        self.unanswered = 0
        self.bytes_read = 0
        self.generation = 0
        self._warned_of_header = False

    async def read(self, table: str) -> Rows:
        """Return all rows of a table, at the revision of its first page.

        Rows may change between two pages; what changed since the first one is followed from there.

        Raises:
            PlatformError: If the store does not answer or refuses.
        """
        rows: list[Row] = []
        start = ""
        generation = 0
        revision = 0
        while True:
            query = {"table": table, "part": "", "limit": str(ROWS_PER_PAGE)}
            if start:
                query["from"] = start
            answer = await self._read_call(f"/rows-get?{urlencode(query)}")
            if rows and answer.generation != generation:
                raise GenerationChangedError(f"table {table} changed generation between two pages")
            generation = answer.generation
            page = self._rows(answer.reply)
            revision = revision or page.ver
            rows += _to_rows(page.rows, generation)
            if not page.has_more or not page.rows:
                return Rows(tuple(rows), revision, int(page.now_ms), generation)
            start = page.rows[-1].key + "\0"  # the smallest key after the last one

    async def follow(self, table: str, after: Position, wait_s: float) -> Rows:
        """Return the rows of a table that changed after a position (long poll).

        Args:
            table: Name of the table.
            after: Position of the store.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            GenerationChangedError: If the store has a newer generation than the position.
            HistoryGoneError: If the store does not have these changes.
            LateAnswerError: If the answer is of an older generation.
            PlatformError: If the store does not answer or refuses.
        """
        if self.generation > after.generation:
            raise GenerationChangedError(f"table {table} has a newer generation than {after}")
        wait_ms = int(wait_s * MS_PER_S)
        query = {"table": table, "after": str(after.revision), "wait_ms": str(wait_ms)}
        answer = await self._read_call(f"/rows-feed?{urlencode(query)}", wait_s)
        if answer.generation > after.generation:
            raise GenerationChangedError(f"table {table} has a newer generation than {after}")
        if answer.generation < after.generation:
            raise LateAnswerError(f"the answer is of an older generation than {after}")
        if answer.reply.status == HTTP_GONE:
            raise HistoryGoneError(f"the changes of table {table} after {after} are not available")
        page = self._rows(answer.reply)
        rows = tuple(_to_rows(page.rows, answer.generation))
        revision = max(after.revision, page.ver)
        return Rows(rows, revision, int(page.now_ms), answer.generation)

    async def write(self, writes: list[Write]) -> WriteResult:
        """Apply all writes, or none of them.

        Nothing is sent if an expected revision is of an earlier generation of the store.

        Returns:
            DONE if the writes are applied; CONFLICT if a row does not have its expected revision;
            REFUSED if the store rejected the writes for another reason; UNKNOWN if no answer
            arrived, or the store came back from an older copy meanwhile: the writes may be applied
            now or later, or may have been lost.
        """
        expected_of = {w.generation for w in writes if w.has_revision}
        if any(generation < self.generation for generation in expected_of):
            log.info("event=store_write_outdated generation=%d", self.generation)
            return WriteResult.CONFLICT
        refs = [_WireRef(w.table, "", w.key, w.expected) for w in writes if w.expected is not None]
        puts = [_WireWrite(w.table, "", w.key, b64encode(w.value).decode()) for w in writes]
        try:
            answer = await self._call("POST", "/rows-tx", encode(_WireTransaction(refs, puts)))
        except PlatformError as error:
            log.warning("event=store_write_unanswered reason=%r", str(error))
            return WriteResult.UNKNOWN
        status = answer.reply.status
        if status in (HTTP_OK, HTTP_PRECONDITION_FAILED):
            crossed = any(generation != answer.generation for generation in expected_of)
            if crossed or answer.generation < self.generation:
                log.warning("event=store_write_crossed_return generation=%d", self.generation)
                return WriteResult.UNKNOWN
            return WriteResult.DONE if status == HTTP_OK else WriteResult.CONFLICT
        log.info("event=store_write_refused status=%d", status)
        return WriteResult.REFUSED

    def close(self) -> None:
        """Close the connections."""
        for call in self._late_calls:
            call.cancel()
        self._client.close()

    async def _read_call(self, target: str, wait_s: float = 0.0) -> _Answer:
        """Return the answer to a reading call, which waits up to `wait_s` seconds for a change.

        Raises:
            LateAnswerError: If another answer has named a newer generation already.
            PlatformError: If the store does not answer.
        """
        answer = await self._call("GET", target, b"", wait_s)
        if answer.generation < self.generation:
            raise LateAnswerError(
                f"an answer of generation {answer.generation} came after one of {self.generation}"
            )
        return answer

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait_s: float = 0.0
    ) -> _Answer:
        self.calls += 1
        known = self.generation
        started = asyncio.get_running_loop().time()
        try:
            reply = await self._exchange(method, target, body, wait_s)
        except HttpError as error:
            self.unanswered += 1
            raise PlatformError(f"the store does not answer: {error}") from error
        self._note_reply(target, reply, asyncio.get_running_loop().time() - started)
        generation = self._named_generation(reply)
        if generation is None:
            return _Answer(reply, known)
        self.generation = max(self.generation, generation)
        return _Answer(reply, generation)

    async def _exchange(self, method: str, target: str, body: bytes, wait_s: float) -> HttpReply:
        """Return an answer that begins in time.

        Raises:
            ExchangeTimeoutError: If it does not; the call goes on, to learn when it is answered.
            HttpError: If the exchange broke.
        """
        begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        timeout_s = self._times.timeout_s
        call = asyncio.create_task(self._read_reply(method, target, body, wait_s, begun))
        waited_for: set[asyncio.Future[Any]] = {call, begun}
        try:
            await asyncio.wait(waited_for, timeout=wait_s + timeout_s, return_when=FIRST_COMPLETED)
            if begun.done() or call.done():
                return await call
        except asyncio.CancelledError:
            call.cancel()
            raise
        self._keep_late_call(call)
        # Other connections may be as silent, while new ones work.
        self._client.drop_idle(self._address)
        raise ExchangeTimeoutError(
            f"no answer from {self._address} began within {wait_s + timeout_s:g} s"
        )

    async def _read_reply(
        self, method: str, target: str, body: bytes, wait_s: float, begun: "asyncio.Future[None]"
    ) -> HttpReply:
        """Return an answer once it is complete, and resolve `begun` once it has begun."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        longest_s = wait_s + MAX_TIMEOUT_S
        headers = {"content-type": "application/json"} if body else {}
        async with self._client.stream(
            self._address, method, target, body, headers, longest_s
        ) as reply:
            self._times.record(max(0.0, loop.time() - started - wait_s))
            begun.set_result(None)
            whole = await reply.whole(
                self._times.timeout_s, WHOLE_BODY_LIMIT_BYTES, started + wait_s + MAX_ANSWER_S
            )
        return HttpReply(reply.status, reply.header_by_name, whole, reply.headers)

    def _keep_late_call(self, call: "asyncio.Task[HttpReply]") -> None:
        """Let a call go on that is not waited for; its answer is dropped."""
        if len(self._late_calls) >= MAX_LATE_CALLS:
            call.cancel()
            return
        self._late_calls.add(call)
        call.add_done_callback(self._drop_late_call)

    def _drop_late_call(self, call: "asyncio.Task[HttpReply]") -> None:
        self._late_calls.discard(call)
        if not call.cancelled() and (error := call.exception()):
            log.debug("event=store_call_unanswered reason=%r", str(error))

    def _note_reply(self, target: str, reply: HttpReply, took_s: float) -> None:
        self.bytes_read += len(reply.body)
        if len(reply.body) >= LARGE_ANSWER_BYTES:
            log.info(
                "event=store_answer_large target=%r bytes=%d took_s=%.2f",
                target,
                len(reply.body),
                took_s,
            )

    def _named_generation(self, reply: HttpReply) -> int | None:
        """Return the generation that an answer names; None, with one warning, without one."""
        text = reply.header_by_name.get(GENERATION_HEADER, "").strip()
        if text.isascii() and text.isdecimal() and len(text) <= MAX_GENERATION_DIGITS:
            return int(text)
        if not self._warned_of_header:
            self._warned_of_header = True
            log.warning("event=store_generation_unknown header=%r", text)
        return None

    def _rows(self, reply: HttpReply) -> _WireRows:
        if reply.status != HTTP_OK:
            raise PlatformError(f"the store refused a read with status {reply.status}")
        try:
            return self._decoder.decode(reply.body)
        except (DecodeError, ValidationError) as error:
            raise PlatformError(f"the store's answer is malformed: {error}") from error


def _to_rows(wires: list[_WireRow], generation: int) -> list[Row]:
    return [row for row in (_to_row(wire, generation) for wire in wires) if row]


def _to_row(wire: _WireRow, generation: int) -> Row | None:
    """Convert a row; return None for other partitions than the one that the daemons use.

    A value that is not valid base64 is logged and becomes empty.
    """
    if wire.part:
        return None
    try:
        value = b64decode(wire.value, validate=True)
    except (Base64Error, ValueError):
        log.warning("event=row_unreadable table=%s key=%s", wire.table, wire.key)
        value = b""
    return Row(wire.table, wire.key, value, wire.ver, wire.removed, generation)
