"""Explanations as text, and the grouping of many requests."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.domain.record import Attempt, Candidate, RequestRecord
from comfreyhatch.porcelain.explain import explain_lines, group_lines, group_records

DRAFT = Attempt("e-1", "small@1", "d-1", "z1", ResultCode.OK, Ran.UNKNOWN, 0, 0.5, slot="2/8")
FINAL = Attempt("e-2", "large@1", "d-2", "z2", ResultCode.OK, Ran.UNKNOWN, 0, 1.5)
RECORD = RequestRecord(
    "r-1",
    "trackline",
    1_800_000_000.0,
    "d-1",
    "d-1-abc",
    7,
    "chat",
    clause="allowed=small,large",
    plan="cascade small@1 > large@1",
    grounds="estimate 0.6",
    versions=(Candidate("small@1", estimate=0.6), Candidate("old@1", "withdrawn")),
    attempts=(DRAFT, FINAL),
    rating=0.4,
    cost_micros=12,
    deadline_s=30,
)
CODES = st.sampled_from([ResultCode.OK, ResultCode.OVERLOADED, ResultCode.ENDPOINT_FAILED])


def test_explanation_holds_all_grounds() -> None:
    text = "\n".join(explain_lines(RECORD))
    for expected in (
        "2027-01-15T08:00:00.000+00:00 by d-1 (d-1-abc)",
        "customer   trackline, revision 7 in force",
        "version    small@1: chosen, estimate 0.600",
        "version    old@1: passed over: withdrawn",
        "attempt 1  e-1 in zone z1 small@1 slot 2/8 by d-1",
        "attempt 2  e-2 in zone z2 large@1 by d-2",
        "rating     0.400, of an answer that was not delivered",
        "bill       12 micros",
    ):
        assert expected in text


def test_rating_of_the_delivered_answer_stands_alone() -> None:
    lines = explain_lines(replace(RECORD, attempts=(FINAL,)))
    assert "rating     0.400" in lines


@given(ends=st.lists(st.tuples(CODES, st.sampled_from(["e-1", "e-2", ""]), st.integers(0, 99))))
def test_groups_lose_no_request_and_failures_come_first(
    ends: list[tuple[ResultCode, str, int]],
) -> None:
    records = [
        replace(
            RECORD,
            request_id=str(number),
            code=code,
            at_unix_s=float(at),
            attempts=(replace(FINAL, endpoint_id=endpoint),) if endpoint else (),
        )
        for number, (code, endpoint, at) in enumerate(ends)
    ]
    groups = group_records(list(records))
    assert sum(group.requests for group in groups) == len(records)
    assert sum(group.cost_micros for group in groups) == 12 * len(records)
    answered = [group.code == 0 for group in groups]
    assert answered == sorted(answered)
    for group in groups:
        times = [records[int(sample)].at_unix_s for sample in group.samples]
        assert times == sorted(times, reverse=True)
        assert all(records[int(sample)].code == group.code for sample in group.samples)
    good = sum(code is ResultCode.OK for code, _, _ in ends)
    assert group_lines(groups)[0] == f"{good} answered, {len(ends) - good} not answered"
