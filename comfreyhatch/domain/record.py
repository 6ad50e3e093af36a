"""The record of a request: what was decided, on what grounds, and what came of it."""

from msgspec import Struct

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.request import Usage


class Candidate(Struct, frozen=True, omit_defaults=True):
    """A version or an endpoint that was weighed.

    Attributes:
        name: Version id or endpoint id.
        passed_over: Why it was not taken; empty for the one chosen.
        estimate: Expected rating (versions) or load (endpoints), if known.
        cost_micros: Expected cost, if known.
    """

    name: str
    passed_over: str = ""
    estimate: float | None = None
    cost_micros: int | None = None


class Attempt(Struct, frozen=True, omit_defaults=True):
    """One dispatch to an endpoint.

    Attributes:
        endpoint_id: Where it ran.
        version_id: Which version ran; empty for plain services.
        dispatcher: Instance id of the daemon that sent it.
        zone: Zone of the endpoint.
        code: Result of the attempt.
        ran: Whether it may have run.
        started_unix_s: When the first byte went out, in seconds since the epoch.
        duration_s: How long it took.
        first_token_s: Time to the first token; None without one.
        usage: Tokens used.
        cost_micros: Price of the attempt.
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
    """All that is kept of a request.

    Attributes:
        request_id: Identifier; holds the incarnation and the time of acceptance.
        customer: Customer billed.
        at_unix_s: When it was accepted, in seconds since the epoch.
        daemon: Instance id of the daemon that accepted it.
        incarnation: Incarnation of that daemon.
        revision: Configuration revision in force.
        kind: "chat" or "service".
        task: Kind of task, or the plain service's name.
        clause: Contract clause that decided.
        session: Session id; empty without one.
        pin: How the session's version was found: token, pin, split or none.
        plan: Plan chosen, such as "direct small@2" or "cascade small@2 > large@3".
        grounds: Why the plan was chosen.
        versions: Versions weighed.
        endpoints: Endpoints weighed.
        attempts: Dispatches, in order.
        code: Final result.
        ran: Whether it ran.
        rating: Rating of the answer, if one was given.
        cost_micros: Billed amount.
        duration_s: Time from acceptance to the end.
        first_token_s: Time from acceptance to the first token.
        critical: Whether it used reserved slots.
        deadline_s: Time allowed, in seconds.
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
        """Rating of the answer that was delivered; None if another version's was rated."""
        answered = {attempt.version_id for attempt in self.attempts if attempt.code == 0}
        return self.rating if len(answered) == 1 else None
