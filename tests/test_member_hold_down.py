"""Hold-down of daemons that refused a request."""

from time import monotonic

from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.member_hold_down import (
    MAX_HOLD_DOWNS,
    NO_ENDPOINT_HOLD_DOWN_S,
    REFUSAL_HOLD_DOWN_S,
    MemberHoldDown,
)
from comfreyhatch.domain.change import SetZone
from comfreyhatch.errors import BackendError, RefusedError
from comfreyhatch.standins.fleet import SMALL, LocalFleet
from tests.calls import chat

OVERLOADED = RefusedError("overloaded")
NO_ENDPOINT = RefusedError("no endpoint", ResultCode.NO_ENDPOINT)


def test_hold_down_ends_and_follows_no_error_after_which_the_request_may_have_run() -> None:
    hold_down = MemberHoldDown()
    hold_down.record_refusal("d1", "v@1", OVERLOADED, 10.0)
    hold_down.record_refusal("d2", "v@1", NO_ENDPOINT, 10.0)
    hold_down.record_refusal("d3", "v@1", BackendError("broke", ran=Ran.UNKNOWN), 10.0)
    assert not hold_down.may_forward_to("d1", "v@1", 10.0)
    assert hold_down.may_forward_to("d1", "v@1", 10.0 + REFUSAL_HOLD_DOWN_S)
    assert not hold_down.may_forward_to("d2", "v@1", 10.0 + REFUSAL_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d2", "v@1", 10.0 + NO_ENDPOINT_HOLD_DOWN_S)
    assert hold_down.may_forward_to("d1", "v@2", 10.0)
    assert hold_down.may_forward_to("d3", "v@1", 10.0)


def test_number_of_hold_downs_is_bounded() -> None:
    hold_down = MemberHoldDown()
    for number in range(2 * MAX_HOLD_DOWNS):
        hold_down.record_refusal(f"d{number}", "v@1", OVERLOADED, 0.0)
    assert len(hold_down._hold_down_by_pair) == MAX_HOLD_DOWNS


async def test_request_waits_while_all_that_could_serve_it_are_in_hold_down() -> None:
    # A daemon whose zone was out refused for seconds with "not in service", as the other zone's
    # daemons had just refused another request for being full.
    async with LocalFleet() as fleet:
        await fleet.apply(SetZone("a", out=True))
        first = next(i for i in sorted(fleet.daemon_by_id) if i.startswith("entry-a"))
        router = fleet.daemon_by_id[first].router
        await fleet.until(lambda: not router._dispatcher.serves(SMALL.version_id, router._config()))
        await fleet.until(lambda: bool(router._peer_sources(SMALL.version_id)))
        for source in router._peer_sources(SMALL.version_id):
            router._hold_down.record_refusal(source.name, SMALL.version_id, OVERLOADED, monotonic())
        client = HttpClient()
        reply = await chat(client, fleet.callers(first), model=SMALL.model, max_tokens=2)
        client.close()
    assert reply.status == 200
