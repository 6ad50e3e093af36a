"""Callers of a zone that is cut off."""

import pytest

from comfreyhatch.decisions.isolation import ServiceReachability, should_report_unready

WELL = ServiceReachability(0.0, 0.0, 0.1)


@pytest.mark.parametrize(
    ("reach", "leaves"),
    [
        (WELL, False),
        (ServiceReachability(0.8, 0.05, 0.2), False),  # serves what it can
        (ServiceReachability(0.8, 0.9, 0.2), True),  # work piles up at what is left
        (ServiceReachability(0.8, 0.0, 0.9), True),
        (ServiceReachability(0.3, 0.9, 0.9), False),  # busy like everybody
        (ServiceReachability(1.0, 0.0, 1.0), True),
    ],
)
def test_callers_are_left_to_others_only_where_they_gain(
    reach: ServiceReachability, leaves: bool
) -> None:
    assert should_report_unready(True, [WELL, reach], was_unready=False) is leaves
    assert not should_report_unready(False, [WELL, reach], was_unready=True)


def test_callers_do_not_come_and_go_while_the_cut_lasts() -> None:
    assert should_report_unready(True, [WELL], was_unready=True)
