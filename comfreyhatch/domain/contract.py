"""The contract: what a customer may use, spend and expect."""

from typing import Literal

from msgspec import Struct

Micros = int


class Objectives(Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objectives of a contract.

    Attributes:
        availability: Share of requests answered in their deadline, 0 to 1.
        first_token_s: Time to the first token for 95 in 100, in seconds.
        quality: Share of answers at the quality target, 0 to 1.
        exposure: Largest share of requests that a bad version may answer, 0 to 1.
    """

    availability: float = 0.999
    first_token_s: float = 0.46
    quality: float = 0.95
    exposure: float = 0.01


class Contract(Struct, frozen=True, forbid_unknown_fields=True):
    """One customer's contract.

    Attributes:
        customer: Name of the customer.
        key_digests: SHA-256 of each API key, in hexadecimal.
        allowed: Models ("coach-large") or single versions ("coach-large@3") it may use.
        services: Plain services it may call.
        quality_target: Lowest acceptable rating of an answer, 0 to 1.
        default_model: Model used when no estimate of quality exists.
        budget_micros: Spending limit a day, in millionths of the currency unit.
        on_budget_unknown: What happens when the budget cannot be read and the slice is spent.
        outage_cap_micros: Spending a daemon may allow in such an outage, with "cap".
        on_withdrawn: What happens to a session whose version is withdrawn.
        may_be_critical: Whether requests may claim reserved slots.
        max_priority: Highest priority that a request may ask for, 0 to 9.
        auto_withdraw: Whether a version that fails its test is withdrawn without an operator.
        default_deadline_s: Deadline of a request that names none, in seconds.
        max_output_tokens: Largest answer, in tokens.
        objectives: Service-level objectives.
    """

    customer: str
    key_digests: tuple[str, ...] = ()
    allowed: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    quality_target: float = 0.8
    default_model: str = ""
    budget_micros: Micros = 1_000_000_000
    on_budget_unknown: Literal["refuse", "cheapest", "cap"] = "refuse"
    outage_cap_micros: Micros = 0
    on_withdrawn: Literal["refuse", "move"] = "refuse"
    may_be_critical: bool = False
    max_priority: int = 5
    auto_withdraw: bool = False
    default_deadline_s: float = 30.0
    max_output_tokens: int = 1024
    objectives: Objectives = Objectives()

    def allows(self, model: str, version_id: str) -> bool:
        """Return whether the contract allows a version of a model."""
        return model in self.allowed or version_id in self.allowed
