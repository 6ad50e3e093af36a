"""Interface of the codec between callers' and endpoints' headers and the product's types."""

from typing import Protocol

from comfreyhatch.adapters.http_server import HttpRequest, HttpResponse
from comfreyhatch.domain.exchange import AnswerHead, Dispatch, Exchange, Headers
from comfreyhatch.errors import ComfreyhatchError


class HeaderCodec(Protocol):
    """Decodes and encodes; decides nothing."""

    def read_exchange(self, request: HttpRequest) -> Exchange:
        """Return the request of a caller as an exchange."""

    def dispatch_headers(self, exchange: Exchange, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request is sent to an endpoint."""

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    def refusal(self, error: ComfreyhatchError) -> HttpResponse:
        """Return the answer to a caller whose request is not served."""
