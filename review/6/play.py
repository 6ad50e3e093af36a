"""The operator adds a streaming route that may not be resumed and names several models."""

import asyncio
from collections import Counter
from time import monotonic

from review.standins.config import DESK_SERVICE, DRAFT_SERVICE, config
from review.standins.http1 import Connection, Request
from review.standins.script import Run, Scene, Worker, main

MODELS = ["daka510000", "rada7437b5", "ravo486f6a"]
# What the models think of their answers, from 0 to 100, smallest first.
CONFIDENCE_BY_MODEL = dict(zip(MODELS, (20, 60, 95), strict=True))
# A streaming route without `resumable` whose requesters name the model; it is always there.
ONCE = "/tugo662/"
# The one that the operator adds: the system names one of several models.
ADDED = "/wexa119/"
RATE_PER_S = 8
BEFORE_S = 4.0
AFTER_S = 15.0
# The bound `config_apply_ms` of the settings.
CONFIG_S = 2.0


class ModelWorker(Worker):
    """A worker that serves several models and names its confidence; others get 421."""

    async def work(
        self, run: Run, request: Request, connection: Connection, own: dict[str, str]
    ) -> None:
        confidence = CONFIDENCE_BY_MODEL[request.headers["model"]]
        await super().work(run, request, connection, {**own, "confidence": str(confidence)})

    def serves(self, request: Request) -> bool:
        return request.headers.get("model", "") in MODELS


def routes(version: int, adds: bool) -> dict:
    """Return the configuration with one or two streaming routes that may not be resumed."""
    found = config(version)
    (draft,) = [route for route in found["routes"] if route["name"] == "draft"]
    once = {**draft, "name": "once", "prefix": ONCE, "resumable": False}
    found["routes"].append(once)
    if adds:
        found["routes"].append({**once, "name": "added", "prefix": ADDED, "sizes": MODELS})
    return found


async def requests(scene: Scene, model_by_path: dict[str, str], for_s: float) -> list[str]:
    """Send requests on some routes in turn, and return their ids."""
    tasks = []
    until = monotonic() + for_s
    while monotonic() < until:
        number = len(tasks)
        daemon = scene.fleet.daemons[number % len(scene.fleet.daemons)]
        path, model = list(model_by_path.items())[number % len(model_by_path)]
        tasks.append(asyncio.ensure_future(scene.send(daemon, f"{path}2f", model=model)))
        await asyncio.sleep(1 / RATE_PER_S)
    return [request_id for request_id, _ in await asyncio.gather(*tasks)]


async def play(scene: Scene) -> bool:
    scene.store.put("op", "config", routes(1, False))
    models = [
        ModelWorker(scene.store, f"i-model{n}", DRAFT_SERVICE, z) for n, z in enumerate("abc")
    ]
    desk = [Worker(scene.store, f"i-desk{n}", DESK_SERVICE, z) for n, z in enumerate("ab")]
    await scene.start(["a", "b", "c"], [*models, *desk])
    model_by_path = {ONCE: MODELS[0]}
    sent = await requests(scene, model_by_path, BEFORE_S)
    if scene.trouble:
        scene.note("the operator adds a route")
        scene.store.put("op", "config", routes(2, True))
        model_by_path[ADDED] = "*"
    await asyncio.sleep(2 * CONFIG_S)
    sent += await requests(scene, model_by_path, AFTER_S)
    runs = Counter(run.request_id for worker in models for run in worker.runs)
    twice = [request_id for request_id in sent if runs[request_id] > 1]
    scene.result(
        f"{len(sent)} requests on streaming routes that may not be resumed;"
        f" run more than once: {len(twice)}, most often {max(runs[i] for i in sent)} times"
    )
    return not twice


main(__file__, play)
