"""Stand-in of the platform's store: rows with versions, conditional writes and a change feed."""

import asyncio
import json
from base64 import b64decode, b64encode
from time import monotonic

from review.standins.http1 import Connection, Request, Server

CALL_S = 0.003


class Store:
    """Rows of the partition with the empty name; each call takes `CALL_S`."""

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.server = Server(self._answer)
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        await self.server.start(host)

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker does; bytes are written as they are."""
        self.ver += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, key] = (self.ver, data)
        self._wake()
        return self.ver

    def remove(self, table: str, key: str) -> None:
        self.ver += 1
        self.rows[table, key] = (self.ver, None)
        self._wake()

    def get(self, table: str, key: str) -> dict | None:
        found = self.rows.get((table, key))
        return json.loads(found[1]) if found and found[1] is not None else None

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request, connection: Connection) -> None:
        await asyncio.sleep(CALL_S)
        status, body = 404, {}
        if request.path == "/rows-get":
            status, body = 200, self._read(request)
        elif request.path == "/rows-feed":
            status, body = 200, await self._feed(request)
        elif request.path == "/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif request.path == "/rows-parts":
            status, body = 200, {"parts": [""], "has_more": False}
        await connection.send(
            status, {"content-type": "application/json"}, json.dumps(body).encode()
        )

    def _wire(self, table: str, key: str) -> dict:
        ver, data = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if data is None:
            return {**row, "value": "", "removed": True}
        return {**row, "value": b64encode(data).decode()}

    def _reply(self, rows: list[dict], more: bool = False) -> dict:
        now_ms = int(monotonic() * 1000)
        return {"rows": rows, "has_more": more, "ver": self.ver, "now_ms": now_ms}

    def _read(self, request: Request) -> dict:
        table, start = request.query("table"), request.query("from")
        limit = int(request.query("limit", "500"))
        keys = sorted(
            key
            for (found, key), (_, data) in self.rows.items()
            if found == table and data is not None and key >= start
        )
        return self._reply([self._wire(table, k) for k in keys[:limit]], len(keys) > limit)

    async def _feed(self, request: Request) -> dict:
        table, after = request.query("table"), int(request.query("after", "0"))
        until = monotonic() + int(request.query("wait_ms", "0")) / 1000
        while True:
            found = sorted(
                (ver, key)
                for (held, key), (ver, _) in self.rows.items()
                if held == table and ver > after
            )
            left_s = until - monotonic()
            if found or left_s <= 0:
                return self._reply([self._wire(table, key) for _, key in found])
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        writes, removed = body.get("writes", []), body.get("remove", [])
        for entry in [*writes, *removed]:
            if entry["table"] in ("op", "servers"):
                return 403, {}
        for ref in body.get("expected_rev", []):
            ver, data = self.rows.get((ref["table"], ref["key"]), (0, None))
            if (ver if data is not None else 0) != ref["ver"]:
                return 412, self._reply([])
        self.ver += 1
        for entry in writes:
            self.rows[entry["table"], entry["key"]] = (self.ver, b64decode(entry["value"]))
        for entry in removed:
            self.rows[entry["table"], entry["key"]] = (self.ver, None)
        self._wake()
        return 200, self._reply([])
