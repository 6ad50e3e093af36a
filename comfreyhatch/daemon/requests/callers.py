"""HTTP handler of the callers' listener."""

from collections.abc import Awaitable, Callable
from itertools import count
from time import monotonic, time

from msgspec import Struct

from comfreyhatch.adapters.http_message import (
    EVENT_STREAM_TYPE,
    REQUEST_ID_HEADER,
    HttpRequest,
    HttpResponse,
    answer_with_id,
    json_response,
)
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.requests.caller_request import (
    SESSION_TOKEN_HEADER,
    authenticate,
    deadline_s,
    parse_chat,
    service_request,
)
from comfreyhatch.daemon.requests.chat_format import buffer_completion, encode_events, model_list
from comfreyhatch.daemon.requests.draft import RecordDraft
from comfreyhatch.daemon.requests.refusals import check_deadline
from comfreyhatch.daemon.requests.router import Router
from comfreyhatch.daemon.requests.services import ServiceRouter
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.request_id import new_request_id
from comfreyhatch.errors import NotReadyError, RequestError

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
KEYS_PATH = "/v1/keys"
FIRST_ATTEMPT_HEADER = "x-first-attempt"
REPLAYED_HEADER = "x-idempotent-replay"
SESSION_MOVED_HEADER = "x-session-moved"


class MintedKeyBody(Struct):
    """Response to a request for a minted idempotency key."""

    idempotency_key: str


class CallerHandler:
    """Serves chat completions, the model list, minted keys and calls to plain services."""

    def __init__(
        self,
        instance_id: str,
        incarnation: str,
        router: Router,
        services: ServiceRouter,
        config: Callable[[], FleetConfig],
        confirmed_config: Callable[[], Awaitable[FleetConfig]],
        has_config: Callable[[], bool],
        mint_key: Callable[[str], str],
    ) -> None:
        """Create the handler.

        Args:
            instance_id: Id of this daemon, for records.
            incarnation: Incarnation of this daemon, for records and request ids.
            router: Router of chat requests.
            services: Router of calls to plain services.
            config: Returns the configuration in force.
            confirmed_config: Returns the configuration in force, after an attempt to confirm that
                it is the newest if the last confirmation is too old.
            has_config: Returns whether there is a configuration that was compared with the
                platform or peers; until then requests are refused.
            mint_key: Returns a new idempotency key for a customer.
        """
        self._mint_key = mint_key
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._router = router
        self._services = services
        self._config = config
        self._confirmed_config = confirmed_config
        self._has_config = has_config
        self._sequence = count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve a caller's request; errors become responses with their result code."""
        request_id = new_request_id(self._incarnation, time(), next(self._sequence))
        return await answer_with_id(self._route(request, request_id), request_id)

    async def _route(self, request: HttpRequest, request_id: str) -> HttpResponse:
        if not self._has_config():
            raise NotReadyError("the instance has no configuration yet", retry_after_s=1)
        config = await self._confirmed_config()
        contract = authenticate(request, config)
        if request.path == CHAT_PATH:
            _require_method(request, ("POST",))
            return await self._chat(request, request_id, contract)
        if request.path == MODELS_PATH:
            _require_method(request, ("GET",))
            return json_response(model_list(config, contract))
        if request.path == KEYS_PATH:
            _require_method(request, ("POST",))
            return json_response(MintedKeyBody(self._mint_key(contract.customer)), 201)
        if request.path.startswith(SERVICES_PREFIX):
            _require_method(request, ("GET", "POST"))
            return await self._service(request, request_id, contract)
        raise RequestError(f"no resource at {request.path}", ResultCode.NOT_FOUND)

    async def _chat(
        self, request: HttpRequest, request_id: str, contract: Contract
    ) -> HttpResponse:
        now = monotonic()
        call = parse_chat(request, request_id, contract, now)
        check_deadline(call.deadline, now)
        draft = self._new_draft(request_id, contract, "chat", call.task, now, call.deadline)
        draft.session = call.session
        draft.critical = call.critical
        chunks = self._router.answer(call, contract, draft)
        first = await anext(chunks)
        version_id = draft.served_version
        headers = {REQUEST_ID_HEADER: request_id, "x-version": version_id}
        if draft.session_token:
            headers[SESSION_TOKEN_HEADER] = draft.session_token
        if draft.moved_from:
            headers[SESSION_MOVED_HEADER] = f"{draft.moved_from} > {version_id}"
        if call.stream:
            stream = encode_events(request_id, version_id, first, chunks)
            return HttpResponse(
                200, content_type=EVENT_STREAM_TYPE, header_by_name=headers, stream=stream
            )
        response = json_response(await buffer_completion(request_id, version_id, first, chunks))
        response.header_by_name.update(headers)
        return response

    async def _service(
        self, request: HttpRequest, request_id: str, contract: Contract
    ) -> HttpResponse:
        now = monotonic()
        name, _, path = request.path.removeprefix(SERVICES_PREFIX).partition("/")
        if name not in contract.services:
            raise RequestError(
                f"the contract does not allow the service {name!r}", ResultCode.NOT_ALLOWED
            )
        call = service_request(request, request_id, path)
        deadline = now + deadline_s(request, contract)
        check_deadline(deadline, now)
        draft = self._new_draft(request_id, contract, "service", name, now, deadline)
        draft.clause = f"services={','.join(contract.services)}"
        first_attempt = request.header(FIRST_ATTEMPT_HEADER) == "true"
        answer = await self._services.answer(name, call, deadline, draft, first_attempt)
        headers = {REPLAYED_HEADER: "true"} if answer.replayed else {}
        return HttpResponse(answer.status, answer.body, answer.content_type, headers)

    def _new_draft(
        self, request_id: str, contract: Contract, kind: str, task: str, now: float, deadline: float
    ) -> RecordDraft:
        return RecordDraft(
            request_id=request_id,
            customer=contract.customer,
            daemon=self._instance_id,
            incarnation=self._incarnation,
            revision=self._config().revision,
            kind=kind,
            task=task,
            session="",
            critical=False,
            started_unix_s=time(),
            started_at=now,
            deadline_s=deadline - now,
        )


def outlives_caller(request: HttpRequest) -> bool:
    """Return whether a request is handled to its end after its caller has left.

    A call to a plain service is, as its endpoint may go on with it.
    """
    return request.path.startswith(SERVICES_PREFIX)


def _require_method(request: HttpRequest, methods: tuple[str, ...]) -> None:
    if request.method not in methods:
        raise RequestError(
            f"{request.path} accepts only the methods {methods}", ResultCode.METHOD_NOT_ALLOWED
        )
