"""Hold-down of daemons that refused a forwarded request, to avoid further refusals."""

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import ComfreyhatchError

# Hold-down after a refusal with any code but NO_ENDPOINT.
REFUSAL_HOLD_DOWN_S = 0.25
# Hold-down after NO_ENDPOINT.
NO_ENDPOINT_HOLD_DOWN_S = 1.0
# Hold-downs in memory, each of one member and one target; the oldest is dropped first.
MAX_HOLD_DOWNS = 4096


class _HoldDown(Struct, frozen=True):
    """A hold-down until a monotonic time, and whether the member was merely full."""

    until: float
    full: bool


class MemberHoldDown:
    """Members that refused a request for a version or plain service.

    A member in hold-down gets no requests for that version or service for a short time.
    """

    def __init__(self) -> None:
        self._hold_down_by_pair: dict[tuple[str, str], _HoldDown] = {}

    def record_refusal(
        self, member_id: str, target: str, error: ComfreyhatchError, now: float
    ) -> None:
        """Start a hold-down after a refusal.

        An error after which the request may have run is not a refusal and starts none.

        Args:
            member_id: Instance id of the member.
            target: Version id or name of the plain service.
            error: Error that the member returned.
            now: Monotonic time, in seconds.
        """
        if error.ran is not Ran.NO:
            return
        while len(self._hold_down_by_pair) >= MAX_HOLD_DOWNS:
            del self._hold_down_by_pair[next(iter(self._hold_down_by_pair))]
        hold_down_s = (
            NO_ENDPOINT_HOLD_DOWN_S if error.code is ResultCode.NO_ENDPOINT else REFUSAL_HOLD_DOWN_S
        )
        self._hold_down_by_pair[member_id, target] = _HoldDown(
            now + hold_down_s, error.code is ResultCode.OVERLOADED
        )

    def may_forward_to(self, member_id: str, target: str, now: float) -> bool:
        """Return whether a member is not in hold-down for a version or plain service."""
        hold_down = self._hold_down_by_pair.get((member_id, target))
        return hold_down is None or hold_down.until <= now

    def is_full(self, member_id: str, target: str, now: float) -> bool:
        """Return whether a member is in hold-down since it was full, and will soon be asked."""
        hold_down = self._hold_down_by_pair.get((member_id, target))
        return hold_down is not None and hold_down.full and now < hold_down.until
