"""The contract of a customer: allowed models, budget and service-level objectives."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Micros = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
PriorityNumber = Annotated[int, Meta(ge=0, le=9)]
CustomerName = Annotated[
    str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$", description="lower-case letters, digits, -")
]
KeyDigest = Annotated[
    str, Meta(pattern=r"^[0-9a-f]{64}$", description="64 hexadecimal digits each")
]


class Objectives(Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objectives of a contract.

    Attributes:
        availability: Share of requests answered within their deadline, 0 to 1.
        first_token_s: 95th percentile of the time to the first token, in seconds.
        quality: Share of answers that reach the quality target, 0 to 1.
        exposure: Largest share of requests that a bad version may answer, 0 to 1.
    """

    availability: Share = 0.999
    first_token_s: Seconds = 0.46
    quality: Share = 0.95
    exposure: Share = 0.01


class Contract(Struct, frozen=True, forbid_unknown_fields=True):
    """One customer's contract.

    Attributes:
        customer: Name of the customer.
        key_digests: SHA-256 of each API key, in hexadecimal.
        allowed: Models ("coach-large") or single versions ("coach-large@3") that it may use.
        services: Plain services it may call.
        quality_target: Lowest acceptable rating of an answer, 0 to 1.
        default_model: Model used when no estimate of quality exists.
        budget_micros: Daily spending limit, in millionths of the currency unit.
        on_budget_unknown: Action when the budget cannot be read and the daemon's slice is spent.
        outage_cap_micros: Spending limit of one daemon during such an outage, with "cap".
        on_withdrawn: Action for a session whose version is withdrawn.
        may_be_critical: Whether requests may use reserved slots.
        max_priority: Highest priority that a request may ask for, 0 to 9.
        auto_withdraw: Whether a version that fails its test is withdrawn without an operator.
        default_deadline_s: Deadline of a request that sets none, in seconds.
        max_output_tokens: Largest answer, in tokens.
        objectives: Service-level objectives.
    """

    customer: CustomerName
    key_digests: tuple[KeyDigest, ...] = ()
    allowed: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    quality_target: Share = 0.8
    default_model: str = ""
    budget_micros: Micros = 1_000_000_000
    on_budget_unknown: Literal["refuse", "cheapest", "cap"] = "refuse"
    outage_cap_micros: Micros = 0
    on_withdrawn: Literal["refuse", "move"] = "refuse"
    may_be_critical: bool = False
    max_priority: PriorityNumber = 5
    auto_withdraw: bool = False
    default_deadline_s: Seconds = 30.0
    max_output_tokens: Annotated[int, Meta(ge=1)] = 1024
    objectives: Objectives = Objectives()

    def allows(self, model: str, version_id: str) -> bool:
        """Return whether the contract allows a version of a model."""
        return model in self.allowed or version_id in self.allowed


def contract_problems(contract: Contract) -> list[str]:
    """Return the inconsistencies between the clauses of a contract, one line each."""
    problems = []
    if not contract.allowed and not contract.services:
        problems.append("allowed and services are both empty: the customer may use nothing")
    model = contract.default_model
    if model and model not in {name.partition("@")[0] for name in contract.allowed}:
        problems.append(f"default_model {model} is not the model of any entry in allowed")
    if contract.on_budget_unknown == "cap" and not contract.outage_cap_micros:
        problems.append("on_budget_unknown is cap, but outage_cap_micros is 0")
    if contract.outage_cap_micros > contract.budget_micros:
        problems.append("outage_cap_micros is above budget_micros")
    return problems
