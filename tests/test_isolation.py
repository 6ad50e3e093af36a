"""Readiness of a daemon that is cut off from the directory and all peers."""

import pytest

from comfreyhatch.decisions.isolation import ServiceReachability, should_report_unready

HEALTHY = ServiceReachability(0.0, 0.0, 0.1)


@pytest.mark.parametrize(
    ("service", "unready"),
    [
        (HEALTHY, False),
        (ServiceReachability(0.8, 0.05, 0.2), False),  # the reachable endpoints have capacity
        (ServiceReachability(0.8, 0.9, 0.2), True),  # the reachable endpoints are overloaded
        (ServiceReachability(0.8, 0.0, 0.9), True),
        (ServiceReachability(0.3, 0.9, 0.9), False),  # most endpoints are reachable
        (ServiceReachability(1.0, 0.0, 1.0), True),
    ],
)
def test_daemon_is_unready_if_most_endpoints_are_unreachable_and_the_rest_overloaded(
    service: ServiceReachability, unready: bool
) -> None:
    assert should_report_unready(True, [HEALTHY, service], was_unready=False) is unready
    assert not should_report_unready(False, [HEALTHY, service], was_unready=True)


def test_daemon_stays_unready_until_the_partition_heals() -> None:
    assert should_report_unready(True, [HEALTHY], was_unready=True)
