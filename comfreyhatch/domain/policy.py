"""Settings for the choice of versions and endpoints and for admission control."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=65536)]
Rate = Annotated[float, Meta(ge=0, le=100000)]


class PolicySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Policies for choosing versions and endpoints and for admitting requests.

    Attributes:
        plans: Choice of versions: learned estimates, or as baselines the cheapest or the dearest.
        endpoints: Choice of endpoints: the less loaded of two, or as a baseline any at random.
        quarantine: Whether a version that fails its test is quarantined.
        ratings_per_s: Largest rate of calls to the rating service by the whole fleet, per second.
        queue: Largest number of requests of each kind that wait for a slot.
        reserved_percent: Percentage of the slots reserved for critical requests.
        seed: Seed of random choices; 0 uses a new seed at each start.
    """

    plans: Literal["learned", "cheapest", "dearest"] = "learned"
    endpoints: Literal["load", "uniform"] = "load"
    quarantine: bool = True
    ratings_per_s: Rate = 200.0
    queue: Count = 256
    reserved_percent: Annotated[int, Meta(ge=0, le=100)] = 15
    seed: int = 0
