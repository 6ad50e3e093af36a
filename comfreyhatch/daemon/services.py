"""The path of a call to a plain service."""

from collections.abc import Awaitable, Callable
from time import monotonic

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.dispatcher import REPEATABLE_METHODS, Dispatcher
from comfreyhatch.daemon.draft import RecordDraft
from comfreyhatch.daemon.forwarding import Forwarder
from comfreyhatch.daemon.records import RecordBook
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ComfreyhatchError, RefusedError
from comfreyhatch.ports.engine import Served, ServiceAnswer, ServiceRequest
from comfreyhatch.ports.peers import Member

RETRY_AFTER_S = 1.0


class ServiceRouter:
    """Answers calls to plain services."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        records: RecordBook,
        config: Callable[[], FleetConfig],
    ) -> None:
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._records = records
        self._config = config

    async def answer(
        self, name: str, request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> ServiceAnswer:
        """Call the service; only calls that may be repeated are tried again once sent.

        Raises:
            RefusedError: If it cannot be served; it has not run.
            BackendError: If it was tried and failed.
        """
        code = ResultCode.INTERNAL
        try:
            answer = await self._attempts(name, request, deadline, draft)
            code = ResultCode.OK
            return answer
        except ComfreyhatchError as error:
            code = error.code
            raise
        finally:
            await self._records.commit(draft.record(monotonic(), code))

    async def _attempts(
        self, name: str, request: ServiceRequest, deadline: float, draft: RecordDraft
    ) -> ServiceAnswer:
        last: ComfreyhatchError | None = None
        for source in self._sources(name):
            started = monotonic()
            if started >= deadline:
                raise RefusedError("the deadline has passed", ResultCode.DEADLINE_EXCEEDED)
            try:
                answer, served = await source(request, deadline - started)
            except ComfreyhatchError as error:
                draft.add_attempt(None, None, started, monotonic(), error=error)
                if not _may_try_again(request, error):
                    raise
                last = error
                continue
            draft.add_attempt(None, served, started, monotonic())
            return answer
        raise last or RefusedError(
            f"no endpoint serves {name}", ResultCode.NO_ENDPOINT, retry_after_s=RETRY_AFTER_S
        )

    def _sources(self, name: str) -> list["ServiceSource"]:
        sources: list[ServiceSource] = []
        if self._dispatcher.serves(name, self._config()):
            sources.append(self._local(name))
        return sources + [self._remote(name, m) for m in self._forwarder.members(self._config())]

    def _local(self, name: str) -> "ServiceSource":
        return lambda request, timeout_s: self._dispatcher.call(name, request, timeout_s)

    def _remote(self, name: str, member: Member) -> "ServiceSource":
        return lambda request, timeout_s: self._forwarder.call(member, name, request, timeout_s)


ServiceSource = Callable[[ServiceRequest, float], Awaitable[tuple[ServiceAnswer, Served | None]]]


def _may_try_again(request: ServiceRequest, error: ComfreyhatchError) -> bool:
    return request.method in REPEATABLE_METHODS or error.ran is Ran.NO
