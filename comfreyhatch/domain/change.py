"""Changes of the fleet configuration, their records in the change log, and how to apply them."""

from msgspec import Struct
from msgspec.structs import replace

from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.version import FULL_SHARE, Version, VersionState
from comfreyhatch.errors import ChangeError


class SetContract(Struct, frozen=True, tag="set-contract"):
    """Adds or replaces a customer's contract."""

    contract: Contract


class RemoveContract(Struct, frozen=True, tag="remove-contract"):
    """Removes a customer's contract."""

    customer: str


class SetVersion(Struct, frozen=True, tag="set-version"):
    """Adds or replaces the declaration of a version."""

    version: Version


class SetShare(Struct, frozen=True, tag="set-share"):
    """Sets a version's share of its model's new sessions, in percent."""

    version_id: str
    share: int


class DrainVersion(Struct, frozen=True, tag="drain-version"):
    """Stops new sessions on a version; existing sessions continue."""

    version_id: str


class WithdrawVersion(Struct, frozen=True, tag="withdraw-version"):
    """Stops all new requests on a version."""

    version_id: str


class SetZone(Struct, frozen=True, tag="set-zone"):
    """Takes an availability zone out of service or back in."""

    zone: str
    out: bool


class SetEndpoint(Struct, frozen=True, tag="set-endpoint"):
    """Takes an endpoint out of service or back in."""

    endpoint_id: str
    out: bool


Change = (
    SetContract
    | RemoveContract
    | SetVersion
    | SetShare
    | DrainVersion
    | WithdrawVersion
    | SetZone
    | SetEndpoint
)


class ChangeRecord(Struct, frozen=True):
    """An accepted change, as stored in the change log.

    Attributes:
        revision: Revision of the configuration that results from the change, from 1.
        edit_id: Identifier chosen by the requester; an edit is never applied twice.
        author: Operator or daemon that requested the change.
        at_unix_s: When it was made, in seconds since the epoch.
        change: The change.
    """

    revision: int
    edit_id: str
    author: str
    at_unix_s: float
    change: Change


def apply_change(config: FleetConfig, record: ChangeRecord) -> FleetConfig:
    """Return the configuration that results from an accepted change.

    Args:
        config: Configuration at the revision before that of the record.
        record: The accepted change.

    Raises:
        ChangeError: If the revision is not the next one or the change is invalid.
    """
    if record.revision != config.revision + 1:
        raise ChangeError(f"revision {record.revision} does not follow {config.revision}")
    return replace(change_config(config, record.change), revision=record.revision)


def change_config(config: FleetConfig, change: Change) -> FleetConfig:
    """Apply a change without advancing the revision.

    Raises:
        ChangeError: If the change is invalid, such as one of an undeclared version.
    """
    match change:
        case SetContract(contract=contract):
            contracts = {**config.contract_by_customer, contract.customer: contract}
            return replace(config, contract_by_customer=contracts)
        case RemoveContract(customer=customer):
            if customer not in config.contract_by_customer:
                raise ChangeError(f"customer {customer!r} has no contract")
            contracts = {k: v for k, v in config.contract_by_customer.items() if k != customer}
            return replace(config, contract_by_customer=contracts)
        case SetVersion(version=version):
            return _with_version(config, version)
        case SetShare(version_id=version_id, share=share):
            if not 0 <= share <= FULL_SHARE:
                raise ChangeError(f"share {share} is not between 0 and {FULL_SHARE}")
            return _with_version(config, replace(_version(config, version_id), share=share))
        case DrainVersion(version_id=version_id):
            return _with_state(config, version_id, VersionState.DRAINING)
        case WithdrawVersion(version_id=version_id):
            return _with_state(config, version_id, VersionState.WITHDRAWN)
        case SetZone(zone=zone, out=out):
            return replace(config, out_zones=_with_member(config.out_zones, zone, out))
        case SetEndpoint(endpoint_id=endpoint_id, out=out):
            members = _with_member(config.out_endpoints, endpoint_id, out)
            return replace(config, out_endpoints=members)


def _version(config: FleetConfig, version_id: str) -> Version:
    version = config.version_by_id.get(version_id)
    if version is None:
        raise ChangeError(f"version {version_id!r} is not declared")
    return version


def _with_version(config: FleetConfig, version: Version) -> FleetConfig:
    versions = {**config.version_by_id, version.version_id: version}
    return replace(config, version_by_id=versions)


def _with_state(config: FleetConfig, version_id: str, state: VersionState) -> FleetConfig:
    version = _version(config, version_id)
    if version.state is VersionState.WITHDRAWN and state is VersionState.DRAINING:
        raise ChangeError(f"version {version_id!r} is withdrawn already")
    return _with_version(config, replace(version, state=state))


def _with_member(members: frozenset[str], member: str, present: bool) -> frozenset[str]:
    return members | {member} if present else members - {member}
