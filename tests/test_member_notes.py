"""Refusals by other daemons are remembered for a time."""

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.member_notes import (
    FULL_S,
    MAX_NOTES,
    NO_ENDPOINT_S,
    MemberNotes,
    more_telling,
)
from comfreyhatch.errors import BackendError, RefusedError

FULL = RefusedError("full")
NONE = RefusedError("none", ResultCode.NO_ENDPOINT)


def test_refusals_pass_and_failures_are_not_refusals() -> None:
    notes = MemberNotes()
    notes.refused("d1", "v@1", FULL, 10.0)
    notes.refused("d2", "v@1", NONE, 10.0)
    notes.refused("d3", "v@1", BackendError("broke", ran=Ran.UNKNOWN), 10.0)
    assert not notes.worth_asking("d1", "v@1", 10.0)
    assert notes.worth_asking("d1", "v@1", 10.0 + FULL_S)
    assert not notes.worth_asking("d2", "v@1", 10.0 + FULL_S)
    assert notes.worth_asking("d2", "v@1", 10.0 + NO_ENDPOINT_S)
    assert notes.worth_asking("d1", "v@2", 10.0)
    assert notes.worth_asking("d3", "v@1", 10.0)


def test_notes_are_bounded() -> None:
    notes = MemberNotes()
    for number in range(2 * MAX_NOTES):
        notes.refused(f"d{number}", "v@1", FULL, 0.0)
    assert len(notes._until_by_pair) == MAX_NOTES


def test_caller_hears_of_overload_rather_than_of_a_missing_endpoint() -> None:
    assert more_telling(FULL, NONE) is FULL
    assert more_telling(NONE, FULL) is FULL
    assert more_telling(None, NONE) is NONE
