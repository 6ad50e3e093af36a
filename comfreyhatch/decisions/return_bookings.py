"""Times at which refused callers are told to come back, booked where there is room."""

from collections import OrderedDict
from enum import Enum
from random import Random

from msgspec import Struct

from comfreyhatch.decisions.waiting import MIN_RETRY_AFTER_S, retry_after_s

# Part of the slots that may be booked. The rest stays for newcomers: with all of it booked, each
# request would be refused once before it is served.
BOOKABLE_PART = 0.5
# Time before and after the booked one at which a caller still keeps its place: rounding of the
# told value and the way there and back, and the time in which its place is still of use.
EARLY_TOLERANCE_S = 0.05
LATE_TOLERANCE_S = 2.0
# Bound on the remembered callers; the earliest refused one is forgotten first.
MAX_BOOKINGS = 2048


class Return(Enum):
    """How a request relates to an earlier refusal."""

    NEW = "new"
    ON_TIME = "on_time"
    EARLY = "early"
    WITHOUT_PLACE = "without_place"


class Booking(Struct, frozen=True):
    """A time at which a refused caller was told to come back.

    Attributes:
        at: Monotonic time, in seconds.
        has_place: Whether it keeps its place at that time.
        request_id: Id of the refused request; when the caller repeats it, it has another one.
    """

    at: float
    has_place: bool
    request_id: str


class ReturnBookings:
    """Booked returns of refused callers of one service."""

    def __init__(self, rng: Random) -> None:
        """Create it without bookings.

        Args:
            rng: Seeded source of the jitter of times without a place.
        """
        self._rng = rng
        self._booking_by_key: OrderedDict[tuple[str, bytes], Booking] = OrderedDict()
        self._booked_until_by_kind: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._booking_by_key)

    def book(
        self,
        key: tuple[str, bytes],
        request_id: str,
        kind: str,
        work_s: float,
        drain_s: float,
        slots: float,
        latest: float,
        now: float,
    ) -> Booking:
        """Book the time at which a refused caller is to come back.

        A caller keeps a place only if that time is of use to it. Others are told when the waiting
        work is served, at a random point: they may get what is not booked, as newcomers do. One
        that has a booking ahead, as it came back too early, keeps that.

        Args:
            key: Workspace and identity of its request.
            request_id: Id of the request.
            kind: Kind of the request; each kind has an equal part of the bookable slots.
            work_s: Work of the request, in seconds.
            drain_s: Time until the waiting work is served, in seconds.
            slots: Slots that serve it.
            latest: Monotonic time until which coming back is of use, in seconds.
            now: Monotonic time in seconds.
        """
        earlier = self._booking_by_key.get(key)
        if earlier is not None and earlier.at > now + EARLY_TOLERANCE_S:
            return earlier
        at = max(now + max(MIN_RETRY_AFTER_S, drain_s), self._booked_until_by_kind.get(kind, 0.0))
        if at > latest:
            # No room is taken, so that the next caller with more time left gets it.
            at = now + retry_after_s(drain_s, latest - now, self._rng)
            booking = Booking(at, False, request_id)
        else:
            self._booked_until_by_kind[kind] = now
            live = sum(1 for until in self._booked_until_by_kind.values() if until >= now)
            self._booked_until_by_kind[kind] = at + work_s * live / (slots * BOOKABLE_PART)
            booking = Booking(at, True, request_id)
        self._booking_by_key[key] = booking
        self._booking_by_key.move_to_end(key)
        if len(self._booking_by_key) > MAX_BOOKINGS:
            self._booking_by_key.popitem(last=False)
        return booking

    def is_awaited(self, workspace: str, now: float) -> bool:
        """Return whether callers of other workspaces are still to come back."""
        return any(
            booking.at > now and key[0] != workspace
            for key, booking in reversed(self._booking_by_key.items())
        )

    def take(
        self, key: tuple[str, bytes], request_id: str, now: float
    ) -> tuple[Return, float | None]:
        """Return whether a request comes back from a refusal, and its booked time if it has one.

        A booking is used once it is returned with a place; one that is still ahead is kept. Another
        attempt of the refused request itself is no return of its caller.

        Args:
            key: Workspace and identity of the request.
            request_id: Id of the request.
            now: Monotonic time in seconds.
        """
        booking = self._booking_by_key.get(key)
        if booking is None:
            return Return.NEW, None
        if now < booking.at - EARLY_TOLERANCE_S:
            same = booking.request_id == request_id
            return Return.WITHOUT_PLACE if same else Return.EARLY, None
        del self._booking_by_key[key]
        if not booking.has_place or now > booking.at + LATE_TOLERANCE_S:
            return Return.WITHOUT_PLACE, None
        return Return.ON_TIME, booking.at
