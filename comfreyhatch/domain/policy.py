"""Settings of the choices that a daemon makes."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=65536)]
Rate = Annotated[float, Meta(ge=0, le=100000)]


class PolicySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """How versions and endpoints are chosen and work is admitted.

    Attributes:
        plans: Learned estimates, or as baselines always the cheapest or the dearest version.
        endpoints: The less loaded of two, or as a baseline any endpoint at random.
        quarantine: Whether a version that fails its test gets no new work.
        ratings_per_s: Rate of the rating service that the whole fleet may use.
        queue: Requests that may wait for a slot, of each kind.
        reserved_percent: Part of the slots kept for critical work.
        seed: Seed of random choices; 0 takes a new one at each start.
    """

    plans: Literal["learned", "cheapest", "dearest"] = "learned"
    endpoints: Literal["load", "uniform"] = "load"
    quarantine: bool = True
    ratings_per_s: Rate = 200.0
    queue: Count = 256
    reserved_percent: Annotated[int, Meta(ge=0, le=100)] = 15
    seed: int = 0
