"""What is done to a fleet of processes while its callers send requests."""

import asyncio
from functools import partial
from time import monotonic

from tests.faulty_link import LinkFault
from tests.fleet_plan import SIZE_BY_SERVICE
from tests.platform_processes import Fleet

# From one silence to the next, which lets what one delays fall together with the next.
PERIOD_S = 6.0
# Load from the begin of the last silence.
TAIL_S = 3.0
# Silences of a play with mixed disturbances.
SHORTEST_S = 0.5
LONGEST_S = 6.0
LONGEST_DOWN_S = 2.0
# Share of the disturbances that come with a new configuration, and of the ends that are kills.
CHANGED_SHARE = 0.4
KILLED_SHARE = 0.7
# Time from one signal of a series to the next, in which a daemon that has ended is ready again.
SERIES_GAP_S = 0.3
# Kills of all daemons in series, each from this time after the begin of a silence on.
KILL_ROUNDS = 3
KILL_S = 1.0
KILL_DOWN_S = 0.1
KILL_GAP_S = 0.2
CALM_S = 2.5
# A load that falls this time after the begin of a silence, in multiples of `RATES`.
HIGH_LOAD = 4.0
LOW_LOAD = 0.05
FALL_S = 2.0
# A load that rises and falls by turns.
WAVE_LOADS = (2.0, 0.3)
WAVE_S = 2.0
WAVE_SILENCE_S = (1.0, 3.0)
CHANGES: list[dict[str, object]] = [
    {"idle_timeout_ms": 400},
    {"timeout_ms": 4500},
    {"read_service": "engines"},
    {"idle_timeout_ms": 1000, "timeout_ms": 5500},
]


async def play(
    fleet: Fleet, rounds: int, first_s: float, silence_s: tuple[float, float] = (1.0, 1.3)
) -> None:
    """Send requests while all endpoints of a service, then 0.6 of them, and so on, fall silent.

    Each silence begins just after a new configuration, the first one after `first_s`.

    Args:
        fleet: The fleet.
        rounds: Number of silences.
        first_s: Time until the first one, in seconds.
        silence_s: Shortest and longest silence, in seconds.
    """
    load_s = first_s + (rounds - 1) * PERIOD_S + TAIL_S
    load = asyncio.create_task(fleet.load(load_s))
    service = fleet.rng.choice(list(SIZE_BY_SERVICE))
    first_at = monotonic() + first_s
    for number in range(rounds):
        silent_at = first_at + number * PERIOD_S + fleet.rng.uniform(0.0, 0.3)
        await asyncio.sleep(silent_at - fleet.rng.uniform(0.1, 0.6) - monotonic())
        fleet.configure(**CHANGES[number % len(CHANGES)])
        await asyncio.sleep(silent_at - monotonic())
        await fleet.silence(service, 0.6 if number % 2 else 1.0, fleet.rng.uniform(*silence_s))
    await load


async def play_mixed(fleet: Fleet, disturbances: int, first_s: float, mean_gap_s: float) -> None:
    """Send requests while disturbances of all kinds come one after the other, and overlap."""
    tasks = []
    rng = fleet.rng
    gaps = [first_s, *(rng.expovariate(1 / mean_gap_s) for _ in range(disturbances - 1))]
    load = asyncio.create_task(fleet.load(sum(gaps) + LONGEST_S + TAIL_S))
    for gap_s in gaps:
        await asyncio.sleep(gap_s)
        tasks.append(asyncio.create_task(_disturb(fleet)))
        if rng.random() < CHANGED_SHARE:
            fleet.configure(**rng.choice(CHANGES))
    await asyncio.gather(load, *tasks)


async def play_each(fleet: Fleet, first_s: float) -> None:
    """Send requests while processes are stopped, killed and restarted, each kind once.

    Args:
        fleet: The fleet.
        first_s: Time until the first disturbance, in seconds.
    """
    rng = fleet.rng
    ended = asyncio.Event()
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(first_s)
    silent, killed = rng.sample(list(SIZE_BY_SERVICE), 2)
    for_s, daemons_for_s = (rng.uniform(SHORTEST_S, 2.0) for _ in range(2))
    kinds = [
        partial(fleet.silence, silent, 0.4, for_s),
        partial(fleet.crash, killed, rng.uniform(0.0, 1.0)),
        partial(fleet.silence_daemons, 0.3, daemons_for_s),
        partial(fleet.restart_daemon, True, rng.uniform(0.0, 1.0)),
        partial(fleet.restart_daemon, False, 0.0),
    ]
    tasks = []
    for kind in rng.sample(kinds, len(kinds)):
        tasks.append(asyncio.create_task(kind()))
        await asyncio.sleep(rng.uniform(0.3, 1.5))
    await asyncio.gather(*tasks)
    await asyncio.sleep(TAIL_S)
    ended.set()
    await load


async def _disturb(fleet: Fleet) -> None:
    """Disturb a part of the fleet that is drawn, for a time that is drawn."""
    rng = fleet.rng
    service = rng.choice(list(SIZE_BY_SERVICE))
    share = rng.choice((0.4, 0.6, 1.0))
    for_s = rng.uniform(SHORTEST_S, LONGEST_S)
    down_s = rng.uniform(0.0, LONGEST_DOWN_S)
    kinds = [
        partial(fleet.silence, service, share, for_s),
        partial(fleet.silence, service, share, for_s),
        partial(fleet.refuse, service, share, for_s),
        partial(fleet.crash, service, down_s),
        partial(fleet.silence_daemons, share / 2, for_s),
        partial(fleet.restart_daemon, rng.random() < KILLED_SHARE, down_s),
    ]
    if fleet.plan.signals:
        kinds.append(partial(fleet.restart_in_series, SERIES_GAP_S))
        kinds.append(partial(fleet.reload_in_series, SERIES_GAP_S))
    await rng.choice(kinds)()


async def play_kills(
    fleet: Fleet, service: str, share: float, silence_s: tuple[float, float]
) -> None:
    """Send requests while all daemons are killed one after the other beside silent endpoints.

    Args:
        fleet: The fleet.
        service: Service whose endpoints fall silent, three times.
        share: Share of these endpoints.
        silence_s: Shortest and longest silence, in seconds.
    """
    ended = asyncio.Event()
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(fleet.plan.window_s + 0.5)
    for _ in range(KILL_ROUNDS):
        silence = asyncio.create_task(fleet.silence(service, share, fleet.rng.uniform(*silence_s)))
        await asyncio.sleep(KILL_S)
        await fleet.kill_in_series(KILL_DOWN_S, KILL_GAP_S)
        await silence
        await asyncio.sleep(CALM_S)
    ended.set()
    await load


async def play_falling_load(fleet: Fleet, service: str, silence_s: float) -> None:
    """Let a service fall silent at a high load, which falls soon after.

    Args:
        fleet: The fleet.
        service: The service.
        silence_s: Length of the silence, in seconds.
    """
    ended = asyncio.Event()
    fleet.set_load(HIGH_LOAD)
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(fleet.plan.window_s + FALL_S)
    silence = asyncio.create_task(fleet.silence(service, 1.0, silence_s))
    await asyncio.sleep(FALL_S)
    fleet.set_load(LOW_LOAD)
    await silence
    await asyncio.sleep(TAIL_S)
    ended.set()
    await load


async def play_waves(fleet: Fleet, waves: int) -> None:
    """Let the load rise and fall by turns, while a part of a service falls silent in each wave."""
    ended = asyncio.Event()
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(fleet.plan.window_s)
    service = fleet.rng.choice(list(SIZE_BY_SERVICE))
    for number in range(waves):
        fleet.set_load(WAVE_LOADS[number % len(WAVE_LOADS)])
        silence_s = fleet.rng.uniform(*WAVE_SILENCE_S)
        silence = fleet.silence(service, fleet.rng.choice((0.6, 1.0)), silence_s)
        await asyncio.gather(silence, asyncio.sleep(WAVE_S))
    await asyncio.sleep(TAIL_S)
    ended.set()
    await load


async def play_wide(fleet: Fleet, disturbances: int) -> None:
    """Send requests while kills in series, silences, faults of links and others overlap.

    The load rises and falls, the store is silent at times, and silences may outlast two windows.
    """
    rng = fleet.rng
    ended = asyncio.Event()
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(fleet.plan.window_s + 0.5)
    tasks = []
    for _ in range(disturbances):
        tasks.append(asyncio.create_task(_disturb_widely(fleet)))
        if rng.random() < CHANGED_SHARE:
            fleet.set_load(rng.choice((*WAVE_LOADS, 1.0, LOW_LOAD)))
        await asyncio.sleep(rng.uniform(0.5, 3.0))
    await asyncio.gather(*tasks)
    fleet.set_load(1.0)
    await asyncio.sleep(TAIL_S)
    ended.set()
    await load


async def _disturb_widely(fleet: Fleet) -> None:
    rng = fleet.rng
    service = rng.choice(list(SIZE_BY_SERVICE))
    share = rng.choice((0.4, 0.6, 0.8, 1.0))
    for_s = rng.uniform(SHORTEST_S, 2.5 * fleet.plan.window_s)
    short_s = rng.uniform(SHORTEST_S, LONGEST_DOWN_S)
    kinds = [
        partial(fleet.silence, service, share, for_s),
        partial(fleet.refuse, service, share, short_s),
        partial(fleet.silence_store, for_s),
        partial(fleet.kill_in_series, KILL_DOWN_S, KILL_GAP_S),
        partial(fleet.crash, service, short_s),
    ]
    if fleet.plan.has_links:
        fault = rng.choice(list(LinkFault))
        kinds += 2 * [partial(fleet.break_links, service, share, fault, for_s)]
    await rng.choice(kinds)()


async def play_planned(fleet: Fleet, first_s: float, rounds: int) -> None:
    """Send requests while daemons get signals one after the other, and endpoints are disturbed.

    No daemon is killed or stopped and no endpoint is killed, so that each request that reached an
    endpoint has to end with an answer. Each round has a configuration, a silence and refusals that
    overlap.

    Args:
        fleet: The fleet.
        first_s: Time until the first round, in seconds.
        rounds: Number of rounds, of which each has all daemons signalled once.
    """
    rng = fleet.rng
    ended = asyncio.Event()
    load = asyncio.create_task(fleet.load_until(ended))
    await asyncio.sleep(first_s)
    for number in range(rounds):
        fleet.configure(**CHANGES[number % len(CHANGES)])
        silent, refusing = rng.sample(list(SIZE_BY_SERVICE), 2)
        series = fleet.reload_in_series if number % 2 else fleet.restart_in_series
        await asyncio.gather(
            series(SERIES_GAP_S),
            fleet.silence(silent, 0.6, rng.uniform(SHORTEST_S, 2.0)),
            fleet.refuse(refusing, 0.6, rng.uniform(SHORTEST_S, 2.0)),
        )
    await asyncio.sleep(TAIL_S)
    ended.set()
    await load
