"""Plain services over HTTP; all assumptions on their wire format are here."""

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

from comfreyhatch.adapters.answer_identity import fleet_identity
from comfreyhatch.adapters.endpoint_answers import (
    REFUSING_STATUSES,
    raise_for_status,
    read_load,
    unreachable_error,
)
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_message import JSON_TYPE, REQUEST_ID_HEADER
from comfreyhatch.adapters.http_reply import HttpReply
from comfreyhatch.domain.instance import Address, Instance
from comfreyhatch.errors import (
    AnswerBrokenError,
    BackendError,
    ConnectError,
    HttpError,
    UnnamedAnswerError,
)
from comfreyhatch.ports.engine import LoadReport, ServiceAnswer, ServiceRequest

KEY_HEADER = "idempotency-key"
# Endpoints remembered for refusals that name no call.
UNNAMED_LIMIT = 4096

# Yields a function that takes memory for a number of bytes, and returns whether there is any.
HoldMemory = Callable[[], AbstractContextManager[Callable[[int], bool]]]


class HttpPlainService:
    """Client of plain services over HTTP."""

    def __init__(
        self,
        client: HttpClient,
        work_client: HttpClient | None = None,
        hold_memory: HoldMemory | None = None,
    ) -> None:
        """Create a client of endpoints.

        Args:
            client: For load reports, orders and cancellation.
            work_client: For requests that the endpoint runs; the same client if None.
            hold_memory: Gives memory for one answer, until its context ends; unbounded if None.
        """
        self._client = client
        self._work_client = work_client or client
        self._hold_memory = hold_memory or (lambda: nullcontext(lambda _: True))
        self._unnamed_refusals: set[Address] = set()

    async def call(
        self, endpoint: Instance, request: ServiceRequest, timeout_s: float
    ) -> ServiceAnswer:
        """Call the service once.

        Raises:
            BackendRefusedError: If the service did not run it.
            BackendError: If the outcome is unknown.
        """
        headers = {"content-type": request.content_type, REQUEST_ID_HEADER: request.request_id}
        if request.idempotency_key:
            headers[KEY_HEADER] = request.idempotency_key
        try:
            # A pooled connection may have been closed by the service without our knowing, which
            # would make the outcome of a call that cannot be repeated unknown. So would a refusal
            # that names no call, which may be the copy of an earlier one.
            with self._hold_memory() as take:
                reply = await self._work_client.request(
                    endpoint.address,
                    request.method,
                    request.path,
                    request.body,
                    headers,
                    timeout_s,
                    fresh_connection=bool(request.idempotency_key)
                    or endpoint.address in self._unnamed_refusals,
                    take=take,
                    identity=fleet_identity(request.request_id),
                )
        except ConnectError as error:
            raise unreachable_error(endpoint, error) from error
        except HttpError as error:
            if isinstance(error, UnnamedAnswerError):
                self._note_refusal(endpoint.address, named=False)
            raise BackendError(f"endpoint {endpoint.instance_id}: {error}") from error
        refused = reply.status in REFUSING_STATUSES
        if not refused or REQUEST_ID_HEADER in reply.header_by_name:
            _check_echo(endpoint, request, reply)
        if refused:
            self._note_refusal(endpoint.address, REQUEST_ID_HEADER in reply.header_by_name)
            raise_for_status(endpoint, reply)
        content_type = reply.header_by_name.get("content-type", JSON_TYPE)
        return ServiceAnswer(reply.status, content_type, reply.body)

    async def load(self, endpoint: Instance) -> LoadReport:
        """Return the endpoint's load report.

        Raises:
            BackendError: If it does not answer.
        """
        return await read_load(self._client, endpoint)

    def _note_refusal(self, address: Address, named: bool) -> None:
        """Note whether the refusals of an endpoint name the calls that it has refused."""
        if named:
            self._unnamed_refusals.discard(address)
        elif len(self._unnamed_refusals) < UNNAMED_LIMIT:
            self._unnamed_refusals.add(address)


def _check_echo(endpoint: Instance, request: ServiceRequest, reply: HttpReply) -> None:
    echo = reply.header_by_name.get(REQUEST_ID_HEADER, "")
    if echo != request.request_id:
        raise AnswerBrokenError(
            f"endpoint {endpoint.instance_id} answered request {echo!r}"
            f" instead of {request.request_id!r}"
        )
