"""Settings for the choice of versions and endpoints and for admission control."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=65536)]
Rate = Annotated[float, Meta(ge=0, le=100000)]


class PolicySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Policies for choosing versions and endpoints and for admitting requests.

    Attributes:
        plans: How versions are chosen: "learned" uses learned estimates; the baselines "cheapest"
            and "dearest" always choose by price.
        endpoints: How endpoints are chosen: "load" takes the less loaded of two drawn at random;
            the baseline "uniform" takes any at random.
        quarantine: Whether a version that fails its test is quarantined, so that it gets no new
            work.
        ratings_per_s: Largest rate of calls to the rating service by the whole fleet, per second.
        queue: Largest number of requests that wait for a slot in one queue; chat requests share a
            queue, and each plain service has its own.
        reserved_percent: Percentage of the slots for chat requests that is reserved for critical
            ones.
        seed: Seed of random choices; 0 uses a new seed at each start.
    """

    plans: Literal["learned", "cheapest", "dearest"] = "learned"
    endpoints: Literal["load", "uniform"] = "load"
    quarantine: bool = True
    ratings_per_s: Rate = 200.0
    queue: Count = 256
    reserved_percent: Annotated[int, Meta(ge=0, le=100)] = 15
    seed: int = 0
