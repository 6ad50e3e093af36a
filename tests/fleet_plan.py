"""What a fleet of processes consists of, and what its callers ask for."""

from msgspec import Struct, field

from tests.endpoint_process import EndpointOptions

SIZE_BY_SERVICE = {"engines": 5, "desk": 3}
RATES = {"stream": 24.0, "read": 30.0, "pay": 12.0}
PATH_BY_KIND = {"stream": "/draft/one", "read": "/read/one", "pay": "/pay/one"}
SERVICE_BY_KIND = {"stream": "engines", "read": "desk", "pay": "desk"}
MAX_ATTEMPTS_BY_KIND = {"stream": 3, "read": 2, "pay": 1}


class FleetPlan(Struct):
    """What a fleet consists of, and what its callers ask for.

    Attributes:
        daemons: Number of daemons.
        endpoints: How the endpoints behave.
        ratio: Repeats that the budget allows for each request.
        slack: Repeats that it allows besides.
        window_s: Window in which it is counted, in seconds.
        deadline_s: Time that callers give a request, in seconds.
        again: Share of the requests that their callers send again under the same id after a 503.
        signals: Whether SIGTERM and SIGHUP to one daemon after the other are among the mixed
            disturbances.
        zones: Zones over which daemons and endpoints are spread.
        has_links: Whether endpoints are reached by way of links that may fail.
        speeds: Times that work takes at endpoints, as multiples of the usual time; endpoints report
            their load and pace. Empty for endpoints that are alike and report nothing.
    """

    daemons: int = 2
    endpoints: EndpointOptions = field(default_factory=EndpointOptions)
    ratio: float = 0.15
    slack: int = 6
    window_s: float = 6.0
    deadline_s: float = 5.0
    again: float = 0.0
    signals: bool = False
    zones: tuple[str, ...] = ("a",)
    has_links: bool = False
    speeds: tuple[float, ...] = ()
