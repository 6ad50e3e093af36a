"""Loads and runs experiments: INI files with a fleet, a load pattern and policies to compare."""

from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import TypeVar

from msgspec import Struct, ValidationError, convert

from comfreyhatch.emulator.engine import EngineSpeed
from comfreyhatch.emulator.load import Crash, LoadPattern, RequestKind, Restart, Surge
from comfreyhatch.emulator.policy import POLICY_BY_NAME, Policy
from comfreyhatch.emulator.replay import LARGE, SMALL, Fleet, Replay, ReplayResult
from comfreyhatch.errors import SettingsError

KIND_PREFIX = "kind "
SURGE_PREFIX = "surge "
CRASH_PREFIX = "crash "
RESTART_PREFIX = "restart "

S = TypeVar("S")


class _FleetSection(Struct, forbid_unknown_fields=True):
    """Section [fleet].

    Attributes:
        engines: Number of engines.
        daemons: Number of daemons.
        slots: Maximum number of concurrent requests of an engine.
        small_token_s: Prefill time of one prompt token on the small model, in seconds.
        large_token_s: Prefill time of one prompt token on the large model, in seconds.
        step_s: Decoding time of one output token on an idle engine, in seconds.
    """

    engines: int
    daemons: int
    slots: int
    small_token_s: float
    large_token_s: float
    step_s: float


class _RunSection(Struct, forbid_unknown_fields=True):
    """Section [run].

    Attributes:
        length_s: Time during which requests arrive, in seconds.
        seeds: Number of replays for each policy.
        policies: Names of the policies to compare, separated by commas.
    """

    length_s: float
    seeds: int = 3
    policies: str = ", ".join(POLICY_BY_NAME)


class Experiment(Struct, frozen=True):
    """A load pattern, and the fleet and policies to replay it with.

    Attributes:
        pattern: The load pattern.
        fleet: Engines and daemons.
        policies: Policies to compare.
        seeds: Number of replays for each policy, with the seeds 0 to seeds - 1.
    """

    pattern: LoadPattern
    fleet: Fleet
    policies: tuple[Policy, ...]
    seeds: int


def load_experiment(path: Path) -> Experiment:
    """Load an experiment from an INI file.

    Raises:
        SettingsError: If the file cannot be read, or a section or value is missing or invalid;
            the message contains the file, the section and the reason.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8-sig"), str(path))
    except (OSError, UnicodeDecodeError, IniError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    run = _read_section(parser, path, "run", _RunSection)
    fleet = _read_section(parser, path, "fleet", _FleetSection)
    token_s = {SMALL: fleet.small_token_s, LARGE: fleet.large_token_s}
    return Experiment(
        pattern=LoadPattern(
            run.length_s,
            tuple(_request_kinds(parser, path)),
            tuple(
                _read_section(parser, path, s, Surge) for s in _section_names(parser, SURGE_PREFIX)
            ),
            tuple(
                _read_section(parser, path, s, Crash) for s in _section_names(parser, CRASH_PREFIX)
            ),
            tuple(
                _read_section(parser, path, s, Restart)
                for s in _section_names(parser, RESTART_PREFIX)
            ),
        ),
        fleet=Fleet(fleet.engines, fleet.daemons, EngineSpeed(fleet.slots, token_s, fleet.step_s)),
        policies=tuple(_find_policy(path, name) for name in run.policies.split(",")),
        seeds=run.seeds,
    )


def run_experiment(experiment: Experiment) -> list[list[ReplayResult]]:
    """Replay each policy with each seed; return one list of results for each policy."""
    return [
        [
            Replay(experiment.pattern, experiment.fleet, policy, seed).run()
            for seed in range(experiment.seeds)
        ]
        for policy in experiment.policies
    ]


def result_lines(results: list[list[ReplayResult]]) -> list[str]:
    """Format results as a table with one line for each policy.

    Payoff and quantiles are means over the seeds; the shares of failed requests and of answers by
    the large model are taken over all requests.
    """
    lines = [f"{'policy':18} {'payoff':>7} {'failed':>7} {'p50 s':>7} {'p95 s':>7} {'large':>7}"]
    for runs in results:
        requests = sum(r.requests for run in runs for r in run.by_kind.values())
        failed = sum(r.failed for run in runs for r in run.by_kind.values())
        payoff = sum(run.payoff_share for run in runs) / len(runs)
        p50 = sum(run.first_event_quantile_s(0.5) for run in runs) / len(runs)
        p95 = sum(run.first_event_quantile_s(0.95) for run in runs) / len(runs)
        large_share = sum(run.large_answers for run in runs) / requests if requests else 0.0
        failed_share = failed / requests if requests else 0.0
        lines.append(
            f"{runs[0].policy:18} {payoff:7.3f} {failed_share:7.3f} "
            f"{p50:7.3f} {p95:7.3f} {large_share:7.3f}"
        )
    return lines


def _request_kinds(parser: ConfigParser, path: Path) -> list[RequestKind]:
    kinds = []
    for section in _section_names(parser, KIND_PREFIX):
        values = {**dict(parser[section]), "name": section.removeprefix(KIND_PREFIX)}
        kinds.append(_convert(path, section, values, RequestKind))
    if not kinds:
        raise SettingsError(f"{path}: no section [{KIND_PREFIX}NAME]; at least one is needed")
    return kinds


def _section_names(parser: ConfigParser, prefix: str) -> list[str]:
    return [name for name in parser.sections() if name.startswith(prefix)]


def _read_section(parser: ConfigParser, path: Path, name: str, section_type: type[S]) -> S:
    if not parser.has_section(name):
        raise SettingsError(f"{path}: section [{name}] is missing")
    return _convert(path, name, dict(parser[name]), section_type)


def _convert(path: Path, section: str, values: dict[str, str], section_type: type[S]) -> S:
    try:
        return convert(values, section_type, strict=False)
    except ValidationError as error:
        raise SettingsError(f"{path}: [{section}]: {error}") from error


def _find_policy(path: Path, name: str) -> Policy:
    policy = POLICY_BY_NAME.get(name.strip())
    if policy is None:
        allowed = ", ".join(POLICY_BY_NAME)
        raise SettingsError(
            f"{path}: [run]: unknown policy {name.strip()!r}; allowed are {allowed}"
        )
    return policy
