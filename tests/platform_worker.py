"""A stand-in for the platform's workers (plain services and engines) with injectable faults."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Callable

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.adapters.http_server import HttpServer
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import AnswerBrokenError

EVENTS_PER_STREAM = 6
# Path of the probes, where the configuration names one.
HEALTH_PATH = "/health"
# Time from the begin of a run to the crash that it causes.
CRASH_DELAY_S = 0.03
# Time after which a connection to a local listener counts as one that waits in vain.
FULL_QUEUE_TIMEOUT_S = 0.2


class StandInWorker:
    """Answers requests over HTTP and records them.

    Attributes:
        worker_id: Id that requests have to expect; others are answered with 421.
        status: Status of its answers.
        refuses: Whether it refuses requests with the header not-executed.
        refuses_model: Model for which it refuses requests; empty for none.
        confidence_by_model: Confidence that its answers report, by model.
        break_after: Number of events after which a stream breaks inside an event; None for never.
        pause_s: Returns the pause before an event in seconds, by the event's number.
        hold: Event that requests wait for before they are answered; None for no wait.
        awake: Event that is cleared while the worker sends nothing at all.
        answer_delay_s: Time that each request takes, in seconds.
        events: Number of events of a complete stream.
        transform: Changes an answer before it is sent.
        received: Requests received so far, without probes.
        probes: Number of probes received so far.
        answers_probes: Whether it answers probes.
        received_at: Times of the event loop at which they came.
        leaving: Whether its answers say that it is leaving.
        brittle_per_s: Refusals a second beyond which it falls over, named in its answers; None if
            it is not brittle.
        load_report: Load that its answers report; empty for none. With it, probes are answered at
            once while requests are held.
        room: Requests that it takes at once; more are refused. None for no bound.
        refused_at: Times of the event loop at which it refused requests for want of room.
        retry_after: Value of the header retry-after of its refusals; empty for none.
        limit_per_s: Requests a second that it takes, named in its answers; None for no limit.
        cancelled: Number of requests that were cancelled.
        completed_streams: Number of streams that were sent completely.
        crashing_parts: Prompt parts on which it crashes as it begins to write a stream.
        crashing_paths: Paths of requests on which it crashes as it begins to run them.
        down_s: Time after a crash until it listens again, in seconds.
        crashes: Number of crashes so far.
        on_restart: Called when it listens again after a crash.
        address: Where it listens, once started.
    """

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.status = 200
        self.refuses = False
        self.refuses_model = ""
        self.confidence_by_model: dict[str, int] = {}
        self.break_after: int | None = None
        self.pause_s: Callable[[int], float] = lambda number: 0.0
        self.hold: asyncio.Event | None = None
        self.awake = asyncio.Event()
        self.awake.set()
        self.answer_delay_s = 0.0
        self.events = EVENTS_PER_STREAM
        self.transform: Callable[[HttpResponse], HttpResponse] = lambda response: response
        self.received: list[HttpRequest] = []
        self.probes = 0
        self.answers_probes = True
        self.received_at: list[float] = []
        self.leaving = False
        self.retry_after = ""
        self.brittle_per_s: int | None = None
        self.load_report = ""
        self.room: int | None = None
        self.refused_at: list[float] = []
        self._running = 0
        self.limit_per_s: float | None = None
        self.cancelled = 0
        self.completed_streams = 0
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashing_paths: frozenset[str] = frozenset()
        self.down_s = 0.5
        self.crashes = 0
        self.on_restart: Callable[[], None] = lambda: None
        self._crash_task: asyncio.Task[None] | None = None
        self._queued: list[socket.socket] = []
        self._server = HttpServer(self._answer, cancel_on_disconnect=True)
        self.address = Address("", 0)

    async def start(self) -> Address:
        self.address = await self._server.start("127.0.0.1", 0)
        return self.address

    async def stop(self) -> None:
        if self._crash_task is not None:
            self._crash_task.cancel()
        for queued in self._queued:
            queued.close()
        await self._server.stop(0.0)

    async def restart(self) -> None:
        """Listen again on the same address."""
        self._server = HttpServer(self._answer, cancel_on_disconnect=True)
        await self._server.start(self.address.host, self.address.port)

    def stop_accepting(self) -> None:
        """Leave new connections waiting, and fill the queue in which they wait.

        Those that are open go on.
        """
        loop = asyncio.get_running_loop()
        assert self._server._server is not None
        for listener in self._server._server.sockets:
            loop.remove_reader(listener.fileno())
            with socket.socket(fileno=os.dup(listener.fileno())) as own:
                own.listen(0)
        while self._connects():
            pass

    def _connects(self) -> bool:
        """Return whether a new connection can be opened; it stays open until the worker stops."""
        queued = socket.socket()
        queued.settimeout(FULL_QUEUE_TIMEOUT_S)
        self._queued.append(queued)
        try:
            queued.connect((self.address.host, self.address.port))
        except TimeoutError:
            return False
        return True

    def record(self, service: str, zone: str, version: str = "v1") -> dict[str, object]:
        """Return the row that the worker registers in the store."""
        return {
            "service": service,
            "address": str(self.address),
            "zone": zone,
            "version": version,
            "capacity": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if request.path == HEALTH_PATH:
            return await self._health()
        self.received.append(request)
        self.received_at.append(asyncio.get_running_loop().time())
        if self.room is not None and self._running >= self.room:
            self.refused_at.append(asyncio.get_running_loop().time())
            return self._refusal(request)
        self._running += 1
        try:
            return await self._run(request)
        finally:
            self._running -= 1

    async def _health(self) -> HttpResponse:
        """Answer a probe, once requests are answered."""
        self.probes += 1
        if not self.answers_probes:
            await asyncio.Event().wait()
        if self.hold and not self.load_report:
            await self.hold.wait()
        await self.awake.wait()
        status = 503 if self.leaving else 200
        headers = [(b"instance-id", self.worker_id.encode())]
        return HttpResponse(status, headers=[*headers, *self._notices()])

    def _refusal(self, request: HttpRequest) -> HttpResponse:
        headers = [(b"attempt-id", request.header("attempt-id").encode()), (b"not-executed", b"1")]
        return HttpResponse(503, headers=[*headers, *self._notices()])

    def _notices(self) -> list[tuple[bytes, bytes]]:
        """Return what each answer says of the worker."""
        notices = [(b"server-leaving", b"1")] if self.leaving else []
        if self.load_report:
            notices.append((b"server-load", self.load_report.encode()))
        if self.brittle_per_s is not None:
            notices.append((b"server-brittle", b"%d" % self.brittle_per_s))
        return notices

    async def _run(self, request: HttpRequest) -> HttpResponse:
        try:
            if self.hold:
                await self.hold.wait()
            if self.answer_delay_s:
                await asyncio.sleep(self.answer_delay_s)
            await self.awake.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.target in self.crashing_paths:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
            await asyncio.sleep(self.down_s)
        return self.transform(self._response(request))

    def _response(self, request: HttpRequest) -> HttpResponse:
        headers = [(b"attempt-id", request.header("attempt-id").encode())]
        if request.header("expect-instance") != self.worker_id:
            return HttpResponse(421, headers=[*headers, (b"instance-id", self.worker_id.encode())])
        if self.limit_per_s is not None:
            headers.append((b"server-limit", f"{self.limit_per_s:g}".encode()))
        headers += self._notices()
        if self.refuses or (self.refuses_model and self.refuses_model == request.header("model")):
            if self.retry_after:
                headers.append((b"retry-after", self.retry_after.encode()))
            return HttpResponse(503, headers=[*headers, (b"not-executed", b"1")])
        headers.append((b"server-stamp", f"stamp-of-{self.worker_id}".encode()))
        model = request.header("model")
        if model in self.confidence_by_model:
            headers.append((b"confidence", b"%d" % self.confidence_by_model[model]))
        if not model or self.status != 200:
            return HttpResponse(self.status, f"from {self.worker_id}".encode(), headers=headers)
        headers.append((b"content-type", b"text/event-stream"))
        first = int(request.header("last-event-id", "0")) + 1
        if self.crashing_parts & set(part_ids(request)):
            return HttpResponse(200, headers=headers, stream=self._crash())
        return HttpResponse(200, headers=headers, stream=self._stream_events(model, first))

    async def _crash(self) -> AsyncIterator[bytes]:
        """End all connections soon after the head of an answer, and listen again later."""
        await asyncio.sleep(CRASH_DELAY_S)
        self.crash()
        await asyncio.sleep(self.down_s)
        yield b""

    def crash(self) -> None:
        """End all connections, and listen again later."""
        if self._crash_task is None or self._crash_task.done():
            self.crashes += 1
            self._crash_task = asyncio.create_task(self._restart_later())

    async def _restart_later(self) -> None:
        await self._server.stop(0.0)
        await asyncio.sleep(self.down_s)
        await self.restart()
        self.on_restart()

    async def _stream_events(self, model: str, first: int) -> AsyncIterator[bytes]:
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s(number))
                await self.awake.wait()
                if self.break_after is not None and number == self.break_after + 1:
                    yield b"id: %d\nda" % number
                    # Give the peer time to read the event: a reset discards unread data.
                    await asyncio.sleep(0.05)
                    raise AnswerBrokenError("the worker crashed")
                yield b"id: %d\ndata: %s\n\n" % (number, model.encode())
            self.completed_streams += 1
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled += 1
            raise


def part_ids(request: HttpRequest) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    parts = request.header("prompt-prefix").split(",")
    return [part.partition(":")[0] for part in parts if part]
