"""A process that was stopped reads what came meanwhile before its timers fire."""

import asyncio
import signal
import sys

STOPPED_S = 1.0
# The child waits for its timer when it is stopped, and the timer is due during the stop.
CHILD = """
import asyncio, sys
from comfreyhatch.adapters.event_loop import new_event_loop

loop = new_event_loop()

def note(text):
    print(text, flush=True)

def read():
    note("input")
    loop.remove_reader(0)

loop.add_reader(0, read)
loop.call_later(0.8, note, "timer")
loop.call_later(0.9, loop.stop)
loop.call_soon(note, "started")
loop.run_forever()
"""


async def test_input_that_came_during_a_stop_comes_before_timers() -> None:
    # Answers that had come while a daemon was stopped were taken for late ones.
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CHILD,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert child.stdin and child.stdout
    assert await child.stdout.readline() == b"started\n"
    await asyncio.sleep(0.2)
    child.send_signal(signal.SIGSTOP)
    child.stdin.write(b"x")
    await asyncio.sleep(STOPPED_S)
    child.send_signal(signal.SIGCONT)
    lines = (await child.stdout.read()).split()
    await child.wait()
    assert lines == [b"input", b"timer"]
