"""Interfaces to the platform's instance list, rating service and weight store."""

from typing import Protocol

from msgspec import Struct

from comfreyhatch.domain.instance import Instance


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which may be out of date."""

    async def instances(self) -> list[Instance]:
        """Return the instances.

        Raises:
            PlatformError: If the platform does not answer.
        """
        ...

    async def announce(self, instance: Instance) -> None:
        """Add this daemon to the list, or mark it as leaving.

        Raises:
            PlatformError: If the platform does not answer.
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
    """Rates answers from 0 to 1; ratings are noisy and calls are rate-limited."""

    async def rate(self, request: RatingRequest, timeout_s: float) -> float:
        """Return a rating.

        Raises:
            PlatformError: If the service is down, times out or rejects the call by its rate limit.
        """
        ...


class WeightStore(Protocol):
    """Limits the rate of downloads of model weights."""

    async def acquire(self, version_id: str) -> bool:
        """Return whether a download may start now.

        Raises:
            PlatformError: If the store does not answer.
        """
        ...
