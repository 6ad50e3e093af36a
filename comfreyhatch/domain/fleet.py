"""The fleet configuration: contracts, versions, and zones and endpoints out of service."""

from msgspec import Struct

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.version import Version, VersionState


class FleetConfig(Struct, frozen=True):
    """The configuration at one revision: the result of all changes up to that revision."""

    revision: int = 0
    contract_by_customer: dict[str, Contract] = {}
    version_by_id: dict[str, Version] = {}
    out_zones: frozenset[str] = frozenset()
    out_endpoints: frozenset[str] = frozenset()

    def allowed_versions(self, contract: Contract) -> list[Version]:
        """Return the versions that the contract allows and that are not withdrawn."""
        return [
            version
            for version in self.version_by_id.values()
            if version.state is not VersionState.WITHDRAWN
            and contract.allows(version.model, version.version_id)
        ]

    def contract_of_key(self, key_digest: str) -> Contract | None:
        """Return the contract with the digest of an API key, or None."""
        for contract in self.contract_by_customer.values():
            if key_digest in contract.key_digests:
                return contract
        return None

    def rolling_out(self, model: str) -> bool:
        """Return whether an active version of the model gets some, but not all, new sessions."""
        return any(
            version.model == model
            and version.state is VersionState.ACTIVE
            and 0 < version.share < 100
            for version in self.version_by_id.values()
        )
