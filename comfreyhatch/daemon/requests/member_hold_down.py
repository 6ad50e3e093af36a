"""What a daemon remembers of refusals by other daemons, so that it asks them less in vain."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.errors import ComfreyhatchError

OVERLOADED_HOLD_DOWN_S = 0.25
NO_ENDPOINT_HOLD_DOWN_S = 1.0
MAX_HOLD_DOWNS = 4096


class MemberHoldDown:
    """Refusals by member and by what was wanted; bounded."""

    def __init__(self) -> None:
        self._until_by_pair: dict[tuple[str, str], float] = {}

    def record_refusal(
        self, member_id: str, wanted: str, error: ComfreyhatchError, now: float
    ) -> None:
        """Note an error of a member; one after which work may have run is no refusal."""
        if error.ran is not Ran.NO:
            return
        while len(self._until_by_pair) >= MAX_HOLD_DOWNS:
            del self._until_by_pair[next(iter(self._until_by_pair))]
        time_s = (
            NO_ENDPOINT_HOLD_DOWN_S
            if error.code is ResultCode.NO_ENDPOINT
            else OVERLOADED_HOLD_DOWN_S
        )
        self._until_by_pair[member_id, wanted] = now + time_s

    def may_forward_to(self, member_id: str, wanted: str, now: float) -> bool:
        """Return whether a member may take work again."""
        return self._until_by_pair.get((member_id, wanted), now) <= now


def more_specific_error(
    last: ComfreyhatchError | None, error: ComfreyhatchError
) -> ComfreyhatchError:
    """Return the error to give the caller of two; one without an endpoint says least."""
    if last is not None and error.code is ResultCode.NO_ENDPOINT:
        return last
    return error
