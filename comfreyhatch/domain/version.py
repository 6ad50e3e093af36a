"""Versions of models: states, prices and shares of new sessions."""

from enum import Enum

from msgspec import Struct

# Prices are per this number of tokens.
TOKENS_PER_PRICE = 1000
FULL_SHARE = 100


class VersionState(Enum):
    """State of a version: active, draining (no new sessions) or withdrawn (no new requests)."""

    ACTIVE = "active"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


class Version(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of a model.

    Attributes:
        model: Name of the model.
        name: Name of the version within the model.
        input_price: Price of 1,000 prompt tokens, in micros.
        output_price: Price of 1,000 generated tokens, in micros.
        state: State of the version.
        share: Share of the model's new sessions, in percent; below 100 during its roll-out.
        replaces: Id of the version that it replaces; empty for the first version.
        prior_quality: Expected rating before any answer is rated, 0 to 1.
        trial: Number that operators increase to end a quarantine and test the version again.
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
        """Identifier that is unique over all models, such as "coach-large@3"."""
        return f"{self.model}@{self.name}"


def cost_micros(version: Version, input_tokens: int, output_tokens: int) -> int:
    """Return the price of an answer in micros, rounded up."""
    total = version.input_price * input_tokens + version.output_price * output_tokens
    return -(-total // TOKENS_PER_PRICE)
