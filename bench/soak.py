"""Memory of a daemon over many requests: resident memory after each round.

Usage: python -m bench.soak [rounds] [requests_a_round] [at_once] [tokens]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from bench.processes import MeasuredProcess, start_daemon, start_module
from bench.relay import HEADERS, chat_body, configure, wait_until_served
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.change import SetContract, SetVersion
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.standins.fleet import CONTRACT, SMALL
from comfreyhatch.standins.platform import PlatformStandin

SETTLE_S = 1.0


async def run(rounds: int, requests: int, at_once: int, tokens: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        platform = PlatformStandin()
        await platform.start()
        configure(platform, [SetVersion(SMALL), SetContract(CONTRACT)])
        source = await start_module(
            folder, "source", "bench.token_source", "0.002", SMALL.version_id, str(at_once)
        )
        await source.wait_for_addresses(("engine",))
        engine = source.address_by_name["engine"]
        platform.put_instance(Instance("engine-a0", Role.ENGINE, "a", engine))
        daemon = await start_daemon(folder, "entry-a0", "a", platform.address)
        try:
            await wait_until_served(daemon.address_by_name["callers"])
            print("| requests so far | resident MB | us of processor a request | refused |")
            print("| --- | --- | --- | --- |")
            for number in range(1, rounds + 1):
                await one_round(daemon, number * requests, requests, at_once, tokens)
        finally:
            await daemon.end()
            await source.end()
            await platform.stop()


async def one_round(
    daemon: MeasuredProcess, so_far: int, requests: int, at_once: int, tokens: int
) -> None:
    before = daemon.use()
    client = HttpClient()
    callers = daemon.address_by_name["callers"]
    shares = [requests // at_once] * at_once
    refused = await asyncio.gather(*(send(client, callers, count, tokens) for count in shares))
    client.close()
    after = daemon.use()
    await asyncio.sleep(SETTLE_S)
    cost = (after.processor_s - before.processor_s) / sum(shares) * 1e6
    memory = daemon.use().memory_bytes / 1e6
    print(f"| {so_far} | {memory:.1f} | {cost:.0f} | {sum(refused)} |", flush=True)


async def send(client: HttpClient, callers: Address, count: int, tokens: int) -> int:
    refused = 0
    for _ in range(count):
        body = chat_body(tokens)
        reply = await client.request(
            callers, "POST", "/v1/chat/completions", body, HEADERS, timeout_s=60
        )
        refused += reply.status != 200
    return refused


if __name__ == "__main__":
    given = [int(argument) for argument in sys.argv[1:]]
    rounds, requests, at_once, tokens = given + [10, 2000, 50, 4][len(given) :]
    asyncio.run(run(rounds, requests, at_once, tokens))
