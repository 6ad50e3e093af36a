"""The few peers that a daemon pools its evidence with."""

from xxhash import xxh64_intdigest

from comfreyhatch.ports.peers import View

MAX_EVIDENCE_PEERS = 5


def evidence_peers(own_id: str, view: View) -> list[str]:
    """Return a bounded number of peers, the same order for each pair from both sides.

    The number is constant, so that evidence costs a daemon the same in a fleet of any size.
    """
    peers = [peer for peer in view.member_by_id if peer != own_id]
    return sorted(peers, key=lambda peer: _pair_weight(own_id, peer))[:MAX_EVIDENCE_PEERS]


def _pair_weight(one: str, other: str) -> int:
    return xxh64_intdigest("|".join(sorted((one, other))).encode())
