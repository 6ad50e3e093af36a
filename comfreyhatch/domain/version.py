"""Versions of models and their states."""

from enum import Enum

from msgspec import Struct

TOKENS_PER_PRICE = 1000
FULL_SHARE = 100


class VersionState(Enum):
    """Life of a version: active, draining (no new sessions), withdrawn (no new work)."""

    ACTIVE = "active"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class Version(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of a model.

    Attributes:
        model: Name of the model.
        name: Name of the version within the model.
        input_price: Micros for 1,000 prompt tokens.
        output_price: Micros for 1,000 generated tokens.
        state: Life of the version.
        share: Share of the model's new sessions, in hundredths; below 100 while rolling out.
        replaces: Version id that it takes over from; empty for the first.
        prior_quality: Expected rating before any is known, 0 to 1.
        trial: Raised by operators to end a quarantine and test the version anew.
    """

    model: str
    name: str
    input_price: int
    output_price: int
    state: VersionState = VersionState.ACTIVE
    share: int = FULL_SHARE
    replaces: str = ""
    prior_quality: float = 0.5
    trial: int = 0

    @property
    def version_id(self) -> str:
        """Identifier over all models, such as "coach-large@3"."""
        return f"{self.model}@{self.name}"


def cost_micros(version: Version, input_tokens: int, output_tokens: int) -> int:
    """Return the price of an answer in micros, rounded up."""
    total = version.input_price * input_tokens + version.output_price * output_tokens
    return -(-total // TOKENS_PER_PRICE)
