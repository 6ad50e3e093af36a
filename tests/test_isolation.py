"""Callers of a zone that is cut off."""

import pytest

from comfreyhatch.decisions.isolation import ServiceReach, leaves_callers

WELL = ServiceReach(0.0, 0.0, 0.1)


@pytest.mark.parametrize(
    ("reach", "leaves"),
    [
        (WELL, False),
        (ServiceReach(0.8, 0.05, 0.2), False),  # serves what it can
        (ServiceReach(0.8, 0.9, 0.2), True),  # work piles up at what is left
        (ServiceReach(0.8, 0.0, 0.9), True),
        (ServiceReach(0.3, 0.9, 0.9), False),  # busy like everybody
        (ServiceReach(1.0, 0.0, 1.0), True),
    ],
)
def test_callers_are_left_to_others_only_where_they_gain(reach: ServiceReach, leaves: bool) -> None:
    assert leaves_callers(True, [WELL, reach], left_before=False) is leaves
    assert not leaves_callers(False, [WELL, reach], left_before=True)


def test_callers_do_not_come_and_go_while_the_cut_lasts() -> None:
    assert leaves_callers(True, [WELL], left_before=True)
