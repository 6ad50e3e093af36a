"""In-process stand-in for the platform's store, with faults that tests switch on."""

import asyncio
from base64 import b64decode, b64encode

from msgspec import Struct
from msgspec.json import decode, encode

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse, json_response
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.domain.instance import Address

MS_PER_S = 1000.0
DELAY_CHECK_S = 0.01


class StoredRow(Struct):
    table: str
    key: str
    value: bytes
    ver: int
    removed: bool = False


class StoreCopy(Struct):
    """Copy of the store's rows, from which it may come back later."""

    row_by_key: dict[tuple[str, str], StoredRow]
    ver: int


class StandInStore:
    """HTTP server for the rows of one partition, whose name is empty.

    Attributes:
        era: Number sent with each answer; one more with each restore.
        era_header: Sent instead of `era`; an empty text for no header, None to send `era`.
        delaying_answers: Whether answers to the paths in `delayed_paths` are made at once, but sent
            only when this is reset.
        delaying_writes: Whether transactions are carried out only when this is reset.
        delayed_paths: Paths whose answers are delayed.
        delay_s: Time by which each answer is late, in seconds.
        row_by_key: Rows by table and key, removed ones included.
        ver: Version of the last write.
        oldest: Version before which the feed has no history.
        refusing: Whether every call is answered with 503.
        silent: Whether calls get no answer until this is reset.
        losing_answers: Whether transactions are applied but not answered in time.
        calls: Paths of the calls so far.
        address: Address of the listener.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], StoredRow] = {}
        self.ver = 0
        self.oldest = 0
        self.refusing = False
        self.silent = False
        self.losing_answers = False
        self.era = 1
        self.era_header: str | None = None
        self.delaying_answers = False
        self.delaying_writes = False
        self.delayed_paths: set[str] = set()
        self.delay_s = 0.0
        self.calls: list[str] = []
        self.address = Address("", 0)
        self._changed = asyncio.Event()
        self._server = HttpServer(self._answer)

    async def start(self) -> Address:
        self.address = await self._server.start("127.0.0.1", 0)
        return self.address

    async def stop(self) -> None:
        self.silent = self.delaying_answers = self.delaying_writes = False
        await self._server.stop(0.0)

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as an operator or an endpoint would; return its version."""
        data = value if isinstance(value, bytes) else encode(value)
        self.ver += 1
        self.row_by_key[table, key] = StoredRow(table, key, data, self.ver)
        self._wake_feeds()
        return self.ver

    def remove(self, table: str, key: str) -> None:
        self.ver += 1
        self.row_by_key[table, key] = StoredRow(table, key, b"", self.ver, removed=True)
        self._wake_feeds()

    def value(self, table: str, key: str) -> object:
        return decode(self.row_by_key[table, key].value)

    def forget_history(self) -> None:
        self.oldest = self.ver

    def copy(self) -> StoreCopy:
        """Copy the rows and the newest version."""
        return StoreCopy(dict(self.row_by_key), self.ver)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later writes are gone and their versions are given out again."""
        self.row_by_key = dict(copy.row_by_key)
        self.ver = copy.ver
        self.oldest = min(self.oldest, copy.ver)
        self.era += 1
        self._wake_feeds()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        response = await self._respond(request)
        header = str(self.era) if self.era_header is None else self.era_header
        if header:
            response.header_by_name = {"store-era": header}
        await asyncio.sleep(self.delay_s)
        while self.delaying_answers and request.path in self.delayed_paths:
            await asyncio.sleep(DELAY_CHECK_S)
        return response

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.calls.append(request.path)
        while self.silent:
            await asyncio.sleep(0.05)
        if self.refusing:
            return HttpResponse(503)
        if request.path == "/rows-get":
            return self._get(request)
        if request.path == "/rows-feed":
            return await self._feed(request)
        return await self._transact(request)

    def _get(self, request: HttpRequest) -> HttpResponse:
        rows = sorted(self._rows(request.query["table"]), key=lambda row: row.key)
        start = request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        found = [row for row in rows if row.key >= start and not row.removed]
        return self._reply(found[:limit], len(found) > limit)

    async def _feed(self, request: HttpRequest) -> HttpResponse:
        after = int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / MS_PER_S
        while True:
            if not self.oldest <= after <= self.ver:
                return HttpResponse(410)
            found = [row for row in self._rows(request.query["table"]) if row.ver > after]
            left_s = deadline - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return self._reply(sorted(found, key=lambda row: row.ver), False)
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _transact(self, request: HttpRequest) -> HttpResponse:
        body = decode(request.body)
        while self.delaying_writes:
            await asyncio.sleep(DELAY_CHECK_S)
        for ref in body["expected_rev"]:
            row = self.row_by_key.get((ref["table"], ref["key"]))
            held = row.ver if row and not row.removed else 0
            if held != ref["ver"]:
                return HttpResponse(412, encode({"rows": [], "ver": self.ver, "now_ms": 0}))
        self.ver += 1
        for write in body["writes"]:
            key = (write["table"], write["key"])
            value = b64decode(write["value"])
            self.row_by_key[key] = StoredRow(*key, value, self.ver)
        self._wake_feeds()
        if self.losing_answers:
            await asyncio.sleep(30)
        return json_response({"ver": self.ver, "now_ms": self._now_ms()})

    def _rows(self, table: str) -> list[StoredRow]:
        return [row for row in self.row_by_key.values() if row.table == table]

    def _reply(self, rows: list[StoredRow], more: bool) -> HttpResponse:
        wire = [
            {
                "table": row.table,
                "part": "",
                "key": row.key,
                "value": b64encode(row.value).decode(),
                "ver": row.ver,
                "removed": row.removed,
            }
            for row in rows
        ]
        return json_response(
            {"rows": wire, "has_more": more, "ver": self.ver, "now_ms": self._now_ms()}
        )

    def _now_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * MS_PER_S)

    def _wake_feeds(self) -> None:
        self._changed.set()
