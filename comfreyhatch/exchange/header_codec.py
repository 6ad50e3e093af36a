"""Interface of the codec between HTTP headers and the types of `domain.exchange`."""

from typing import Protocol

from comfreyhatch.adapters.answer_identity import RequestIdentity
from comfreyhatch.adapters.http_message import HttpRequest, HttpResponse
from comfreyhatch.domain.exchange import AnswerHead, Dispatch, Exchange, Headers
from comfreyhatch.errors import ComfreyhatchError


class HeaderCodec(Protocol):
    """Decodes headers of callers and endpoints, and encodes those sent to them."""

    def read_exchange(self, request: HttpRequest) -> Exchange:
        """Decode the request of a caller."""

    def dispatch_headers(self, exchange: Exchange, dispatch: Dispatch) -> Headers:
        """Return the headers of a request that is sent to an endpoint."""

    def identity(self, headers: Headers) -> RequestIdentity:
        """Return what the answer to a request with some headers says of it."""

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode status and headers of an endpoint's answer."""

    def refusal(self, error: ComfreyhatchError) -> HttpResponse:
        """Return the response to a caller whose request failed with an error."""
