"""Metrics count what records say, under a bounded number of label sets."""

from prometheus_client import CollectorRegistry, generate_latest

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.adapters.http_link import AnswerFault, AnswerPart
from comfreyhatch.adapters.metrics import (
    VERSIONS_NAMED,
    OddAnswerMetrics,
    RequestMetrics,
    add_gauge,
    add_process_metrics,
)
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.record import Attempt, RequestRecord
from comfreyhatch.domain.request import Usage


def record(version_id: str, code: ResultCode = ResultCode.OK) -> RequestRecord:
    attempt = Attempt(
        "engine-a",
        version_id,
        "entry-a",
        "a",
        code,
        Ran.YES,
        0.0,
        0.5,
        usage=Usage(10, 20),
        cost_micros=7,
    )
    return RequestRecord(
        "r", "c", 0.0, "entry-a", "i", 1, "chat", attempts=(attempt,), code=code, first_token_s=0.1
    )


def test_requests_attempts_tokens_and_cost_are_counted() -> None:
    registry = CollectorRegistry()
    metrics = RequestMetrics(registry)
    metrics.observe(record("m@1"))
    metrics.observe(record("m@1", ResultCode.ENDPOINT_FAILED))

    def value(name: str, **labels: str) -> float | None:
        return registry.get_sample_value(f"comfreyhatch_{name}", labels)

    assert value("requests_total", kind="chat", code="0") == 1
    assert value("requests_total", kind="chat", code="3005") == 1
    assert value("tokens_total", version="m@1", direction="output") == 40
    assert value("cost_micros_total", version="m@1") == 14
    assert value("first_token_seconds_count") == 2


def test_number_of_series_is_bounded() -> None:
    registry = CollectorRegistry()
    metrics = RequestMetrics(registry)
    for number in range(VERSIONS_NAMED * 3):
        metrics.observe(record(f"m@{number}"))
    other = {"version": "other", "code": "0"}
    assert registry.get_sample_value("comfreyhatch_attempts_total", other) == VERSIONS_NAMED * 2
    assert generate_latest(registry).count(b"comfreyhatch_cost_micros_total{") == VERSIONS_NAMED + 1


def test_gauges_are_read_when_asked_for() -> None:
    registry = CollectorRegistry()
    revision = 3
    add_gauge(registry, "revision", "Revision in force.", lambda: revision)
    add_process_metrics(registry)
    revision = 4
    assert registry.get_sample_value("comfreyhatch_revision") == 4
    assert b"process_cpu_seconds_total" in generate_latest(registry)


def test_answers_that_are_too_large_are_summed_over_clients() -> None:
    registry = CollectorRegistry()
    clients = [HttpClient(), HttpClient()]
    OddAnswerMetrics(registry, lambda: clients)
    for client in clients:
        client.too_large_by_part[AnswerPart.EVENT] += 2
    name = "comfreyhatch_answers_too_large_total"
    assert registry.get_sample_value(name, {"part": "event"}) == 4
    assert registry.get_sample_value(name, {"part": "head"}) == 0


def test_rejected_answers_are_summed_over_clients() -> None:
    registry = CollectorRegistry()
    clients = [HttpClient(), HttpClient()]
    OddAnswerMetrics(registry, lambda: clients)
    for client in clients:
        client.rejected_by_fault[AnswerFault.STATUS] += 2
    name = "comfreyhatch_answers_rejected_total"
    assert registry.get_sample_value(name, {"reason": "status"}) == 4
    assert registry.get_sample_value(name, {"reason": "request_unsent"}) == 0
