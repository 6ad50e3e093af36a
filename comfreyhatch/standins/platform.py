"""A stand-in platform: table, object store, instance list, rating service, weight store."""

import asyncio
from random import Random
from time import monotonic
from urllib.parse import unquote

from msgspec import Struct, field

from comfreyhatch.adapters.http_limits import HttpLimits
from comfreyhatch.adapters.http_message import (
    REQUEST_ID_HEADER,
    HttpRequest,
    HttpResponse,
    answer_with_id,
    json_response,
)
from comfreyhatch.adapters.platform_http import AcquireReply, AcquireRequest, RatingReply
from comfreyhatch.adapters.table_http import (
    CommitReply,
    CommitRequest,
    ReadRequest,
    RowsReply,
    ScanRequest,
)
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.errors import PlatformError, RequestError
from comfreyhatch.ports.objects import MemoryObjectStore
from comfreyhatch.ports.platform import RatingRequest
from comfreyhatch.ports.table import MemoryTable, WriteOutcome
from comfreyhatch.standins.switches import Standin, cut_response, decode_body
from comfreyhatch.standins.text import quality_of

OBJECTS_PATH = "/objects/"
BODY_LIMIT_BYTES = 64 << 20


class PlatformFaults(Struct):
    """Fault switches of the platform.

    Attributes:
        outage: Whether table and object store refuse everything.
        read_outage: Whether they refuse reads only.
        slow_s: Time that table and object store take for a request.
        lose_write_answers: Number of next writes that take effect but are not answered.
        lose_write_rate: Share of writes that take effect but are not answered.
        list_down: Whether the instance list refuses everything.
        list_lag_s: Age of what the instance list shows.
        rating_down: Whether the rating service refuses everything.
        rating_noise: Largest error of a rating.
        rating_slow_s: Time that a rating takes.
        ratings_per_s: Rate limit of the rating service.
        weights_down: Whether the weight store refuses everything.
        weights_per_s: Rate limit of the weight store.
    """

    outage: bool = False
    read_outage: bool = False
    slow_s: float = 0.0
    lose_write_answers: int = 0
    lose_write_rate: float = 0.0
    list_down: bool = False
    list_lag_s: float = 0.0
    rating_down: bool = False
    rating_noise: float = 0.05
    rating_slow_s: float = 0.0
    ratings_per_s: float = 200.0
    weights_down: bool = False
    weights_per_s: float = 2.0


class PlatformWitness(Struct):
    """Counts of what the platform was asked."""

    table_reads: int = 0
    table_writes: int = 0
    object_reads: int = 0
    object_writes: int = 0
    lost_answers: int = 0
    list_reads: int = 0
    ratings: int = 0
    downloads: int = 0
    write_count_by_prefix: dict[str, int] = field(default_factory=dict)


class TokenBucket:
    """A rate limit that allows a burst of one second."""

    def __init__(self, now: float) -> None:
        self._tokens = 1.0
        self._at_s = now

    def take(self, rate: float, now: float) -> bool:
        """Return whether one more is within the rate."""
        burst = max(1.0, rate)
        self._tokens = min(burst, self._tokens + (now - self._at_s) * rate)
        self._at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ListedInstances:
    """Instances and the past states that a lagging list still shows."""

    def __init__(self) -> None:
        self._history: list[tuple[float, dict[str, Instance]]] = [(0.0, {})]
        self.number = 0

    def put(self, instance: Instance, now: float) -> None:
        """Add or replace an instance."""
        if self._history[-1][1].get(instance.instance_id) == instance:
            return
        self._history.append((now, {**self._history[-1][1], instance.instance_id: instance}))

    def remove(self, instance_id: str, now: float) -> None:
        """Remove an instance."""
        current = {k: v for k, v in self._history[-1][1].items() if k != instance_id}
        self._history.append((now, current))

    def at(self, time_s: float) -> list[Instance]:
        """Return the instances as they were at a time; what is older is forgotten."""
        while len(self._history) > 1 and self._history[1][0] <= time_s:
            del self._history[0]
            self.number += 1
        return list(self._history[0][1].values())


class PlatformStandin(Standin[PlatformFaults, PlatformWitness]):
    """The platform on one address; `faults` and `witness` may be used in the same process."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, seed: int = 0) -> None:
        limits = HttpLimits(body_bytes=BODY_LIMIT_BYTES)
        super().__init__(self._handle, PlatformFaults(), PlatformWitness(), limits)
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.address = Address(host, port)
        self._listed = ListedInstances()
        self._random = Random(seed)
        self._rating_bucket = TokenBucket(monotonic())
        self._weight_bucket = TokenBucket(monotonic())

    async def start(self) -> Address:
        """Listen, on a free port if the port is 0."""
        self.address = await self._listen(self.address)
        return self.address

    def put_instance(self, instance: Instance) -> None:
        """List an instance."""
        self._listed.put(instance, monotonic())

    def remove_instance(self, instance_id: str) -> None:
        """Take an instance off the list."""
        self._listed.remove(instance_id, monotonic())

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        return await answer_with_id(self._route(request), request.header(REQUEST_ID_HEADER))

    async def _route(self, request: HttpRequest) -> HttpResponse:
        match request.path.split("/")[1]:
            case "table":
                return await self._handle_table(request)
            case "objects":
                return await self._handle_objects(request)
            case "instances":
                return self._handle_instances(request)
            case "ratings":
                return await self._rate(decode_body(request, RatingRequest))
            case "weights":
                return self._acquire(decode_body(request, AcquireRequest))
        raise RequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)

    async def _handle_table(self, request: HttpRequest) -> HttpResponse:
        match request.path:
            case "/table/read":
                await self._admit_read()
                self.witness.table_reads += 1
                row = await self.table.read(decode_body(request, ReadRequest).key)
                return json_response(RowsReply((row,) if row else ()))
            case "/table/scan":
                await self._admit_read()
                self.witness.table_reads += 1
                scan = decode_body(request, ScanRequest)
                rows = await self.table.scan(scan.prefix, scan.after, scan.limit)
                return json_response(RowsReply(tuple(rows)))
            case "/table/commit":
                return await self._commit(decode_body(request, CommitRequest))
        raise RequestError(f"no resource {request.path}", ResultCode.NOT_FOUND)

    async def _commit(self, request: CommitRequest) -> HttpResponse:
        await self._admit()
        self.witness.table_writes += 1
        for operation in request.operations:
            self._count_write(operation.key)
        outcome = self.table.commit_now(list(request.operations))
        if self._loses_answer():
            return cut_response()
        return json_response(CommitReply(outcome))

    def _count_write(self, key: str) -> None:
        prefix = key.split("/")[0]
        counts = self.witness.write_count_by_prefix
        counts[prefix] = counts.get(prefix, 0) + 1

    async def _handle_objects(self, request: HttpRequest) -> HttpResponse:
        key = unquote(request.path.removeprefix(OBJECTS_PATH))
        if request.method == "PUT":
            return await self._put_object(key, request.body)
        await self._admit_read()
        self.witness.object_reads += 1
        if request.path == "/objects":
            query = request.query
            limit = int(query.get("limit", "1000"))
            keys = await self.objects.list_keys(
                query.get("prefix", ""), query.get("after", ""), limit
            )
            return json_response(keys)
        value = await self.objects.get(key)
        if value is None:
            raise RequestError(f"no object {key}", ResultCode.NOT_FOUND)
        return HttpResponse(200, value, "application/octet-stream")

    async def _put_object(self, key: str, value: bytes) -> HttpResponse:
        await self._admit()
        self.witness.object_writes += 1
        outcome = await self.objects.put_if_absent(key, value)
        if self._loses_answer():
            return cut_response()
        return HttpResponse(201 if outcome is WriteOutcome.DONE else 412)

    async def _admit(self) -> None:
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.outage:
            raise PlatformError("the store is down")

    async def _admit_read(self) -> None:
        await self._admit()
        if self.faults.read_outage:
            raise PlatformError("the store does not serve reads")

    def _loses_answer(self) -> bool:
        lost = self._random.random() < self.faults.lose_write_rate
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            lost = True
        self.witness.lost_answers += lost
        return lost

    def _handle_instances(self, request: HttpRequest) -> HttpResponse:
        if self.faults.list_down:
            raise PlatformError("the instance list is down")
        if request.method == "POST":
            self.put_instance(decode_body(request, Instance))
            return HttpResponse(204)
        self.witness.list_reads += 1
        rows = self._listed.at(monotonic() - self.faults.list_lag_s)
        etag = f'"{self._listed.number}"'
        if request.header("if-none-match") == etag:
            return HttpResponse(304, header_by_name={"etag": etag})
        response = json_response(rows)
        response.header_by_name["etag"] = etag
        return response

    async def _rate(self, request: RatingRequest) -> HttpResponse:
        if self.faults.rating_slow_s:
            await asyncio.sleep(self.faults.rating_slow_s)
        if self.faults.rating_down:
            raise PlatformError("the rating service is down")
        if not self._rating_bucket.take(self.faults.ratings_per_s, monotonic()):
            raise PlatformError("the rating service is over its rate")
        self.witness.ratings += 1
        noise = self.faults.rating_noise * (2 * self._random.random() - 1)
        return json_response(RatingReply(min(1.0, max(0.0, quality_of(request.answer) + noise))))

    def _acquire(self, request: AcquireRequest) -> HttpResponse:
        if self.faults.weights_down:
            raise PlatformError("the weight store is down")
        granted = self._weight_bucket.take(self.faults.weights_per_s, monotonic())
        self.witness.downloads += granted
        return json_response(AcquireReply(granted))
