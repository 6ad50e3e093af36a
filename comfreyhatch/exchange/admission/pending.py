"""A request that waits for a slot, as the admission sees it."""

from msgspec import Struct

from comfreyhatch.decisions.fair_shares import Group
from comfreyhatch.decisions.least_cost import WaitingWork
from comfreyhatch.decisions.return_bookings import Return
from comfreyhatch.domain.exchange import Job


class PendingRequest(Struct):
    """A request that waits for a slot, or asks for one.

    Attributes:
        job: The request.
        first_s: Work until its answer or, of a stream, its first event, in seconds; 0 if unknown.
        work: What the order of the queue knows of it.
        groups: Groups whose service is kept above a floor.
        returned: How it relates to an earlier refusal.
    """

    job: Job
    first_s: float
    work: WaitingWork
    groups: tuple[Group, ...] = ()
    returned: Return = Return.NEW

    @property
    def early(self) -> bool:
        """Whether its caller came back before the time it was told."""
        return self.returned is Return.EARLY


def workspace_of(job: Job) -> str:
    """Return the workspace that a request counts for; its route, if that is public."""
    return job.workspace or f"route {job.route.name}"
