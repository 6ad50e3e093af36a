"""Places to look for the record of a request: daemons, hours and stored segments."""

from comfreyhatch.decisions.journal import choose_buddies
from comfreyhatch.domain.journal import SegmentBill, hour_of
from comfreyhatch.ports.peers import MembershipView

HOUR_S = 3600.0
# How long after its acceptance a request may be recorded.
MAX_REQUEST_S = 2 * HOUR_S
MAX_CLOCK_SKEW_S = 30.0


def likely_holders(journal: str, own: str, view: MembershipView) -> list[str]:
    """Return the daemons that may have entries of a journal: its writer, then its buddies.

    The zone of a writer that has left is not known, so the possible buddies in each zone are
    returned.

    Args:
        journal: Name of the journal.
        own: Instance id of this daemon, which is left out.
        view: Live daemons.
    """
    members = view.member_by_id
    writers = [m.instance_id for m in members.values() if m.incarnation.startswith(journal)]
    writers += [m for m in members if journal.startswith(f"{m}-")]
    zones = sorted({member.zone for member in members.values()})
    buddies = [
        member.instance_id
        for zone in zones
        for member in choose_buddies(journal, writers[0] if writers else "", zone, view)
    ]
    return [name for name in dict.fromkeys(writers + buddies) if name != own]


def hours_between(first_unix_s: float, last_unix_s: float) -> list[str]:
    """Return the names of the hours from one time to another, both included, in order."""
    count = int(last_unix_s // HOUR_S - first_unix_s // HOUR_S)
    return [hour_of(first_unix_s + HOUR_S * index) for index in range(count + 1)]


def may_contain(bill: SegmentBill, at_unix_s: float) -> bool:
    """Return whether a segment may contain a request that was accepted at about a time."""
    return bill.first_unix_s - MAX_CLOCK_SKEW_S <= at_unix_s <= bill.last_unix_s + MAX_CLOCK_SKEW_S
