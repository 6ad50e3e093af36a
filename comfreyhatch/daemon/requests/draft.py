"""The record of a request while it is being answered."""

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.record import Attempt, Candidate, RequestRecord
from comfreyhatch.domain.request import Usage
from comfreyhatch.domain.version import Version, cost_micros
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import Served


class RecordDraft(Struct):
    """Collects what is decided and done for one request.

    Attributes:
        request_id: Identifier of the request.
        customer: Customer billed.
        daemon: Instance id of this daemon.
        incarnation: Incarnation of this daemon.
        revision: Configuration revision in force.
        kind: "chat" or "service".
        task: Kind of task, or the plain service's name.
        session: Session id; empty without one.
        critical: Whether it uses reserved slots.
        started_unix_s: When it was accepted, in seconds since the epoch.
        started: The same as monotonic time, in seconds.
        deadline_s: Time allowed, in seconds.
        session_token: Signed token of the session, for the caller.
        moved_from: Withdrawn version that the session was moved from; empty if it was not.
    """

    request_id: str
    customer: str
    daemon: str
    incarnation: str
    revision: int
    kind: str
    task: str
    session: str
    critical: bool
    started_unix_s: float
    started: float
    deadline_s: float
    clause: str = ""
    pin: str = ""
    plan: str = ""
    grounds: str = ""
    versions: tuple[Candidate, ...] = ()
    endpoints: tuple[Candidate, ...] = ()
    attempts: tuple[Attempt, ...] = ()
    first_token_s: float | None = None
    rating: float | None = None
    code: ResultCode = ResultCode.OK
    served_version: str = ""
    session_token: str = ""
    moved_from: str = ""

    def add_attempt(
        self,
        version: Version | None,
        served: Served | None,
        started: float,
        now: float,
        usage: Usage = Usage(),
        error: ComfreyhatchError | None = None,
    ) -> None:
        """Add an attempt that has ended.

        Args:
            version: Version that ran; None for a plain service.
            served: Where it ran; None when it did not get to an endpoint.
            started: Monotonic time of its start, in seconds.
            now: Monotonic time, in seconds.
            usage: Tokens used.
            error: What ended it; None for success.
        """
        attempt = Attempt(
            endpoint_id=served.endpoint_id if served else "",
            version_id=version.version_id if version else "",
            dispatcher=served.dispatcher if served else "",
            zone=served.zone if served else "",
            slot=served.slot if served else "",
            code=error.code if error else ResultCode.OK,
            ran=error.ran if error else Ran.YES,
            started_unix_s=self.started_unix_s + started - self.started,
            duration_s=now - started,
            first_token_s=self.first_token_s,
            usage=usage,
            cost_micros=_cost(version, usage),
        )
        self.attempts = (*self.attempts, attempt)

    @property
    def cost_micros(self) -> int:
        """Cost of the attempts so far."""
        return sum(attempt.cost_micros for attempt in self.attempts)

    def record(self, now: float, code: ResultCode) -> RequestRecord:
        """Return the finished record.

        Args:
            now: Monotonic time, in seconds.
            code: Final result.
        """
        return RequestRecord(
            request_id=self.request_id,
            customer=self.customer,
            at_unix_s=self.started_unix_s,
            daemon=self.daemon,
            incarnation=self.incarnation,
            revision=self.revision,
            kind=self.kind,
            task=self.task,
            clause=self.clause,
            session=self.session,
            pin=self.pin,
            plan=self.plan,
            grounds=self.grounds,
            versions=self.versions,
            endpoints=self.endpoints,
            attempts=self.attempts,
            code=code,
            ran=_ran(self.attempts),
            rating=self.rating,
            cost_micros=self.cost_micros,
            duration_s=now - self.started,
            first_token_s=self.first_token_s,
            critical=self.critical,
            deadline_s=self.deadline_s,
        )


def _ran(attempts: tuple[Attempt, ...]) -> Ran:
    found = {attempt.ran for attempt in attempts}
    return next((ran for ran in (Ran.YES, Ran.UNKNOWN) if ran in found), Ran.NO)


def _cost(version: Version | None, usage: Usage) -> int:
    if version is None:
        return 0
    return cost_micros(version, usage.input_tokens, usage.output_tokens)
