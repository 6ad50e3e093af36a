"""Pages of the documentation that are made from the code."""

import sys
from pathlib import Path

from comfreyhatch.adapters.contract_file import contract_reference
from comfreyhatch.adapters.settings import settings_reference
from comfreyhatch.cli.exits import exits_table
from comfreyhatch.codes import codes_table
from comfreyhatch.domain.finding import findings_table

CONFIGURATION_HEAD = """\
# Configuration

This page is made by `make docs` from the definitions in the code.

## Settings of the daemon

`comfreyhatchd --settings FILE` reads an INI file. `comfreyhatch settings example` prints one with
comments; `comfreyhatch check settings FILE` checks one and prints all errors. A daemon with
errors in its settings does not start. Each error names the file, the section, the key, the value
and what is allowed; values of keys that may hold a secret are not shown. Unknown sections and
keys are errors. Lists are words separated by spaces or commas.

Secrets do not stand in this file. The key that the daemons of a fleet share comes from the file
that `key_file` names, else from the environment variable that `key_env` names. It has at least
16 bytes and is the same on all daemons.

"""
CONTRACT_HEAD = """
## Contract of a customer

`comfreyhatch contract apply FILE` makes a contract, new or replaced, and shows what it changes
first. `comfreyhatch contract example` prints a file with comments; `comfreyhatch check contract
FILE` checks one. `comfreyhatch contract new-key` prints an API key and its digest: the customer
gets the key, the contract the digest. A key is replaced without an interruption by listing both
digests until the customer uses the new one.

Beside the single values, the contract as a whole is checked: it allows a model or a service,
`default_model` is among the models that `allowed` names, and the cap for outages fits the budget.

`comfreyhatch config check FILE...` checks contracts together against the configuration in force
before they are sent: contradicting limits, keys of two customers, entries that nothing serves or
that others cover, what a customer loses, and all lines that differ. It changes nothing. With
`--in-force FILE` it asks no daemon; `comfreyhatch config show` prints such a file.
`comfreyhatch check document FILE --in-force FILE` does the same for the configuration document of
the users' platform. The findings are numbered, see [result codes](RESULT-CODES.md).

"""
CLIENT_HEAD = """
## Settings of the command line

Commands that ask a daemon take its operators' address from `--daemon host:port`, which may be
given several times, from the environment variable `COMFREYHATCH_DAEMON`, or from the INI file
that `--client-settings` or `COMFREYHATCH_CLIENT_SETTINGS` names:

    [client]
    daemons = 10.0.0.1:9100 10.0.1.1:9100

The first daemon that answers is asked. `bills`, `explain --customer` and `report burn` ask all of
them and add up what they answer.
"""
CODES_HEAD = """\
# Result codes

This page is made by `make docs` from the definitions in the code.

Refusals carry a code and `ran`. `ran: no` says that no endpoint ran the request; `ran: unknown`
that one may have.

"""
FINDINGS_HEAD = """
## Findings of a check before a roll-out

`comfreyhatch config check` and `comfreyhatch check document` print them, and end with exit status 3
if there are errors, 10 if there are only warnings, and 0 otherwise.

"""
EXITS_HEAD = """
## Exit statuses of the command line

Errors are printed on standard error with their result code.

"""


def configuration_page() -> str:
    """Return docs/CONFIGURATION.md."""
    settings, contract = settings_reference(), contract_reference()
    return CONFIGURATION_HEAD + settings + CONTRACT_HEAD + contract + CLIENT_HEAD


def codes_page() -> str:
    """Return docs/RESULT-CODES.md."""
    findings = FINDINGS_HEAD + findings_table()
    return CODES_HEAD + codes_table() + findings + EXITS_HEAD + exits_table()


def write_documents(folder: Path) -> None:
    """Write the pages into a folder."""
    (folder / "CONFIGURATION.md").write_text(configuration_page(), encoding="utf-8")
    (folder / "RESULT-CODES.md").write_text(codes_page(), encoding="utf-8")


if __name__ == "__main__":
    write_documents(Path(sys.argv[1]))
