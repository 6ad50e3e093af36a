"""One daemon at the streams of the size in two years: processor time and token gaps.

Usage: python -m bench.peak [streams] [tokens] [token_gap_ms] [sources]
"""

import asyncio
import sys
import tempfile
from pathlib import Path
from time import monotonic

from msgspec import Struct, field

from bench.processes import MeasuredProcess, start_daemon, start_module
from bench.relay import HEADERS, chat_body, configure, wait_until_served
from comfreyhatch.domain.change import SetContract, SetVersion
from comfreyhatch.domain.instance import Address, Instance, Role
from comfreyhatch.standins.fleet import CONTRACT, SMALL
from comfreyhatch.standins.platform import PlatformStandin

READ_SIZE_BYTES = 65536
TOKEN = b"lane "
SHARES = (0.5, 0.95, 0.99)


class Arrivals(Struct):
    """What a caller saw of its streams.

    Attributes:
        first_token_s: Time to the first token of each stream, in seconds.
        gap_s: Time between tokens; 0 for tokens that came together, in seconds.
        whole: Number of streams that ended whole.
    """

    first_token_s: list[float] = field(default_factory=list)
    gap_s: list[float] = field(default_factory=list)
    whole: int = 0


async def stream_once(callers: Address, body: bytes, seen: Arrivals) -> None:
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    head = "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    started = monotonic()
    writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
    last: float | None = None
    data = b""
    while piece := await reader.read(READ_SIZE_BYTES):
        data = piece
        count = piece.count(TOKEN)
        if not count:
            continue
        now = monotonic()
        if last is None:
            seen.first_token_s.append(now - started)
        else:
            seen.gap_s.append(now - last)
        seen.gap_s += [0.0] * (count - 1)
        last = now
    seen.whole += data.endswith(b"0\r\n\r\n")
    writer.close()


def percentile(values: list[float], share: float) -> float:
    """Return the value that a share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def run(streams: int, tokens: int, gap_s: float, sources: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        platform = PlatformStandin()
        await platform.start()
        configure(platform, [SetVersion(SMALL), SetContract(CONTRACT)])
        processes = []
        for number in range(sources):
            source = await start_module(
                folder,
                f"source{number}",
                "bench.token_source",
                str(gap_s),
                SMALL.version_id,
                str(streams),
            )
            processes.append(source)
            await source.wait_for_addresses(("engine",))
            address = source.address_by_name["engine"]
            platform.put_instance(Instance(f"engine-a{number}", Role.ENGINE, "a", address))
        daemon = await start_daemon(folder, "entry-a0", "a", platform.address)
        processes.insert(0, daemon)
        try:
            callers = daemon.address_by_name["callers"]
            await wait_until_served(callers)
            await report(daemon, callers, streams, tokens, gap_s)
        finally:
            for process in processes:
                await process.end()
            await platform.stop()


async def report(
    daemon: MeasuredProcess, callers: Address, streams: int, tokens: int, gap_s: float
) -> None:
    seen = Arrivals()
    before, started = daemon.use(), monotonic()
    async with asyncio.TaskGroup() as group:
        for _ in range(streams):
            group.create_task(stream_once(callers, chat_body(tokens), seen))
            await asyncio.sleep(gap_s / 20)
    seconds = monotonic() - started
    after = daemon.use()
    processor_s = after.processor_s - before.processor_s
    total = streams * tokens
    print(f"streams {streams}, whole {seen.whole}, tokens {total} in {seconds:.1f} s")
    print(
        f"processor: {processor_s / seconds:.2f} cores, {processor_s / total * 1e6:.1f} us a token"
    )
    print(f"tokens a second: {total / seconds:.0f}")
    print(f"memory: {before.memory_bytes / 1e6:.1f} -> {after.memory_bytes / 1e6:.1f} MB")
    for label, values in (("first token", seen.first_token_s), ("token gap", seen.gap_s)):
        figures = ", ".join(f"p{int(s * 100)} {percentile(values, s) * 1e3:.1f} ms" for s in SHARES)
        print(f"{label}: {figures}")


if __name__ == "__main__":
    given = [float(argument) for argument in sys.argv[1:]]
    streams, tokens, gap_ms, sources = given + [420, 400, 25, 4][len(given) :]
    asyncio.run(run(int(streams), int(tokens), gap_ms / 1000, int(sources)))
