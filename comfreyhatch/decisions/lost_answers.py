"""Whether a lost answer is the fault of a version, or of an endpoint or the path to it.

Endpoints crash, hang and are cut off on any day, whatever version they run, and many answers may be
lost with one such event. An answer is the version's fault if its endpoint is alive: a crashed one
refuses connections, a hanging one or one that is cut off answers nothing. Then each loss counts,
but for those of one moment at one endpoint, such as a reset of its connections, which count once,
and those of a moment in which both versions lose answers, as when the path of a daemon is lost.

An endpoint that is not alive has broken down, which is one event however many answers it takes.
The first breakdown of each endpoint does not count. A version is at fault whose endpoints break
down again and again, or all together while those of the other version do not.
"""

from collections import deque
from collections.abc import Mapping
from enum import Enum
from math import inf

from msgspec import Struct

# Losses this close together have one cause.
SAME_MOMENT_S = 0.05
# What was received from an endpoint within this time after a loss may have been sent before it.
BUFFERED_S = 0.05
# Time after a breakdown of the other version in which the breakdown of all endpoints is no fault.
COMMON_BREAKDOWN_S = 5.0
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

    __slots__ = (
        "_breakdowns",
        "_broke_down_at",
        "_counted",
        "_counted_at",
        "_other_broke_down_at",
        "_recent",
    )

    def __init__(self) -> None:
        self._recent: deque[LostAnswer] = deque(maxlen=MAX_RECENT)
        self._counted: deque[LostAnswer] = deque(maxlen=MAX_RECENT)
        self._counted_at: dict[str, float] = {}
        self._broke_down_at: dict[str, float] = {}
        self._other_broke_down_at = -inf
        self._breakdowns = 0

    def note(self, lost: LostAnswer) -> None:
        """Note a lost answer at once; it is judged when more is known."""
        self._recent.append(lost)

    def judge(
        self, lost: LostAnswer, is_alive: bool, heard_at_by_endpoint: Mapping[str, float]
    ) -> LossVerdict:
        """Return what a lost answer is due to.

        Args:
            lost: The answer; those of one endpoint are judged in the order of their losses.
            is_alive: Whether its endpoint was alive after the loss.
            heard_at_by_endpoint: Times at which something last came from the endpoints of its
                version, in seconds.
        """
        if self._is_down(lost.endpoint_id, lost.heard_at):
            # It may be alive again by now, but nothing has come from it since it broke down.
            is_due = self._all_down(lost, heard_at_by_endpoint) and self._is_new(lost)
            return self._count(lost) if is_due else LossVerdict.SAME_EVENT
        if not is_alive:
            return self._judge_breakdown(lost, heard_at_by_endpoint)
        if any(_is_path_event(lost, other) for other in self._recent):
            return LossVerdict.PATH
        if lost.is_shared and not self._is_new(lost):
            return LossVerdict.SAME_EVENT
        if any(_is_same_event(lost, other) for other in self._counted):
            return LossVerdict.SAME_EVENT
        return self._count(lost)

    def _is_new(self, lost: LostAnswer) -> bool:
        """Return whether an answer was lost by another event than the last one that counts."""
        since = self._counted_at.get(lost.endpoint_id, -inf)
        return lost.sent_at > since or lost.heard_at > since + BUFFERED_S

    def _count(self, lost: LostAnswer) -> LossVerdict:
        self._counted_at[lost.endpoint_id] = lost.lost_at
        self._counted.append(lost)
        return LossVerdict.VERSION

    def _judge_breakdown(
        self, lost: LostAnswer, heard_at_by_endpoint: Mapping[str, float]
    ) -> LossVerdict:
        """Judge the first loss of a breakdown."""
        has_recurred = lost.endpoint_id in self._broke_down_at
        self._broke_down_at[lost.endpoint_id] = lost.lost_at
        if lost.is_target:
            self._breakdowns += 1
            # Endpoints that come back under new ids are others each time.
            has_recurred = has_recurred or self._breakdowns > len(heard_at_by_endpoint)
        else:
            self._other_broke_down_at = lost.lost_at
        if has_recurred or self._all_down(lost, heard_at_by_endpoint):
            return self._count(lost)
        return LossVerdict.BREAKDOWN

    def _all_down(self, lost: LostAnswer, heard_at_by_endpoint: Mapping[str, float]) -> bool:
        """Return whether all endpoints of the target version are down, and none of the other."""
        if not lost.is_target or len(heard_at_by_endpoint) < 2:
            return False
        if lost.lost_at - self._other_broke_down_at < COMMON_BREAKDOWN_S:
            return False
        return all(self._is_down(*found) for found in heard_at_by_endpoint.items())

    def _is_down(self, endpoint_id: str, heard_at: float) -> bool:
        """Return whether nothing has come from an endpoint since it broke down."""
        broke_down_at = self._broke_down_at.get(endpoint_id)
        return broke_down_at is not None and heard_at <= broke_down_at


def _is_path_event(lost: LostAnswer, other: LostAnswer) -> bool:
    """Return whether the other version has lost an answer at the same moment."""
    return other.is_target != lost.is_target and _at_once(lost, other)


def _is_same_event(lost: LostAnswer, other: LostAnswer) -> bool:
    """Return whether another endpoint has lost an answer at the same moment."""
    return other.endpoint_id != lost.endpoint_id and _at_once(lost, other)


def _at_once(lost: LostAnswer, other: LostAnswer) -> bool:
    return abs(lost.lost_at - other.lost_at) <= SAME_MOMENT_S
