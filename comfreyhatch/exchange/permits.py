"""Asks other daemons for permits; asks to one daemon that come together go together."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable

from msgspec import Struct

from comfreyhatch.domain.permit import PermitAnswer, PermitAsk
from comfreyhatch.errors import PeerError

# Daemons that connections are kept to.
MAX_CHANNELS = 32
# Hold-down of a daemon that does not answer; doubles with each further failure.
FIRST_HOLD_DOWN_S = 4.0
MAX_HOLD_DOWN_S = 64.0

log = logging.getLogger("comfreyhatch.permits")


class PermitChannel:
    """Interface of a connection to one daemon."""

    async def ask(self, asks: tuple[PermitAsk, ...]) -> tuple[PermitAnswer, ...]:
        """Return the answers, in the order of the asks.

        Raises:
            PeerError: If the daemon does not answer.
        """
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection."""


class _Pending(Struct):
    """Asks to one daemon that wait to be sent, with the futures of their answers.

    Attributes:
        channel: Connection to the daemon.
        asks: The asks.
        task: Sends them, one message after the other; None while there are none.
    """

    channel: PermitChannel
    asks: list[tuple[PermitAsk, "asyncio.Future[PermitAnswer | None]"]]
    task: "asyncio.Task[None] | None" = None


class PermitClient:
    """Connections to the daemons that are asked, and which of these do not answer.

    Attributes:
        failures: Number of asks without an answer.
    """

    def __init__(self, connect: Callable[[str], PermitChannel | None]) -> None:
        """Create it without connections.

        Args:
            connect: Returns a connection to a daemon; None if its address is unknown.
        """
        self._connect = connect
        self._pending_by_daemon: OrderedDict[str, _Pending] = OrderedDict()
        self._hold_down_by_daemon: dict[str, tuple[float, float]] = {}
        self.failures = 0

    def silent(self, now: float) -> set[str]:
        """Return the daemons that do not answer."""
        return {daemon for daemon, (until, _) in self._hold_down_by_daemon.items() if now < until}

    async def ask(self, daemon: str, ask: PermitAsk) -> PermitAnswer | None:
        """Return the answer of a daemon; None if it does not answer."""
        pending = self._pending(daemon)
        if pending is None:
            self._hold_down(daemon, "its address is unknown")
            return None
        future: asyncio.Future[PermitAnswer | None] = asyncio.get_running_loop().create_future()
        pending.asks.append((ask, future))
        if pending.task is None or pending.task.done():
            pending.task = asyncio.create_task(self._send(daemon, pending))
        return await future

    async def stop(self) -> None:
        """End the asks under way and close the connections."""
        found = list(self._pending_by_daemon.values())
        tasks = [pending.task for pending in found if pending.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pending in found:
            pending.channel.close()

    def _pending(self, daemon: str) -> _Pending | None:
        pending = self._pending_by_daemon.get(daemon)
        if pending is None:
            channel = self._connect(daemon)
            if channel is None:
                return None
            self._drop_idle()
            pending = _Pending(channel, [])
            self._pending_by_daemon[daemon] = pending
        self._pending_by_daemon.move_to_end(daemon)
        return pending

    def _drop_idle(self) -> None:
        """Close the connection used longest ago if there are too many."""
        if len(self._pending_by_daemon) < MAX_CHANNELS:
            return
        for daemon, pending in self._pending_by_daemon.items():
            if pending.task is None or pending.task.done():
                pending.channel.close()
                del self._pending_by_daemon[daemon]
                return

    async def _send(self, daemon: str, pending: _Pending) -> None:
        while pending.asks:
            batch, pending.asks = pending.asks, []
            answers = await self._answers(daemon, pending.channel, tuple(a for a, _ in batch))
            for (_, future), answer in zip(batch, answers, strict=True):
                if not future.done():
                    future.set_result(answer)

    async def _answers(
        self, daemon: str, channel: PermitChannel, asks: tuple[PermitAsk, ...]
    ) -> tuple[PermitAnswer | None, ...]:
        try:
            answers = await channel.ask(asks)
        except PeerError as error:
            self._hold_down(daemon, str(error))
            return (None,) * len(asks)
        self._hold_down_by_daemon.pop(daemon, None)
        return answers if len(answers) == len(asks) else (None,) * len(asks)

    def _hold_down(self, daemon: str, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        last_s = self._hold_down_by_daemon.get(daemon, (0.0, FIRST_HOLD_DOWN_S / 2))[1]
        pause_s = min(MAX_HOLD_DOWN_S, 2 * last_s)
        self._hold_down_by_daemon[daemon] = (now + pause_s, pause_s)
        self.failures += 1
        log.info("event=sender_silent peer=%s for_s=%.0f reason=%r", daemon, pause_s, reason)
