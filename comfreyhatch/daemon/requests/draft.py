"""Builder of a request's record, filled while the request is being served."""

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.record import Attempt, Candidate, RequestRecord
from comfreyhatch.domain.request import Usage
from comfreyhatch.domain.version import Version, cost_micros
from comfreyhatch.errors import ComfreyhatchError
from comfreyhatch.ports.engine import AnswerOrigin


class RecordDraft(Struct):
    """Collects the decisions and attempts of one request until its record is written.

    Attributes:
        request_id: Identifier of the request.
        customer: Customer billed.
        daemon: Instance id of this daemon.
        incarnation: Incarnation of this daemon.
        revision: Configuration revision in force.
        kind: "chat" or "service".
        task: Kind of task, or the plain service's name.
        session: Session id; empty without one.
        critical: Whether it may use reserved slots.
        started_unix_s: When it was accepted, in seconds since the epoch.
        started_at: The same as monotonic time, in seconds.
        deadline_s: Time allowed, in seconds.
        clause: Contract clause that allowed the request.
        pin: How the session's version was found: token, pin or split; empty without a session.
        plan: Description of the plan, such as "direct small@2".
        grounds: Why the plan was chosen and what happened while it ran.
        versions: Versions considered.
        endpoints: Endpoints considered.
        attempts: Attempts that have ended, in order.
        first_token_s: Time to the first chunk, in seconds; None before.
        rating: Rating of the answer; None if it was not rated.
        code: Unused; `record` takes the final result.
        served_version: Version whose answer is sent, or the last version of a plan that failed;
            empty until an answer is sent or the plan's last step starts.
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
    started_at: float
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
        served: AnswerOrigin | None,
        started_at: float,
        now: float,
        usage: Usage = Usage(),
        error: ComfreyhatchError | None = None,
    ) -> None:
        """Add an attempt that has ended.

        Args:
            version: Version that ran; None for a plain service.
            served: Where it ran; None if it reached no endpoint or the endpoint is unknown.
            started_at: Monotonic time of its start, in seconds.
            now: Monotonic time, in seconds.
            usage: Tokens used.
            error: Error that ended it; None for success.
        """
        attempt = Attempt(
            endpoint_id=served.endpoint_id if served else "",
            version_id=version.version_id if version else "",
            dispatcher=served.dispatcher if served else "",
            zone=served.zone if served else "",
            slot=served.slot if served else "",
            code=error.code if error else ResultCode.OK,
            ran=error.ran if error else Ran.YES,
            started_unix_s=self.started_unix_s + started_at - self.started_at,
            duration_s=now - started_at,
            first_token_s=self.first_token_s,
            usage=usage,
            cost_micros=_cost_micros(version, usage),
        )
        self.attempts = (*self.attempts, attempt)

    @property
    def cost_micros(self) -> int:
        """Cost of the attempts so far, in millionths of the currency unit."""
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
            ran=_combined_ran(self.attempts),
            rating=self.rating,
            cost_micros=self.cost_micros,
            duration_s=now - self.started_at,
            first_token_s=self.first_token_s,
            critical=self.critical,
            deadline_s=self.deadline_s,
        )


def _combined_ran(attempts: tuple[Attempt, ...]) -> Ran:
    """Return YES if any attempt ran, else UNKNOWN if any may have run, else NO."""
    found = {attempt.ran for attempt in attempts}
    return next((ran for ran in (Ran.YES, Ran.UNKNOWN) if ran in found), Ran.NO)


def _cost_micros(version: Version | None, usage: Usage) -> int:
    if version is None:
        return 0
    return cost_micros(version, usage.input_tokens, usage.output_tokens)
