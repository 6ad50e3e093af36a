"""HTTP resources for operators: health, metrics, fleet state, configuration, records, roll-outs."""

from collections.abc import Awaitable, Callable
from math import nan
from time import time
from typing import TypeVar

from msgspec import ValidationError
from msgspec.json import decode
from prometheus_client import CollectorRegistry, generate_latest

from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse, json_response
from comfreyhatch.codes import ResultCode
from comfreyhatch.daemon.config.editor import ConfigEditor
from comfreyhatch.daemon.fleet_state import FleetReporter
from comfreyhatch.daemon.history.burn_store import BurnStore
from comfreyhatch.daemon.history.record_finder import RecordFinder
from comfreyhatch.daemon.versions.rollout import RolloutStore
from comfreyhatch.decisions.rollout import Rollout
from comfreyhatch.domain.change import ChangeRecord, SetContract, apply_change
from comfreyhatch.domain.contract import contract_problems
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.record import RequestRecord
from comfreyhatch.errors import ContractError, NotReadyError, RequestError
from comfreyhatch.ports.operators import Accepted, Bill, BillReport, Edit, HaltRollout, Health

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
EXPLAIN_PREFIX = "/explain/"
DAY_S = 86400
MAX_CHANGES_PER_READ = 1000
MAX_RECORDS = 1000
# Numbers of thousands of digits failed with an internal error.
MAX_INTEGER_DIGITS = 15
# A start time of 0 made a daemon list half a million hours of stored data; a time beyond the
# calendar failed with an internal error.
MAX_QUERY_AGE_S = 90 * 86400
DEFAULT_RECORDS_PERIOD_S = 3600
DEFAULT_BURN_PERIOD_S = 6 * 3600
CUSTOMER_PARAMETER = "customer"

T = TypeVar("T")
Route = Callable[[HttpRequest], Awaitable[HttpResponse]]


class OperatorHandler:
    """Handles the requests of the operators' listener."""

    def __init__(
        self,
        config_editor: ConfigEditor,
        record_finder: RecordFinder,
        burn_store: BurnStore,
        reporter: FleetReporter,
        registry: CollectorRegistry,
        ready: Callable[[], bool],
        rollouts: RolloutStore,
    ) -> None:
        self._rollouts = rollouts
        self._config_editor = config_editor
        self._record_finder = record_finder
        self._burn_store = burn_store
        self._reporter = reporter
        self._registry = registry
        self._ready = ready
        self._route_by_key: dict[tuple[str, str], Route] = {
            ("GET", "/health"): self._health,
            ("GET", "/ready"): self._readiness,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._status,
            ("GET", "/bills"): self._bills,
            ("GET", "/config"): self._config,
            ("GET", "/config/history"): self._history,
            ("GET", "/config/in-force"): self._in_force,
            ("GET", "/records"): self._list_records,
            ("GET", "/burn"): self._burn,
            ("GET", "/burn/stored"): self._stored_burn,
            ("POST", "/changes"): self._apply_change,
            ("GET", "/rollouts"): self._list_rollouts,
            ("POST", "/rollouts"): self._start_rollout,
            ("POST", "/rollouts/halt"): self._halt_rollout,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request.

        Raises:
            RequestError: If there is no such resource, or if a parameter or the body is invalid.
            NotReadyError: If readiness is requested and the daemon is not ready.
        """
        if request.method == "GET" and request.path.startswith(EXPLAIN_PREFIX):
            return json_response(await self._explain(request.path.removeprefix(EXPLAIN_PREFIX)))
        route = self._route_by_key.get((request.method, request.path))
        if route is None:
            raise RequestError(f"no resource at {request.path}", ResultCode.NOT_FOUND)
        return await route(request)

    async def _health(self, request: HttpRequest) -> HttpResponse:
        return json_response(Health("alive"))

    async def _readiness(self, request: HttpRequest) -> HttpResponse:
        if not self._ready():
            raise NotReadyError("the instance is not ready")
        return json_response(Health("ready"))

    async def _metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, generate_latest(self._registry), METRICS_TYPE)

    async def _status(self, request: HttpRequest) -> HttpResponse:
        return json_response(await self._reporter.state())

    async def _in_force(self, request: HttpRequest) -> HttpResponse:
        return json_response(
            await self._reporter.in_force(_integer_parameter(request, "revision", 0))
        )

    async def _config(self, request: HttpRequest) -> HttpResponse:
        revision = _integer_parameter(request, "revision", 0)
        if not revision:
            return json_response(self._config_editor.config)
        return json_response(await self._config_at(revision))

    async def _config_at(self, revision: int) -> FleetConfig:
        config = FleetConfig()
        while config.revision < revision:
            limit = min(MAX_CHANGES_PER_READ, revision - config.revision)
            records = await self._config_editor.history(config.revision, limit)
            if not records:
                raise RequestError(f"there is no revision {revision}", ResultCode.NOT_FOUND)
            for record in records:
                config = apply_change(config, record)
        return config

    async def _history(self, request: HttpRequest) -> HttpResponse:
        limit = min(MAX_CHANGES_PER_READ, _integer_parameter(request, "limit", 20))
        newest = self._config_editor.config.revision
        after = _integer_parameter(request, "after", max(0, newest - limit))
        records: list[ChangeRecord] = await self._config_editor.history(after, limit)
        return json_response(records)

    async def _apply_change(self, request: HttpRequest) -> HttpResponse:
        edit = _decode_body(request, Edit)
        if isinstance(edit.change, SetContract):
            problems = contract_problems(edit.change.contract)
            if problems:
                raise ContractError("; ".join(problems))
        revision = await self._config_editor.apply(
            edit.change, edit.edit_id, edit.author, edit.expected_revision
        )
        return json_response(Accepted(revision))

    async def _list_rollouts(self, request: HttpRequest) -> HttpResponse:
        return json_response([rollout for rollout, _ in await self._rollouts.all()])

    async def _start_rollout(self, request: HttpRequest) -> HttpResponse:
        rollout = _decode_body(request, Rollout)
        versions = self._config_editor.config.version_by_id
        unknown = {rollout.version_id, rollout.replaces} - {"", *versions}
        if unknown:
            raise RequestError(f"no version {', '.join(sorted(unknown))}", ResultCode.NOT_FOUND)
        await self._rollouts.start(rollout)
        return json_response(rollout, 201)

    async def _halt_rollout(self, request: HttpRequest) -> HttpResponse:
        halt = _decode_body(request, HaltRollout)
        return json_response(await self._rollouts.set_halted(halt.model, halt.halted))

    async def _bills(self, request: HttpRequest) -> HttpResponse:
        since = _time_parameter(request, "since", time() - DAY_S, time())
        customer = request.query.get(CUSTOMER_PARAMETER, "")
        settlement = await self._record_finder.settlement(since)
        bills = [
            Bill(
                line.customer,
                line.day,
                line.version_id,
                line.requests,
                line.unknown,
                line.cost_micros,
            )
            for line in settlement.lines
            if customer in ("", line.customer)
        ]
        open_count = sum(customer in ("", intent.customer) for intent in settlement.open)
        return json_response(BillReport(tuple(bills), open_count, settlement.missing))

    async def _explain(self, request_id: str) -> RequestRecord:
        record = await self._record_finder.find(request_id)
        if record is None:
            raise RequestError(f"no record of request {request_id}", ResultCode.NOT_FOUND)
        return record

    async def _list_records(self, request: HttpRequest) -> HttpResponse:
        since = _time_parameter(request, "since", time() - DEFAULT_RECORDS_PERIOD_S, time())
        records = await self._record_finder.since(since, request.query.get(CUSTOMER_PARAMETER, ""))
        limit = min(MAX_RECORDS, _integer_parameter(request, "limit", MAX_RECORDS))
        return json_response(records[-limit:])

    async def _burn(self, request: HttpRequest) -> HttpResponse:
        return json_response(self._burn_store.pending())

    async def _stored_burn(self, request: HttpRequest) -> HttpResponse:
        end = _time_parameter(request, "to", time(), time())
        start = _time_parameter(request, "from", end - DEFAULT_BURN_PERIOD_S, time())
        return json_response(await self._burn_store.stored(start, end))


def _decode_body(request: HttpRequest, body_type: type[T]) -> T:
    try:
        return decode(request.body, type=body_type)
    except (ValidationError, ValueError) as error:
        raise RequestError(f"invalid request body: {error}") from error


def _integer_parameter(request: HttpRequest, name: str, default: int) -> int:
    text = request.query.get(name, "")
    if text and not (text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS):
        raise RequestError(f"parameter {name} = {text!r}: must be an integer from 0")
    return int(text) if text else default


def _time_parameter(request: HttpRequest, name: str, default: float, now: float) -> float:
    """Return a time parameter in seconds since the epoch.

    The bounds limit how much stored data a request can read.

    Raises:
        RequestError: If it is no number or outside the bounds.
    """
    try:
        value = float(request.query.get(name, default))
    except ValueError:
        value = nan
    if not now - MAX_QUERY_AGE_S <= value <= now + DAY_S:
        raise RequestError(
            f"parameter {name}: must be a time in the last {MAX_QUERY_AGE_S // DAY_S} days"
        )
    return value
