"""Evidence of roll-outs between this version and the one before, which stores fewer fields."""

from msgspec import Struct
from msgspec.json import decode, encode

from comfreyhatch.decisions.trial_evidence import pool_evidence
from comfreyhatch.domain.operations import Evidence, VersionOutcomes


class EvidenceBefore(Struct, frozen=True):
    """Evidence as the version before (ee8a460) reads and writes it."""

    service: str
    order_revision: int
    daemon: str
    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]


class EvidenceWithoutFailures(Struct, frozen=True):
    """Evidence as the version before (6b80f31) reads and writes it."""

    service: str
    order_revision: int
    daemon: str
    target_by_route: dict[str, VersionOutcomes]
    other_by_route: dict[str, VersionOutcomes]
    target_by_endpoint: dict[str, dict[str, VersionOutcomes]] = {}


FOUND = {"a": VersionOutcomes(4, 1, 2)}


def test_evidence_of_this_version_is_read_by_the_one_before() -> None:
    row = encode(Evidence("s", 7, "d1", FOUND, FOUND, {"a": {"e1": VersionOutcomes(4, 1, 2)}}))
    assert decode(row, type=EvidenceBefore) == EvidenceBefore("s", 7, "d1", FOUND, FOUND)


def test_evidence_of_the_version_before_is_read() -> None:
    row = encode(EvidenceBefore("s", 7, "d1", FOUND, FOUND))
    assert decode(row, type=Evidence) == Evidence("s", 7, "d1", FOUND, FOUND, {})


def test_new_fields_are_passed_over_by_the_version_before() -> None:
    by_endpoint = {"a": {"e1": VersionOutcomes(4, 1, 2)}}
    row = encode(
        Evidence("s", 7, "d1", FOUND, FOUND, by_endpoint, {"status 503": 1}, {"stall": 2}, 9)
    )
    before = EvidenceWithoutFailures("s", 7, "d1", FOUND, FOUND, by_endpoint)
    assert decode(row, type=EvidenceWithoutFailures) == before


def test_evidence_without_the_new_fields_is_read() -> None:
    row = encode(EvidenceWithoutFailures("s", 7, "d1", FOUND, FOUND))
    assert decode(row, type=Evidence) == Evidence("s", 7, "d1", FOUND, FOUND, {}, {}, {}, 0)
    # Its answers stand for the requests that it has sent.
    assert pool_evidence([decode(row, type=Evidence)]).target_sent == 4
