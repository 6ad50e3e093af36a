"""Roll-outs as a text table."""

from collections.abc import Sequence

from comfreyhatch.decisions.rollout import Rollout, next_step, rollout_steps
from comfreyhatch.porcelain.table import table

HEADINGS = ("MODEL", "VERSION", "STATE", "STEP", "NEXT", "BEGUN", "FENCE")


def rollout_lines(rollouts: Sequence[Rollout]) -> list[str]:
    """Return the lines of the table."""
    return table(HEADINGS, [_row(rollout) for rollout in rollouts])


def _row(rollout: Rollout) -> tuple[object, ...]:
    step = next_step(rollout)
    following = f"{step.kind.value} {step.argument}".strip() if step else ""
    count = f"{rollout.step}/{len(rollout_steps(rollout))}"
    return (
        rollout.model,
        rollout.version_id,
        rollout.state,
        count,
        following,
        rollout.ordered,
        rollout.fence,
    )
