"""The platform's other services: instance list, rating service, weight store."""

from typing import Protocol

from msgspec import Struct

from comfreyhatch.domain.instance import Instance


class InstanceList(Protocol):
    """The lagging list of live and leaving instances."""

    async def instances(self) -> list[Instance]:
        """Return the list.

        Raises:
            PlatformError: If the list does not answer.
        """
        ...

    async def announce(self, instance: Instance) -> None:
        """Announce this daemon or its leaving.

        Raises:
            PlatformError: If the list does not answer.
        """
        ...


class RatingRequest(Struct, frozen=True):
    """An answer to be rated."""

    request_id: str
    customer: str
    task: str
    version_id: str
    prompt: str
    answer: str


class RatingService(Protocol):
    """Rates answers from 0 to 1; noisy and rate-limited."""

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        """Return a rating.

        Raises:
            PlatformError: If the service is down, slow or over its rate.
        """
        ...


class WeightStore(Protocol):
    """Grants downloads of weights at a limited rate."""

    async def acquire(self, version_id: str) -> bool:
        """Return whether a download may start now.

        Raises:
            PlatformError: If the store does not answer.
        """
        ...
