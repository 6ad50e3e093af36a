"""Shares of an endpoint's limit among the daemons of its zone, without a coordinator."""

from collections import Counter
from math import ceil

from msgspec import Struct, field
from xxhash import xxh64_intdigest

ORPHAN_HOLD_S = 5.0
MAX_TOMBSTONES = 4096


class Peer(Struct, frozen=True, order=True):
    """One start of a daemon process.

    Attributes:
        instance_id: Name of the instance.
        incarnation: Identifier of this start; empty while it is not known.
    """

    instance_id: str
    incarnation: str = ""


class JoinRequest(Struct, frozen=True, tag="share-join"):
    """Asks a member of the zone to count the sender among those that share the limits."""

    sender: Peer


class JoinAnswer(Struct, frozen=True, tag="share-joined"):
    """Confirms that the sender counts the newcomer.

    Attributes:
        sender: The member that answers.
        newcomer: The sender of the request.
        number: Number of the answer, rising within the sender's incarnation.
        active: Whether the sender itself may dispatch.
        members: All that the sender counts, itself included.
        excess_by_endpoint: Running requests above the sender's new share, by endpoint.
        refused: Whether the newcomer is known as ended, so that it needs a new incarnation.
    """

    sender: Peer
    newcomer: Peer
    number: int
    active: bool
    members: tuple[Peer, ...]
    excess_by_endpoint: dict[str, int] = {}
    refused: bool = False


class LeaveNotice(Struct, frozen=True, tag="share-leave"):
    """Says that an incarnation runs nothing and will dispatch nothing more."""

    sender: Peer


class ExcessNotice(Struct, frozen=True, tag="share-excess"):
    """Tells a holder of running requests above the sender's share after a limit fell.

    Attributes:
        sender: The member whose requests these are.
        number: Numbered like its answers.
        excess_by_endpoint: All its running requests above its shares, by endpoint.
    """

    sender: Peer
    number: int
    excess_by_endpoint: dict[str, int]


class EndNotice(Struct, frozen=True, tag="share-ended"):
    """Says that an incarnation is proven to have ended."""

    ended: Peer


class MemberState(Struct):
    """What is known of a counted member.

    Attributes:
        answer_number: Number of the newest answer seen; 0 before the first.
        excess_by_endpoint: Its running requests above its share, as of that answer.
        drop_at: When it stops being counted; None while it is not known to have ended.
    """

    answer_number: int = 0
    excess_by_endpoint: dict[str, int] = field(default_factory=dict)
    drop_at: float | None = None


def rank_key(endpoint_id: str, peer: Peer) -> tuple[int, str]:
    """Return the sort key of the rendezvous order at an endpoint; the least ranks first."""
    return xxh64_intdigest(f"{endpoint_id}\0{peer.instance_id}".encode()), peer.incarnation


def slots_of_rank(limit: int, count: int, rank: int) -> int:
    """Return the slots of one member when a limit is dealt in turns.

    Args:
        limit: Slots in all.
        count: Number of members.
        rank: Position of the member, from 0.
    """
    return max(0, ceil((limit - rank) / count))


class ShareGroup:
    """The members that a daemon counts, and whether it may dispatch itself.

    Safety rests on one invariant: of two daemons that may dispatch, each counts the other.
    A share falls with the number counted and with the rank among them, so shares worked out
    from different supersets of the active members never add up to more than the limit.
    """

    def __init__(self, me: Peer, now: float, orphan_hold_s: float = ORPHAN_HOLD_S) -> None:
        self.me = me
        self.started_at = now
        self.orphan_hold_s = orphan_hold_s
        self.state_by_peer: dict[Peer, MemberState] = {}
        self.ended: dict[Peer, None] = {}
        self.discovered = False
        self.complete = False
        self.active = False
        self.left = False
        self.must_restart = False
        self._answers = 0
        self._rank_by_endpoint: dict[str, int] = {}
        self._ranked_by_endpoint: dict[str, list[Peer]] = {}
        self._excess_by_endpoint: Counter[str] = Counter()

    def discover(self, instance_ids: list[str], complete: bool) -> None:
        """Count the daemons of this zone learnt from settings, the instance list or the view.

        Args:
            instance_ids: Their names; an instance that is counted already stays as it is.
            complete: Whether every daemon that may be active is among those discovered.
        """
        known = {peer.instance_id for peer in (self.me, *self.state_by_peer)}
        for instance_id in instance_ids:
            if instance_id not in known and not self.active:
                self._count(Peer(instance_id))
        self.discovered = self.discovered or complete

    def peers_to_ask(self) -> list[Peer]:
        """Return the members to ask: no answer yet, an excess, or a second incarnation."""
        names = [peer.instance_id for peer in self.state_by_peer]
        return [
            peer
            for peer, standing in self.state_by_peer.items()
            if standing.drop_at is None
            and (
                not standing.answer_number
                or any(standing.excess_by_endpoint.values())
                or names.count(peer.instance_id) > 1
            )
        ]

    def handle_join(
        self, request: JoinRequest, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> JoinAnswer:
        """Count a newcomer and return the answer to it.

        Args:
            request: The newcomer's request.
            limit_by_endpoint: Limits as known here.
            running: Requests of this daemon running, by endpoint.
        """
        self._answers += 1
        if request.sender in self.ended or request.sender.instance_id == self.me.instance_id:
            return JoinAnswer(self.me, request.sender, self._answers, False, (), refused=True)
        self._count(request.sender)
        self._update_active()
        return JoinAnswer(
            self.me,
            request.sender,
            self._answers,
            self.active,
            (self.me, *(peer for peer in self.state_by_peer if peer.incarnation)),
            self._own_excess(limit_by_endpoint, running),
        )

    def excess_notice(
        self, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> ExcessNotice:
        """Return the notice of what runs here above the shares."""
        self._answers += 1
        return ExcessNotice(self.me, self._answers, self._own_excess(limit_by_endpoint, running))

    def handle_excess(self, notice: ExcessNotice) -> None:
        """Leave slots to a member's running requests until it says that they have ended."""
        standing = self.state_by_peer.get(notice.sender)
        if standing is not None and standing.answer_number:
            self._take_excess(standing, notice.number, notice.excess_by_endpoint)

    def handle_answer(self, answer: JoinAnswer, asked: Peer, now: float) -> None:
        """Take in a member's answer; old and doubled ones change nothing.

        Args:
            answer: The answer.
            asked: The member as it was known when the request went out.
            now: Present time.
        """
        if answer.newcomer != self.me:
            return
        if answer.sender != asked:
            self._replace(asked, now)
        if answer.refused:
            self._restart()
            return
        if answer.sender in self.ended:
            return
        for peer in (answer.sender, *answer.members):
            self._count(peer)
            if peer.instance_id == self.me.instance_id and peer != self.me:
                self.handle_end(peer, now)
        standing = self.state_by_peer.get(answer.sender)
        if standing is None:
            return
        self._take_excess(standing, answer.number, answer.excess_by_endpoint)
        self.complete = self.complete or answer.active
        self._update_active()

    def handle_leave(self, notice: LeaveNotice, now: float) -> None:
        """Drop a member that runs nothing any more."""
        self._end(notice.sender, now)
        self.expire(now)

    def handle_end(self, ended: Peer, now: float) -> None:
        """Stop counting a member that is proven to have ended, after the hold-down.

        Its requests may still run at endpoints that have not noticed the closed connections.
        """
        if ended == self.me:
            self._restart()
            return
        self._end(ended, now if not ended.incarnation else now + self.orphan_hold_s)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the members whose hold-down has passed."""
        if self.discovered and now >= self.started_at + self.orphan_hold_s:
            self.complete = True
        for peer, standing in list(self.state_by_peer.items()):
            if standing.drop_at is not None and now >= standing.drop_at:
                del self.state_by_peer[peer]
                self._forget_ranks()
                self._sum_excess()
        self._update_active()

    def leave(self) -> LeaveNotice:
        """Stop dispatching for good and return the notice; call it when nothing runs."""
        self.left = True
        self.active = False
        return LeaveNotice(self.me)

    def share(self, endpoint_id: str, limit: int) -> int:
        """Return this daemon's part of a limit, whether or not it may dispatch yet."""
        rank = self._rank_by_endpoint.get(endpoint_id)
        if rank is None:
            mine = rank_key(endpoint_id, self.me)
            rank = sum(rank_key(endpoint_id, peer) < mine for peer in self.state_by_peer)
            self._rank_by_endpoint[endpoint_id] = rank
        return slots_of_rank(limit, len(self.state_by_peer) + 1, rank)

    def slots(self, endpoint_id: str, limit: int) -> int:
        """Return how many requests this daemon may have running at an endpoint now."""
        if not self.active:
            return 0
        return max(0, self.share(endpoint_id, limit) - self._excess_by_endpoint[endpoint_id])

    def holders(self, endpoint_id: str, limit: int) -> list[Peer]:
        """Return the members that hold a slot of an endpoint, the largest share first."""
        first = self.ranked(endpoint_id)[: max(0, limit)]
        return [peer for peer in first if peer == self.me or self._is_live(peer)]

    def ranked(self, endpoint_id: str) -> list[Peer]:
        """Return the counted members, this one included, in their order at an endpoint."""
        ranked = self._ranked_by_endpoint.get(endpoint_id)
        if ranked is None:
            peers = (self.me, *self.state_by_peer)
            ranked = sorted(peers, key=lambda peer: rank_key(endpoint_id, peer))
            self._ranked_by_endpoint[endpoint_id] = ranked
        return ranked

    def _count(self, peer: Peer) -> None:
        if peer == self.me or peer in self.ended or peer in self.state_by_peer:
            return
        self.state_by_peer[peer] = MemberState()
        self._forget_ranks()

    def _forget_ranks(self) -> None:
        self._rank_by_endpoint.clear()
        self._ranked_by_endpoint.clear()

    def _own_excess(
        self, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> dict[str, int]:
        over = {
            endpoint_id: count - self.share(endpoint_id, limit_by_endpoint.get(endpoint_id, 0))
            for endpoint_id, count in running.items()
        }
        return {endpoint_id: count for endpoint_id, count in over.items() if count > 0}

    def _take_excess(
        self, standing: MemberState, number: int, excess_by_endpoint: dict[str, int]
    ) -> None:
        if number > standing.answer_number:
            standing.answer_number = number
            standing.excess_by_endpoint = excess_by_endpoint
            self._sum_excess()

    def _sum_excess(self) -> None:
        self._excess_by_endpoint = Counter()
        for standing in self.state_by_peer.values():
            self._excess_by_endpoint.update(standing.excess_by_endpoint)

    def _is_live(self, peer: Peer) -> bool:
        return self.state_by_peer[peer].drop_at is None

    def _replace(self, asked: Peer, now: float) -> None:
        """End a member whose instance answered as another incarnation after it was counted."""
        if asked in self.state_by_peer:
            self.handle_end(asked, now)

    def _restart(self) -> None:
        self.active = False
        self.must_restart = True

    def _end(self, peer: Peer, drop_at: float) -> None:
        if peer.incarnation:
            self.ended[peer] = None
        while len(self.ended) > MAX_TOMBSTONES:
            del self.ended[next(iter(self.ended))]
        standing = self.state_by_peer.get(peer)
        if standing is None:
            return
        known = standing.drop_at
        standing.drop_at = drop_at if known is None else min(known, drop_at)

    def _update_active(self) -> None:
        """Become active once every counted member has answered or is dropped."""
        if self.active or self.left or self.must_restart or not self.complete:
            return
        self.active = all(standing.answer_number for standing in self.state_by_peer.values())
