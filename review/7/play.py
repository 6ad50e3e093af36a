"""A bad version of the booking service is brought in: half of its responses are failures.

They have the status 503 and no `Not-Executed`, so the request was run. With `HOW=truncated` they
have the status 200 and break off.
"""

import asyncio
import os
from time import monotonic

from review.standins.config import DESK_SERVICE, DRAFT_SERVICE, PAY, VIEW
from review.standins.http1 import Connection, Request
from review.standins.script import Run, Scene, Worker, main

OLD, NEW = "v1", "v2"
RATE_PER_S = 30
BEFORE_S = 5.0
OVER_S = 16.0
AFTER_S = 14.0
BAD_SHARE = 0.5
HOW = os.environ.get("HOW", "503")
# The bounds of the rule with the figures of the settings.
EXPOSE_SHARE, EXPOSE_SLACK = 0.15, 30
BAD_ANSWERS, ROLLBACK_S = 50, 5.0


class BadWorker(Worker):
    """A worker of a bad version; `bad_at` has the times of its failures."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.bad_at: list[float] = []

    async def work(
        self, run: Run, request: Request, connection: Connection, own: dict[str, str]
    ) -> None:
        if int(run.request_id, 16) % 100 >= 100 * BAD_SHARE:
            await super().work(run, request, connection, own)
            return
        await asyncio.sleep(self.work_s)
        self.bad_at.append(monotonic())
        if HOW == "503":
            await connection.send(503, {**own, "server-stamp": "b"}, b"database is locked")
            return
        head = ["HTTP/1.1 200 S", f"attempt-id: {run.request_id}", "server-stamp: b"]
        head += ["content-length: 800", "", ""]
        connection.writer.write("\r\n".join(head).encode() + b"half of a respo")
        await connection.writer.drain()
        connection.closing = True


async def requests(scene: Scene, until: float) -> list[tuple[float, str, object]]:
    """Send bookings and look-ups in turn; return when each was sent, its id and its answer."""

    async def one(number: int) -> tuple[float, str, object]:
        daemon = scene.fleet.daemons[number % len(scene.fleet.daemons)]
        path, body = ((PAY, b"book"), (VIEW, b""))[number % 2]
        sent_at = monotonic()
        return sent_at, *await scene.send(daemon, f"{path}{number:x}", body=body, timeout_s=1.0)

    tasks = []
    while monotonic() < until:
        tasks.append(asyncio.ensure_future(one(len(tasks))))
        await asyncio.sleep(1 / RATE_PER_S)
    return await asyncio.gather(*tasks)


async def stop_old(scene: Scene, old: list[Worker]) -> None:
    """Stop the replaced workers at once when the roll-out is completed."""
    while True:
        await asyncio.sleep(0.05)
        status = scene.store.get("status", f"rollout/{DESK_SERVICE}")
        if status and status["state"] != "running":
            scene.note(f"status {status}")
            for worker in old if status["state"] == "completed" else ():
                worker.crash()
                scene.store.remove("servers", worker.worker_id)
            return


async def play(scene: Scene) -> bool:
    zones = ["a", "b", "c", "a"]
    old = [Worker(scene.store, f"i-old{n}", DESK_SERVICE, z, OLD, 6) for n, z in enumerate(zones)]
    model = Worker(scene.store, "i-model0", DRAFT_SERVICE, "a")
    await scene.start(["a", "b", "c"], [*old, model])
    load = asyncio.ensure_future(requests(scene, monotonic() + BEFORE_S + OVER_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    ordered_at = monotonic()
    kind = BadWorker if scene.trouble else Worker
    new = [kind(scene.store, f"i-new{n}", DESK_SERVICE, z, NEW, 6) for n, z in enumerate(zones)]
    for worker in new:
        scene.workers[worker.worker_id] = worker
        await worker.start("127.0.0.1")
    order = {"service": DESK_SERVICE, "to": NEW, "over_s": OVER_S}
    scene.store.put("op", f"rollout/{DESK_SERVICE}", order)
    scene.note(f"ordered {order}")
    stopping = asyncio.ensure_future(stop_old(scene, old))
    sent = await load
    stopping.cancel()
    sent_at_by_id = {request_id: sent_at for sent_at, request_id, _ in sent}
    runs = [run for worker in [*old, *new] for run in worker.runs if run.at >= ordered_at]
    in_time = [run for run in runs if run.at < ordered_at + OVER_S]
    exposed = sum(run.version == NEW for run in in_time)
    allowed = EXPOSE_SHARE * len(in_time) + EXPOSE_SLACK
    bad_at = sorted(at for worker in new for at in getattr(worker, "bad_at", ()))
    late = 0
    if len(bad_at) >= BAD_ANSWERS:
        until = bad_at[BAD_ANSWERS - 1] + ROLLBACK_S
        late = sum(run.version == NEW and sent_at_by_id[run.request_id] > until for run in runs)
    failed = sum(
        answer is None or answer.status != 200
        for sent_at, _, answer in sent
        if sent_at >= ordered_at
    )
    status = scene.store.get("status", f"rollout/{DESK_SERVICE}")
    scene.result(
        f"status {status}; {exposed} of {len(in_time)} requests on {NEW} within {OVER_S:g} s,"
        f" allowed for a bad version are {allowed:.0f}; {len(bad_at)} failures;"
        f" requests to it sent over {ROLLBACK_S:g} s after the {BAD_ANSWERS}th: {late};"
        f" {failed} requests without success"
    )
    # The rule is about bad versions: one none of whose responses failed may have any share.
    return not bad_at or (exposed <= allowed and not late)


main(__file__, play)
