"""Changes of the configuration: their diff, their commit, and their being in force."""

import asyncio
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from msgspec import Struct, to_builtins

from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.change import Change, SetContract, SetVersion, change_config
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import ComfreyhatchError, PlatformError
from comfreyhatch.ports.operators import Edit, InForce

CONFIRM_INTERVAL_S = 0.1
CONFIRM_TIMEOUT_S = 4.0
COMMIT_ATTEMPTS = 3
COMMIT_RETRY_S = 1.0
LOST_ANSWER_CODES = frozenset({ResultCode.WRITE_UNKNOWN, ResultCode.PEER_TIMEOUT})


class PlannedChange(Struct, frozen=True):
    """A change and what it does to the configuration in force.

    Attributes:
        change: The change.
        base_revision: Revision that it was compared with.
        diff: Lines that it removes ("- ") and adds ("+ ").
        notes: What an operator may have overlooked.
    """

    change: Change
    base_revision: int
    diff: tuple[str, ...]
    notes: tuple[str, ...] = ()


class ChangeOutcome(Struct, frozen=True):
    """What came of a change.

    Attributes:
        applied: Whether it was committed.
        revision: Its revision; that of the comparison when it was not committed.
        diff: What it changes.
        confirmed: Instances that have it in force.
        unconfirmed: Live instances that have not confirmed it.
    """

    applied: bool
    revision: int
    diff: tuple[str, ...]
    confirmed: tuple[str, ...] = ()
    unconfirmed: tuple[str, ...] = ()


async def plan_change(client: OperatorClient, change: Change) -> PlannedChange:
    """Return what a change would do.

    Raises:
        ChangeError: If it does not fit the configuration.
    """
    config = await client.config()
    diff = diff_configs(config, change_config(config, change))
    return PlannedChange(change, config.revision, diff, notes_on(config, change))


def notes_on(config: FleetConfig, change: Change) -> tuple[str, ...]:
    """Return what is allowed by contract or replaced by a version, but not declared."""
    versions = config.version_by_id
    match change:
        case SetContract(contract=contract):
            declared = versions.keys() | {version.model for version in versions.values()}
            missing = [name for name in contract.allowed if name not in declared]
            return tuple(f"allowed names {name}, which is not declared yet" for name in missing)
        case SetVersion(version=version) if version.replaces:
            if version.replaces not in versions:
                return (f"replaces names {version.replaces}, which is not declared",)
    return ()


async def commit_change(
    client: OperatorClient,
    planned: PlannedChange,
    author: str,
    retry_interval_s: float = COMMIT_RETRY_S,
) -> int:
    """Commit a planned change and return its revision.

    A commit whose answer was lost is repeated with the same edit id, which finds the change if
    it was made.

    Raises:
        ConflictError: If another change came first.
        PlatformError: If it cannot be found out whether the change was made.
    """
    edit = Edit(planned.change, uuid4().hex, author, planned.base_revision)
    failure: ComfreyhatchError | None = None
    for _ in range(COMMIT_ATTEMPTS):
        try:
            return await client.apply(edit)
        except ComfreyhatchError as error:
            if error.code not in LOST_ANSWER_CODES:
                raise
            failure = error
        await asyncio.sleep(retry_interval_s)
    raise PlatformError(
        f"the change may have been made, see config history; last error: {failure}",
        ResultCode.WRITE_UNKNOWN,
    )


async def await_in_force(
    client: OperatorClient,
    revision: int,
    timeout_s: float = CONFIRM_TIMEOUT_S,
    sleep: Callable[[float], Any] = asyncio.sleep,
) -> InForce:
    """Poll until every live instance has confirmed a revision, or the time is up."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    state = InForce(revision, (), ())
    while True:
        try:
            state = await client.in_force(revision)
        except ComfreyhatchError:
            if loop.time() >= end:
                raise
        if (state.confirmed and not state.unconfirmed) or loop.time() >= end:
            return state
        await sleep(CONFIRM_INTERVAL_S)


def diff_configs(old: FleetConfig, new: FleetConfig) -> tuple[str, ...]:
    """Return the lines that differ between two configurations, their revisions aside."""
    return diff_values(to_builtins(old), to_builtins(new))


def diff_values(old: Any, new: Any) -> tuple[str, ...]:
    """Return the lines that differ between two values of plain types, their revisions aside."""
    before, after = _flat(old), _flat(new)
    lines: list[str] = []
    for key in sorted(before.keys() | after.keys()):
        if key == "revision" or before.get(key) == after.get(key):
            continue
        if key in before:
            lines.append(f"- {key} = {before[key]}")
        if key in after:
            lines.append(f"+ {key} = {after[key]}")
    return tuple(lines)


def _flat(value: Any, path: str = "") -> dict[str, str]:
    if isinstance(value, dict):
        flat: dict[str, str] = {}
        for key, inner in value.items():
            flat |= _flat(inner, f"{path}.{key}" if path else str(key))
        return flat
    if isinstance(value, list | tuple):
        return {path: " ".join(sorted(map(str, value)))}
    return {path: str(value)}
