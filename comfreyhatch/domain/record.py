"""The record of a request: decisions with their reasons, attempts and result."""

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.request import Usage


class Candidate(Struct, frozen=True, omit_defaults=True):
    """A version or an endpoint that was considered for a request.

    Attributes:
        name: Version id or endpoint id.
        passed_over: Reason why it was not chosen; empty for the chosen one.
        estimate: Expected rating (versions) or load (endpoints); None if unknown.
        cost_micros: Expected cost, in micros; None if unknown.
    """

    name: str
    passed_over: str = ""
    estimate: float | None = None
    cost_micros: int | None = None


class Attempt(Struct, frozen=True, omit_defaults=True):
    """One dispatch to an endpoint.

    Attributes:
        endpoint_id: Endpoint that the request was sent to.
        version_id: Version that was requested; empty for plain services.
        dispatcher: Instance id of the daemon that sent it.
        zone: Zone of the endpoint.
        code: Result of the attempt.
        ran: Whether it ran, as far as known.
        started_unix_s: Time at which the first byte was sent, in seconds since the epoch.
        duration_s: Duration of the attempt, in seconds.
        first_token_s: Time to the first token, in seconds; None if there was none.
        usage: Tokens used.
        cost_micros: Cost of the attempt, in micros.
        slot: Slot of the endpoint that it held, as "number/limit".
    """

    endpoint_id: str
    version_id: str
    dispatcher: str
    zone: str
    code: ResultCode
    ran: Ran
    started_unix_s: float
    duration_s: float
    first_token_s: float | None = None
    usage: Usage = Usage()
    cost_micros: int = 0
    slot: str = ""


class RequestRecord(Struct, frozen=True, omit_defaults=True):
    """The stored record of a request.

    Attributes:
        request_id: Identifier; contains the incarnation and the time of acceptance.
        customer: Customer billed.
        at_unix_s: Time of acceptance, in seconds since the epoch.
        daemon: Instance id of the daemon that accepted it.
        incarnation: Incarnation of that daemon.
        revision: Configuration revision in force.
        kind: "chat" or "service".
        task: Kind of task, or the plain service's name.
        clause: Contract clause that decided on the request.
        session: Session id; empty without a session.
        pin: How the session's version was found: by the session token ("token"), a stored pin
            ("pin") or the shares of new sessions ("split"); empty without a session.
        plan: Plan chosen, such as "direct small@2" or "cascade small@2 > large@3".
        grounds: Reason why the plan was chosen.
        versions: Versions that were considered.
        endpoints: Endpoints that were considered.
        attempts: Attempts, in order.
        code: Final result.
        ran: Whether it ran, as far as known.
        rating: Rating of the answer, if one was given.
        cost_micros: Billed amount, in micros.
        duration_s: Time from acceptance to the end, in seconds.
        first_token_s: Time from acceptance to the first token, in seconds; None if there was none.
        critical: Whether it used reserved slots.
        deadline_s: Time from acceptance to the deadline, in seconds.
    """

    request_id: str
    customer: str
    at_unix_s: float
    daemon: str
    incarnation: str
    revision: int
    kind: str
    task: str = ""
    clause: str = ""
    session: str = ""
    pin: str = ""
    plan: str = ""
    grounds: str = ""
    versions: tuple[Candidate, ...] = ()
    endpoints: tuple[Candidate, ...] = ()
    attempts: tuple[Attempt, ...] = ()
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.NO
    rating: float | None = None
    cost_micros: int = 0
    duration_s: float = 0.0
    first_token_s: float | None = None
    critical: bool = False
    deadline_s: float = 0.0

    @property
    def delivered_rating(self) -> float | None:
        """Rating of the delivered answer; None unless exactly one version answered."""
        answered = {attempt.version_id for attempt in self.attempts if attempt.code == 0}
        return self.rating if len(answered) == 1 else None
