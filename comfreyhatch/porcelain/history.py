"""The history of changes as text."""

from datetime import UTC, datetime

from msgspec import to_builtins

from comfreyhatch.domain.change import ChangeRecord, RemoveContract, SetContract
from comfreyhatch.porcelain.table import table


def is_of_customer(record: ChangeRecord, customer: str) -> bool:
    """Return whether a change is one of a customer's contract."""
    change = record.change
    if isinstance(change, SetContract):
        return change.contract.customer == customer
    return isinstance(change, RemoveContract) and change.customer == customer


def history_lines(records: list[ChangeRecord]) -> list[str]:
    """Return changes as a table."""
    rows = [
        (
            record.revision,
            datetime.fromtimestamp(record.at_unix_s, UTC).isoformat(timespec="seconds"),
            record.author,
            *_change(record),
        )
        for record in records
    ]
    return table(("REVISION", "AT", "AUTHOR", "CHANGE", "WHAT"), rows)


def _change(record: ChangeRecord) -> tuple[str, str]:
    change = record.change
    if isinstance(change, SetContract):
        return "set-contract", change.contract.customer
    values = to_builtins(change)
    kind = str(values.pop("type"))
    if "version" in values:
        version = values["version"]
        return kind, f"{version['model']}@{version['name']}"
    return kind, " ".join(f"{name}={value}" for name, value in values.items())
