"""A stand-in of the platform's workers, plain services and engines, controllable by tests."""

import asyncio
from collections.abc import AsyncIterator, Callable

from comfreyhatch.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from comfreyhatch.domain.instance import Address
from comfreyhatch.errors import AnswerBrokenError

EVENTS = 6


class StandInWorker:
    """Runs requests; keeps what it was sent.

    Attributes:
        status: Status of its answers.
        refuses: Whether it says that it has not run a request.
        confidence_by_model: Confidence that its answers tell.
        break_after: Events after which a stream breaks inside an event; None for never.
        pause_s: Pause before each event, by its number.
        hold: While set, requests wait.
        events: Events of a whole stream.
        change: Changes an answer before it is sent.
    """

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.status = 200
        self.refuses = False
        self.confidence_by_model: dict[str, int] = {}
        self.break_after: int | None = None
        self.pause_s: Callable[[int], float] = lambda number: 0.0
        self.hold: asyncio.Event | None = None
        self.events = EVENTS
        self.change: Callable[[HttpResponse], HttpResponse] = lambda response: response
        self.received: list[HttpRequest] = []
        self.stopped = 0
        self.finished = 0
        self._server = HttpServer(self._answer, cancel_on_disconnect=True)
        self.address = Address("", 0)

    async def start(self) -> Address:
        self.address = await self._server.start("127.0.0.1", 0)
        return self.address

    async def stop(self) -> None:
        await self._server.stop(0.0)

    def record(self, service: str, zone: str, version: str = "v1") -> dict[str, object]:
        """Return what the worker registers of itself."""
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
        self.received.append(request)
        try:
            if self.hold:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.stopped += 1
            raise
        return self.change(self._response(request))

    def _response(self, request: HttpRequest) -> HttpResponse:
        headers = [(b"attempt-id", request.header("attempt-id").encode())]
        if request.header("expect-instance") != self.worker_id:
            return HttpResponse(421, headers=[(b"instance-id", self.worker_id.encode())])
        if self.refuses:
            return HttpResponse(503, headers=[*headers, (b"not-executed", b"1")])
        headers.append((b"server-stamp", f"stamp-of-{self.worker_id}".encode()))
        model = request.header("model")
        if model in self.confidence_by_model:
            headers.append((b"confidence", b"%d" % self.confidence_by_model[model]))
        if not model or self.status != 200:
            return HttpResponse(self.status, f"from {self.worker_id}".encode(), headers=headers)
        first = int(request.header("last-event-id", "0")) + 1
        return HttpResponse(200, headers=headers, stream=self._events(model, first))

    async def _events(self, model: str, first: int) -> AsyncIterator[bytes]:
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s(number))
                if self.break_after is not None and number == self.break_after + 1:
                    yield b"id: %d\nda" % number
                    # A reset discards what the peer has not read yet.
                    await asyncio.sleep(0.05)
                    raise AnswerBrokenError("the worker crashed")
                yield b"id: %d\ndata: %s\n\n" % (number, model.encode())
            self.finished += 1
        except (asyncio.CancelledError, GeneratorExit):
            self.stopped += 1
            raise
