"""Selects the peers with which a daemon exchanges evidence about versions."""

from xxhash import xxh64_intdigest

from comfreyhatch.ports.peers import MembershipView

MAX_EVIDENCE_PEERS = 5


def evidence_peers(own_id: str, view: MembershipView) -> list[str]:
    """Return the peers to exchange evidence with, by rendezvous hashing of pairs of ids.

    The weight of a pair is the same from both sides. The number of peers is bounded, so that the
    cost of exchanging evidence does not grow with the fleet.
    """
    peers = [peer for peer in view.member_by_id if peer != own_id]
    return sorted(peers, key=lambda peer: _pair_weight(own_id, peer))[:MAX_EVIDENCE_PEERS]


def _pair_weight(one: str, other: str) -> int:
    return xxh64_intdigest("|".join(sorted((one, other))).encode())
