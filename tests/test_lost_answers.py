"""Which lost answers are faults of a version, and which of an endpoint or a path."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from comfreyhatch.decisions.endpoint_tracker import EndpointTracker
from comfreyhatch.decisions.lost_answers import (
    BUFFERED_S,
    SAME_MOMENT_S,
    LossJudge,
    LossVerdict,
    LostAnswer,
)
from comfreyhatch.domain.catalog import Catalog
from comfreyhatch.domain.endpoint import EndpointList
from comfreyhatch.domain.operations import Operations, RolloutOrder
from comfreyhatch.exchange.lost_answers import MAX_WAITING, Look, Loss, LostAnswers
from comfreyhatch.exchange.observed_attempt import ObservedAttempt
from comfreyhatch.exchange.view import FleetView
from tests.exchange_values import job, record

VERSION, SAME, BREAKDOWN, PATH = (
    LossVerdict.VERSION,
    LossVerdict.SAME_EVENT,
    LossVerdict.BREAKDOWN,
    LossVerdict.PATH,
)
ENDPOINTS = 4
HEARD = {f"e{number}": 0.0 for number in range(ENDPOINTS)}


@pytest.fixture
def judge() -> LossJudge:
    return LossJudge()


def lost(
    endpoint_id: str,
    sent_at: float,
    lost_at: float,
    heard_at: float = 0.0,
    is_target: bool = True,
    is_shared: bool = True,
) -> LostAnswer:
    return LostAnswer(endpoint_id, is_target, is_shared, sent_at, lost_at, heard_at)


def verdicts(judge: LossJudge, found: list[LostAnswer], is_alive: bool = True) -> list[LossVerdict]:
    for item in found:
        judge.note(item)
    return [judge.judge(item, is_alive, HEARD) for item in found]


def test_each_request_that_a_live_endpoint_loses_counts(judge: LossJudge) -> None:
    found = [lost("e1", float(at), at + 0.02) for at in range(1, 6)]
    assert verdicts(judge, found) == [VERSION] * 5


def test_connections_that_are_reset_at_once_count_as_one(judge: LossJudge) -> None:
    # A reset of all connections to a live endpoint looked like many failures of its version.
    found = [lost("e1", at, 5.0) for at in (1.0, 2.0, 3.0)]
    assert verdicts(judge, found) == [VERSION, SAME, SAME]


def test_streams_that_break_one_by_one_beside_others_count_each(judge: LossJudge) -> None:
    # All are under way at the same time, and the endpoint goes on sending to the others.
    found = [lost("e1", 1.0 + at / 10, 5.0 + at, heard_at=4.9 + at) for at in range(4)]
    assert verdicts(judge, found) == [VERSION] * 4


def test_what_was_received_before_a_reset_does_not_tell_it_from_the_next_loss(
    judge: LossJudge,
) -> None:
    found = [lost("e1", 1.0, 5.0), lost("e1", 1.1, 5.01, heard_at=5.0 + BUFFERED_S / 2)]
    assert verdicts(judge, found) == [VERSION, SAME]


def test_requests_without_an_answer_at_a_live_endpoint_count_each(judge: LossJudge) -> None:
    found = [lost("e1", at, at + 1.0, is_shared=False) for at in (1.0, 1.3, 1.6)]
    assert verdicts(judge, found) == [VERSION] * 3


def test_connections_of_several_endpoints_that_are_reset_at_once_count_as_one(
    judge: LossJudge,
) -> None:
    found = [lost(f"e{n}", 1.0, 5.0 + n * SAME_MOMENT_S / 10) for n in range(4)]
    assert verdicts(judge, found) == [VERSION, SAME, SAME, SAME]


def test_loss_of_both_versions_at_once_is_due_to_the_path(judge: LossJudge) -> None:
    found = [lost("new", 1.0, 5.0), lost("old", 1.0, 5.01, is_target=False)]
    assert verdicts(judge, found) == [PATH, PATH]


def test_crash_of_an_endpoint_does_not_count_whatever_it_takes(judge: LossJudge) -> None:
    found = [lost("e1", at, 5.0) for at in (1.0, 2.0, 4.99)]
    assert verdicts(judge, found, is_alive=False) == [BREAKDOWN, SAME, SAME]
    late = [lost("e1", 5.2, 6.2), lost("e1", 5.4, 6.4)]
    assert verdicts(judge, late, is_alive=False) == [SAME, SAME]


def test_request_that_an_endpoint_left_as_it_paused_does_not_count_once_it_goes_on(
    judge: LossJudge,
) -> None:
    # The endpoint went on just before it was asked, and a pause of one endpoint delayed a sound
    # version by a second and more.
    assert verdicts(judge, [lost("e1", 1.0, 1.3)], is_alive=False) == [BREAKDOWN]
    assert verdicts(judge, [lost("e1", 1.0, 2.0, is_shared=False)]) == [SAME]
    assert verdicts(judge, [lost("e1", 3.0, 4.0, heard_at=2.5)]) == [VERSION]


def test_endpoint_that_breaks_down_again_after_it_was_heard_counts(judge: LossJudge) -> None:
    assert verdicts(judge, [lost("e1", 1.0, 2.0)], is_alive=False) == [BREAKDOWN]
    assert verdicts(judge, [lost("e1", 4.0, 5.0, heard_at=3.5)], is_alive=False) == [VERSION]


def test_breakdowns_of_each_endpoint_once_do_not_count(judge: LossJudge) -> None:
    found = [lost(f"e{n}", 1.0, 2.0 + n) for n in range(ENDPOINTS - 1)]
    assert verdicts(judge, found, is_alive=False) == [BREAKDOWN] * (ENDPOINTS - 1)


def test_version_none_of_whose_endpoints_answers_is_at_fault(judge: LossJudge) -> None:
    found = [lost(f"e{n % ENDPOINTS}", 1.0 + n, 2.0 + n) for n in range(2 * ENDPOINTS)]
    expected = [BREAKDOWN] * (ENDPOINTS - 1) + [VERSION] * (ENDPOINTS + 1)
    assert verdicts(judge, found, is_alive=False) == expected


def test_all_endpoints_that_break_down_together_with_the_other_version_are_no_fault(
    judge: LossJudge,
) -> None:
    # As at a daemon that is cut off.
    assert verdicts(judge, [lost("old", 1.0, 2.0, is_target=False)], is_alive=False) == [BREAKDOWN]
    found = [lost(f"e{n}", 1.0, 2.1 + n / 10) for n in range(ENDPOINTS)]
    assert verdicts(judge, found, is_alive=False) == [BREAKDOWN] * ENDPOINTS


def test_version_whose_endpoints_break_down_and_come_back_under_new_ids_is_at_fault(
    judge: LossJudge,
) -> None:
    found = [lost(f"x{n}", 1.0 + n, 2.0 + n) for n in range(ENDPOINTS + 2)]
    assert verdicts(judge, found, is_alive=False)[ENDPOINTS:] == [VERSION, VERSION]


class Endpoints:
    """Endpoints that are alive or not.

    Attributes:
        accepts: Whether connections are accepted.
        health: Whether the health path is answered; None if there is none.
        looks: Number of times that any was asked.
    """

    def __init__(self) -> None:
        self.accepts = True
        self.health: bool | None = True
        self.looks = 0

    async def accepts_connections(self, endpoint: EndpointTracker) -> bool:
        self.looks += 1
        return self.accepts

    async def answers(self, endpoint: EndpointTracker) -> bool | None:
        self.looks += 1
        return self.health


CUT = Loss("cut answer", Look.CONNECT, is_shared=True)
TIMEOUT = Loss("timeout", Look.HEALTH_PATH, is_shared=False)
ABANDONED = Loss("abandoned", Look.TRAFFIC, is_shared=False)


class Scene:
    """Lost answers of one endpoint of the target version."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.endpoints = Endpoints()
        self.lost_answers = LostAnswers(view, self.endpoints)
        self.counted = 0

    def lose(self, how: Loss, sent_at: float, lost_at: float, heard_at: float = 0.0) -> None:
        endpoint = self.view.tracker_by_id["new"]
        endpoint.last_received_at = heard_at
        attempt = ObservedAttempt(job(), endpoint, sent_at)
        self.lost_answers.add(attempt, how, self._count, lost_at)

    def _count(self) -> None:
        self.counted += 1

    async def settle(self) -> None:
        while any(not task.done() for task in self.lost_answers._tasks):
            await asyncio.sleep(0.01)


@pytest.fixture
async def scene() -> AsyncIterator[Scene]:
    view = FleetView()
    order = RolloutOrder("s", "v2", 15.0, 7)
    view.apply_operations(Operations(1, Catalog(1, {}, {}, {}), {"s": order}, frozenset()), 0, 1)
    records = {"old": record("old"), "new": record("new", version="v2")}
    view.apply_endpoints(EndpointList(1, records), 0.0)
    found = Scene(view)
    yield found
    await found.lost_answers.stop()


@pytest.mark.parametrize(("accepts", "counted"), [(True, 1), (False, 0)])
async def test_broken_connection_counts_if_the_endpoint_accepts_new_ones(
    scene: Scene, accepts: bool, counted: int
) -> None:
    scene.endpoints.accepts = accepts
    scene.lose(CUT, 1.0, 2.0)
    await scene.settle()
    assert scene.counted == counted


@pytest.mark.parametrize(("health", "counted"), [(True, 1), (False, 0), (None, 0)])
async def test_missing_answer_counts_if_the_endpoint_answers_its_health_path(
    scene: Scene, health: bool | None, counted: int
) -> None:
    scene.endpoints.health = health
    scene.lose(TIMEOUT, 1.0, 2.0)
    await scene.settle()
    assert scene.counted == counted


async def test_missing_answer_counts_without_a_health_path_if_others_came_meanwhile(
    scene: Scene,
) -> None:
    scene.endpoints.health = None
    scene.lose(TIMEOUT, 1.0, 2.0, heard_at=1.5)
    await scene.settle()
    assert scene.counted == 1


async def test_answer_that_a_hedge_has_outrun_is_judged_without_asking_the_endpoint(
    scene: Scene,
) -> None:
    scene.lose(ABANDONED, 1.0, 1.2, heard_at=1.1)
    await scene.settle()
    assert scene.counted == 1 and not scene.endpoints.looks


async def test_many_losses_at_once_need_one_look(scene: Scene) -> None:
    for _ in range(2 * MAX_WAITING):
        scene.lose(CUT, 1.0, 2.0)
    await scene.settle()
    assert scene.counted == 1 and scene.endpoints.looks == 1


async def test_losses_without_a_roll_out_are_not_judged(scene: Scene) -> None:
    scene.view.apply_operations(Operations(2, Catalog(1, {}, {}, {}), {}, frozenset()), 1.0, 1.0)
    scene.lose(CUT, 1.0, 2.0)
    await scene.settle()
    assert not scene.counted and not scene.endpoints.looks
