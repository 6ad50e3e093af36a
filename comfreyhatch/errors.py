"""Exceptions of comfreyhatch; each carries a numbered result code."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.failure import Failure


class ComfreyhatchError(Exception):
    """Base of all exceptions raised on purpose.

    Attributes:
        code: Numbered result code.
        ran: Whether the request is known not to have run.
        retry_after_s: When a caller may come back, in seconds; None when unknown.
    """

    code = ResultCode.INTERNAL
    ran = Ran.NO

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        if code is not None:
            self.code = code
        if ran is not None:
            self.ran = ran
        self.retry_after_s = retry_after_s


class RequestError(ComfreyhatchError):
    """The caller's request is refused for what it says."""

    code = ResultCode.BAD_REQUEST


class RefusedError(ComfreyhatchError):
    """The request is refused for the state of the fleet; it has not run."""

    code = ResultCode.OVERLOADED


class PromptBlockedError(RefusedError):
    """The request is refused, as endpoints crash on a part of its prompt."""

    code = ResultCode.PROMPT_BLOCKED


class RequestBlockedError(RefusedError):
    """The request is refused, as endpoints crash on it."""

    code = ResultCode.REQUEST_BLOCKED


class BackendError(ComfreyhatchError):
    """An endpoint failed; `ran` tells whether the request may have run.

    Attributes:
        failure: How the attempt failed at its endpoint; None if that is not to blame, or unknown.
    """

    code = ResultCode.ENDPOINT_FAILED
    ran = Ran.UNKNOWN

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
        failure: Failure | None = None,
    ) -> None:
        super().__init__(message, code, ran, retry_after_s)
        self.failure = failure


class BackendRefusedError(BackendError):
    """The endpoint said that it did not run the request."""

    code = ResultCode.ENDPOINT_REFUSED
    ran = Ran.NO


class EndpointUnreachableError(BackendRefusedError):
    """No connection to the endpoint could be opened; nothing has arrived there."""


class AbandonedError(BackendError):
    """The caller went away while its answer was coming."""

    code = ResultCode.ABANDONED
    ran = Ran.YES


class AnswerBrokenError(BackendError):
    """The answer ended before its end or belongs to another request."""

    code = ResultCode.ANSWER_BROKEN


class HttpError(ComfreyhatchError):
    """An HTTP exchange failed.

    `ran` is NO only when no byte of the request was written.
    """

    code = ResultCode.ENDPOINT_FAILED
    ran = Ran.UNKNOWN


class ConnectError(HttpError):
    """No connection could be opened; nothing was sent."""

    ran = Ran.NO

    @property
    def refused(self) -> bool:
        """Whether nothing listens at the address, rather than that it did not answer."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ExchangeTimeoutError(HttpError):
    """The peer did not answer in time."""


class ConnectionEndedError(HttpError):
    """The peer ended the connection without a complete answer."""


class RelayError(HttpError):
    """Another daemon that sent a request for this one broke off; its endpoint is not to blame."""


class NoRelayError(RelayError):
    """No other daemon could send a request for this one; nothing was sent."""

    ran = Ran.NO


class EndpointWithdrawnError(RelayError):
    """Another daemon knows that an endpoint gets no more requests; nothing was sent."""

    ran = Ran.NO


class UnnamedAnswerError(ExchangeTimeoutError):
    """No answer came but one that names no request, on a connection that has carried others."""


class AnswerMemoryError(HttpError):
    """There is no memory left for an answer; its peer is not to blame."""


class AnswerTooLargeError(HttpError):
    """An answer, or a part of it, exceeds its limit; its connection was reset."""


class PlatformError(ComfreyhatchError):
    """The platform's service does not answer or answers with an error."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class ConflictError(ComfreyhatchError):
    """Another change came first."""

    code = ResultCode.CONFLICT


class ChangeError(ComfreyhatchError):
    """A change does not fit the configuration."""

    code = ResultCode.CHANGE_INVALID


class ContractError(ComfreyhatchError):
    """A contract has errors."""

    code = ResultCode.CONTRACT_INVALID


class SettingsError(ComfreyhatchError):
    """The settings file has errors; the message lists them all."""

    code = ResultCode.SETTINGS_INVALID


class ListenError(ComfreyhatchError):
    """An address cannot be listened on."""

    code = ResultCode.ADDRESS_UNAVAILABLE


class PeerError(ComfreyhatchError):
    """A peer refused or could not be reached."""

    code = ResultCode.PEER_REFUSED


class PeerTimeoutError(PeerError):
    """A peer did not answer in time."""

    code = ResultCode.PEER_TIMEOUT


class StaleFenceError(ComfreyhatchError):
    """An order or write carried an old fencing number."""

    code = ResultCode.STALE_FENCE


class NotReadyError(ComfreyhatchError):
    """The instance may not serve yet."""

    code = ResultCode.NOT_READY
