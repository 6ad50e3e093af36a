"""Whether a lost answer is the fault of a version, or of an endpoint or the path to it.

Endpoints crash, hang and are cut off on any day, whatever version they run, and many answers may be
lost with one such event. An answer is the version's fault if its endpoint is alive: a crashed one
refuses connections, a hanging one or one that is cut off answers nothing. Then each loss counts,
but for those of one moment at one endpoint, such as a reset of its connections, which count once,
and those of a moment in which both versions lose answers, as when the path of a daemon is lost.

An endpoint that is not alive has broken down, which is one event however many answers it takes.
The first breakdown of each endpoint does not count; a version whose endpoints break down again and
again is at fault.
"""

from collections import deque
from enum import Enum
from math import inf

from msgspec import Struct

# Losses this close together have one cause.
SAME_MOMENT_S = 0.05
# What was received from an endpoint within this time after a loss may have been sent before it.
BUFFERED_S = 0.05
# Losses that are remembered to find those of the same moment.
MAX_RECENT = 256


class LossVerdict(Enum):
    """What a lost answer is due to; the value is its name in logs."""

    VERSION = "version"
    SAME_EVENT = "same event"
    BREAKDOWN = "breakdown"
    PATH = "path"


class LostAnswer(Struct, frozen=True):
    """An answer that did not come, or not to its end; times are monotonic, in seconds.

    Attributes:
        endpoint_id: Endpoint that was to send it.
        is_target: Whether that runs the target version of the roll-out.
        is_shared: Whether one event may take all answers that are under way at a live endpoint: it
            resets its connections, or pauses.
        sent_at: Time at which the request was sent.
        lost_at: Time at which the answer was known to be lost.
        heard_at: Time at which something had last come from the endpoint by then.
    """

    endpoint_id: str
    is_target: bool
    is_shared: bool
    sent_at: float
    lost_at: float
    heard_at: float


class LossJudge:
    """Judges the lost answers of one roll-out, as one daemon sees them."""

    __slots__ = ("_breakdowns", "_broke_down_at", "_counted", "_counted_at", "_recent")

    def __init__(self) -> None:
        self._recent: deque[LostAnswer] = deque(maxlen=MAX_RECENT)
        self._counted: deque[LostAnswer] = deque(maxlen=MAX_RECENT)
        self._counted_at: dict[str, float] = {}
        self._broke_down_at: dict[str, float] = {}
        self._breakdowns = 0

    def note(self, lost: LostAnswer) -> None:
        """Note a lost answer at once; it is judged when more is known."""
        self._recent.append(lost)

    def judge(self, lost: LostAnswer, is_alive: bool, endpoints: int) -> LossVerdict:
        """Return what a lost answer is due to.

        Args:
            lost: The answer; those of one endpoint are judged in the order of their losses.
            is_alive: Whether its endpoint was alive after the loss.
            endpoints: Number of endpoints of its version.
        """
        if not is_alive:
            return self._judge_breakdown(lost, endpoints)
        if any(_is_path_event(lost, other) for other in self._recent):
            return LossVerdict.PATH
        since = self._counted_at.get(lost.endpoint_id, -inf)
        is_new = lost.sent_at > since or lost.heard_at > since + BUFFERED_S
        if lost.is_shared and not is_new:
            return LossVerdict.SAME_EVENT
        if any(_is_same_event(lost, other) for other in self._counted):
            return LossVerdict.SAME_EVENT
        self._counted_at[lost.endpoint_id] = lost.lost_at
        self._counted.append(lost)
        return LossVerdict.VERSION

    def _judge_breakdown(self, lost: LostAnswer, endpoints: int) -> LossVerdict:
        """Judge a loss at an endpoint that is down until something comes from it again."""
        before = self._broke_down_at.get(lost.endpoint_id)
        if before is not None and lost.heard_at <= before:
            return LossVerdict.SAME_EVENT
        self._broke_down_at[lost.endpoint_id] = lost.lost_at
        self._breakdowns += lost.is_target
        # Endpoints that come back under new ids are others each time.
        has_recurred = before is not None or lost.is_target and self._breakdowns > endpoints
        return LossVerdict.VERSION if has_recurred else LossVerdict.BREAKDOWN


def _is_path_event(lost: LostAnswer, other: LostAnswer) -> bool:
    """Return whether the other version has lost an answer at the same moment."""
    return other.is_target != lost.is_target and _at_once(lost, other)


def _is_same_event(lost: LostAnswer, other: LostAnswer) -> bool:
    """Return whether another endpoint has lost an answer at the same moment."""
    return other.endpoint_id != lost.endpoint_id and _at_once(lost, other)


def _at_once(lost: LostAnswer, other: LostAnswer) -> bool:
    return abs(lost.lost_at - other.lost_at) <= SAME_MOMENT_S
