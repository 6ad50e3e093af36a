"""Processor time of the data path: the daemon beside a bare h11 relay, in one run.

Usage: python -m bench.relay [streams] [tokens] [token_gap_ms] [rounds]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from msgspec import Struct
from msgspec.json import encode

from bench.processes import MeasuredProcess, start_daemon, start_module
from comfreyhatch.adapters.http_client import HttpClient
from comfreyhatch.domain.change import Change, ChangeRecord, SetContract, SetVersion
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.ports.engine import GenerateRequest
from comfreyhatch.ports.table import Insert
from comfreyhatch.standins.fleet import API_KEY, CONTRACT, LARGE, SMALL
from comfreyhatch.standins.platform import PlatformStandin

HEADERS = {"authorization": f"Bearer {API_KEY}"}


class Figures(Struct):
    """One row of the result."""

    name: str
    chunks: int
    requests: int
    processor_s: float
    memory_start_mb: float
    memory_end_mb: float

    def row(self) -> str:
        """Return the row as Markdown."""
        return (
            f"| {self.name} | {self.requests} | {self.chunks} "
            f"| {self.processor_s / self.chunks * 1e6:.1f} "
            f"| {self.memory_start_mb:.1f} | {self.memory_end_mb:.1f} |"
        )


async def run(streams: int, tokens: int, gap_s: float, rounds: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        source = await start_module(
            folder, "source", "bench.token_source", str(gap_s), SMALL.version_id, "100000"
        )
        await source.wait_for_addresses(("engine",))
        engine = source.address_by_name["engine"]
        bare = await start_module(folder, "bare", "bench.bare_relay", engine.host, str(engine.port))
        await bare.wait_for_addresses(("relay",))
        platform = PlatformStandin()
        await platform.start()
        platform.put_instance(Instance("engine-a0", Role.ENGINE, "a", engine))
        configure(platform, [SetVersion(SMALL), SetVersion(LARGE), SetContract(CONTRACT)])
        daemon = await start_daemon(folder, "entry-a0", "a", platform.address)
        try:
            await wait_until_served(daemon.address_by_name["callers"])
            print("| relay | requests | chunks | us of processor a chunk | MB before | MB after |")
            print("| --- | --- | --- | --- | --- | --- |")
            for _ in range(rounds):
                body = encode(GenerateRequest("r", SMALL.version_id, (), tokens, 5))
                relay = bare.address_by_name["relay"]
                print((await measure("bare h11", bare, relay, body, streams, tokens)).row())
                chat = chat_body(tokens)
                callers = daemon.address_by_name["callers"]
                print((await measure("daemon", daemon, callers, chat, streams, tokens)).row())
            one = chat_body(1)
            requests = await measure("daemon, 1 token", daemon, callers, one, streams * 10, 1)
            print(requests.row())
        finally:
            for process in (daemon, bare, source):
                await process.end()
            await platform.stop()


def configure(platform: PlatformStandin, changes: list[Change]) -> None:
    for revision, change in enumerate(changes, start=1):
        record = ChangeRecord(revision, f"bench-{revision}", "bench", 0.0, change)
        platform.table.commit_now([Insert(f"change/{revision:012d}", encode(record))])
    platform.table.commit_now([Insert("head", b"%d" % len(changes))])


def chat_body(tokens: int) -> bytes:
    messages = [{"role": "user", "content": "a question"}]
    return encode({"messages": messages, "max_tokens": tokens, "stream": True})


async def wait_until_served(callers: Address) -> None:
    client = HttpClient()
    async with asyncio.timeout(30):
        while True:
            reply = await client.request(
                callers, "POST", "/v1/chat/completions", chat_body(1), HEADERS
            )
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)


async def measure(
    name: str, process: MeasuredProcess, to: Address, body: bytes, streams: int, tokens: int
) -> Figures:
    client = HttpClient()
    before = process.use()
    replies = await asyncio.gather(
        *(
            client.request(to, "POST", "/v1/chat/completions", body, HEADERS, timeout_s=300)
            for _ in range(streams)
        )
    )
    await asyncio.sleep(0.2)
    after = process.use()
    client.close()
    whole = sum(reply.status == 200 for reply in replies)
    assert whole == streams, f"{streams - whole} of {streams} answers failed"
    return Figures(
        name,
        chunks=streams * tokens,
        requests=streams,
        processor_s=after.processor_s - before.processor_s,
        memory_start_mb=before.memory_bytes / 1e6,
        memory_end_mb=after.memory_bytes / 1e6,
    )


if __name__ == "__main__":
    given = [float(argument) for argument in sys.argv[1:]]
    streams, tokens, gap_ms, rounds = given + [100, 300, 28, 3][len(given) :]
    asyncio.run(run(int(streams), int(tokens), gap_ms / 1000, int(rounds)))
