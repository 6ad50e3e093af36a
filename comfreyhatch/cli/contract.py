"""Commands on contracts."""

from hashlib import sha256
from pathlib import Path
from secrets import token_urlsafe
from typing import Annotated

from msgspec import Struct, to_builtins
from typer import Argument, Typer, echo

from comfreyhatch.adapters.contract_file import contract_example, load_contract
from comfreyhatch.adapters.operator_http import OperatorClient
from comfreyhatch.cli.change_command import change_command
from comfreyhatch.cli.options import (
    ChangeOptions,
    ClientFileOption,
    DaemonOption,
    JsonOption,
    checked,
    make_change,
    run_command,
    show,
)
from comfreyhatch.codes import ResultCode
from comfreyhatch.domain.change import ChangeRecord, RemoveContract, SetContract
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.errors import RequestError
from comfreyhatch.porcelain.changes import diff_configs
from comfreyhatch.porcelain.history import history_lines, is_of_customer

app = Typer(help="Apply and read customers' contracts.", no_args_is_help=True)

FileArgument = Annotated[Path, Argument(help="Contract as an INI file.")]
CustomerArgument = Annotated[str, Argument(help="Name of the customer.")]
KEY_BYTES = 32
HISTORY_LIMIT = 1000


class NewKey(Struct, frozen=True):
    """An API key and the digest that goes into the contract."""

    key: str
    digest: str


@change_command(app, "apply")
def apply(file: FileArgument) -> SetContract:
    """Write a customer's contract, new or replaced.

    Example: comfreyhatch contract apply trackline.ini --daemon 10.0.0.1:9100 --wait
    """
    contract = checked(lambda: load_contract(file))
    return SetContract(contract)


@change_command(app, "remove", dangerous=True)
def remove(customer: CustomerArgument) -> RemoveContract:
    """End a customer's contract; its requests are refused from then on.

    Example: comfreyhatch contract remove trackline --daemon 10.0.0.1:9100
    """
    return RemoveContract(customer)


@app.command("show")
def show_contract(
    customer: Annotated[str, Argument(help="Name of the customer; all if left out.")] = "",
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print contracts in force.

    Example: comfreyhatch contract show trackline --json
    """
    config = run_command(daemon, client_settings, lambda client: client.config())
    contracts = checked(lambda: _contracts(config, customer))
    lines: list[str] = []
    for contract in contracts:
        only = FleetConfig(contract_by_customer={contract.customer: contract})
        prefix = f"contract_by_customer.{contract.customer}."
        lines += [f"[{contract.customer}]"]
        lines += [
            line.removeprefix("+ ").removeprefix(prefix)
            for line in diff_configs(FleetConfig(), only)
        ]
    show(to_builtins(contracts), lines, json)


@app.command()
def history(
    customer: CustomerArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print the changes of a customer's contract.

    Example: comfreyhatch contract history trackline
    """

    async def read(client: OperatorClient) -> list[ChangeRecord]:
        records: list[ChangeRecord] = []
        after = 0
        while page := await client.history(after, HISTORY_LIMIT):
            records += [record for record in page if is_of_customer(record, customer)]
            after = page[-1].revision
        return records

    records = run_command(daemon, client_settings, read)
    show(records, history_lines(records), json)


@app.command()
def diff(
    file: FileArgument,
    daemon: DaemonOption = None,
    client_settings: ClientFileOption = None,
    json: JsonOption = False,
) -> None:
    """Print how a contract file differs from the contract in force.

    Example: comfreyhatch contract diff trackline.ini
    """
    contract = checked(lambda: load_contract(file))
    options = ChangeOptions(True, False, False, 0, "", json)
    make_change(daemon, client_settings, SetContract(contract), options)


@app.command()
def example() -> None:
    """Print a commented contract file.

    Example: comfreyhatch contract example > trackline.ini
    """
    echo(contract_example(), nl=False)


@app.command("new-key")
def new_key(json: JsonOption = False) -> None:
    """Print a new API key and the digest for key_digests; the key is not stored.

    Example: comfreyhatch contract new-key
    """
    key = token_urlsafe(KEY_BYTES)
    made = NewKey(key, sha256(key.encode()).hexdigest())
    show(made, [f"key     {made.key}", f"digest  {made.digest}"], json)


def _contracts(config: FleetConfig, customer: str) -> list[Contract]:
    found = config.contract_by_customer
    if not customer:
        return [found[name] for name in sorted(found)]
    if customer not in found:
        raise RequestError(f"customer {customer!r} has no contract", ResultCode.NOT_FOUND)
    return [found[customer]]
