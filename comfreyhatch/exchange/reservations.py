"""Reserves extra requests for the next attempts of streamed requests."""

from collections.abc import Callable

from comfreyhatch.decisions.extra_requests import ExtraRequestBudget
from comfreyhatch.exchange.stream_state import StreamState


class RetryReservations:
    """Extra requests that belong to streams until an attempt uses them or the stream ends."""

    def __init__(self, budget: Callable[[str], ExtraRequestBudget]) -> None:
        """Create it.

        Args:
            budget: Returns the budget of extra requests of a service.
        """
        self._budget = budget

    def reserve(self, stream: StreamState, now: float) -> bool:
        """Reserve an extra request for a stream, unless it has one; return whether it has one."""
        if not stream.retry_reserved:
            stream.retry_reserved = self._budget(stream.job.service).reserve(now)
        return stream.retry_reserved

    def spend(self, stream: StreamState, now: float) -> None:
        """Count the extra request that a stream has, if any, as its attempt begins."""
        if stream.retry_reserved:
            stream.retry_reserved = False
            self._budget(stream.job.service).spend_reserved(now)

    def give_back(self, stream: StreamState) -> None:
        """Give back the extra request that a stream has, if any, as no attempt has used it."""
        if stream.retry_reserved:
            stream.retry_reserved = False
            self._budget(stream.job.service).return_reserved()
