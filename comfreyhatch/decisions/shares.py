"""Division of an endpoint's concurrency limit among the daemons of its zone, without a coordinator.

Each daemon counts the other daemons of its zone (the members) and derives its own share of a limit
from their number and its rank in the endpoint's rendezvous order. A newcomer dispatches only after
every member that it knows has confirmed that it counts the newcomer. A member is removed only when
its end is confirmed, never because it is silent: two daemons that cannot reach each other would
otherwise both take the whole limit.
"""

from collections import Counter
from math import ceil

from msgspec import Struct, field
from xxhash import xxh64_intdigest

# Time for which requests of an ended daemon may still run at endpoints.
ORPHAN_HOLD_S = 5.0
# Incarnations remembered as ended, so that late messages do not count them again.
MAX_TOMBSTONES = 4096


class Peer(Struct, frozen=True, order=True):
    """One incarnation of a daemon.

    Attributes:
        instance_id: Id of the instance.
        incarnation: Id of the incarnation; empty while it is not known.
    """

    instance_id: str
    incarnation: str = ""


class JoinRequest(Struct, frozen=True, tag="share-join"):
    """Asks a member of the zone to count the sender as a member."""

    sender: Peer


class JoinAnswer(Struct, frozen=True, tag="share-joined"):
    """Answer to a join request: confirms that its sender counts the newcomer as a member.

    Attributes:
        sender: The member that answers.
        newcomer: The sender of the request.
        number: Sequence number, increasing within the sender's incarnation.
        active: Whether the sender itself may dispatch.
        members: All members that the sender counts, itself included.
        excess_by_endpoint: Running requests above the sender's new share, by endpoint.
        refused: Whether the newcomer counts as ended, so that it needs a new incarnation.
    """

    sender: Peer
    newcomer: Peer
    number: int
    active: bool
    members: tuple[Peer, ...]
    excess_by_endpoint: dict[str, int] = {}
    refused: bool = False


class LeaveNotice(Struct, frozen=True, tag="share-leave"):
    """Announces that the sender has no running requests and will dispatch no more."""

    sender: Peer


class ExcessNotice(Struct, frozen=True, tag="share-excess"):
    """Announces running requests above the sender's share after a limit dropped.

    Attributes:
        sender: The member whose requests these are.
        number: Sequence number, from the same sequence as its answers.
        excess_by_endpoint: All its running requests above its shares, by endpoint.
    """

    sender: Peer
    number: int
    excess_by_endpoint: dict[str, int]


class EndNotice(Struct, frozen=True, tag="share-ended"):
    """Announces that the end of an incarnation is confirmed."""

    ended: Peer


class MemberState(Struct):
    """State of a counted member.

    Attributes:
        answer_number: Sequence number of its latest answer or excess notice; 0 before the first.
        excess_by_endpoint: Its running requests above its share, as of that message.
        drop_at: Monotonic time at which it is no longer counted, in seconds; None unless its end
            is confirmed.
    """

    answer_number: int = 0
    excess_by_endpoint: dict[str, int] = field(default_factory=dict)
    drop_at: float | None = None


def rank_key(endpoint_id: str, peer: Peer) -> tuple[int, str]:
    """Return the sort key of a member in the rendezvous order of an endpoint."""
    return xxh64_intdigest(f"{endpoint_id}\0{peer.instance_id}".encode()), peer.incarnation


def slots_of_rank(limit: int, count: int, rank: int) -> int:
    """Return the slots of one member when a limit is divided round-robin by rank.

    Args:
        limit: Slots to divide.
        count: Number of members.
        rank: Rank of the member, from 0.
    """
    return max(0, ceil((limit - rank) / count))


class ShareGroup:
    """The members that a daemon counts, and whether the daemon itself may dispatch (is active).

    Invariant: of two active daemons, each counts the other. A share decreases with the number of
    members and with the rank among them, so the shares of all active daemons never add up to more
    than the limit, even if each counts a different superset of them.

    In all methods `now` is monotonic time in seconds.
    """

    def __init__(self, me: Peer, now: float, orphan_hold_s: float = ORPHAN_HOLD_S) -> None:
        self.me = me
        self.started_at = now
        self.orphan_hold_s = orphan_hold_s
        self.state_by_peer: dict[Peer, MemberState] = {}
        self.ended: dict[Peer, None] = {}
        self._members_discovered = False
        self._members_complete = False
        self.active = False
        self.left = False
        self.must_restart = False
        self._last_number = 0
        self._rank_by_endpoint: dict[str, int] = {}
        self._ranked_by_endpoint: dict[str, list[Peer]] = {}
        self._excess_by_endpoint: Counter[str] = Counter()

    def discover(self, instance_ids: list[str], complete: bool) -> None:
        """Count the daemons of this zone found in settings, the instance list or the view.

        Args:
            instance_ids: Their instance ids; those counted already are left unchanged.
            complete: Whether every daemon that may be active is among those found.
        """
        counted = {peer.instance_id for peer in (self.me, *self.state_by_peer)}
        for instance_id in instance_ids:
            if instance_id not in counted and not self.active:
                self._count(Peer(instance_id))
        self._members_discovered = self._members_discovered or complete

    def peers_to_ask(self) -> list[Peer]:
        """Return the members to send join requests to.

        These are members without an answer, with an excess, or with two incarnations.
        """
        instance_ids = [peer.instance_id for peer in self.state_by_peer]
        return [
            peer
            for peer, state in self.state_by_peer.items()
            if state.drop_at is None
            and (
                not state.answer_number
                or any(state.excess_by_endpoint.values())
                or instance_ids.count(peer.instance_id) > 1
            )
        ]

    def handle_join(
        self, request: JoinRequest, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> JoinAnswer:
        """Count a newcomer and return the answer.

        Args:
            request: The newcomer's request.
            limit_by_endpoint: Limits known to this daemon, by endpoint.
            running: Running requests of this daemon, by endpoint.
        """
        self._last_number += 1
        if request.sender in self.ended or request.sender.instance_id == self.me.instance_id:
            return JoinAnswer(self.me, request.sender, self._last_number, False, (), refused=True)
        self._count(request.sender)
        self._update_active()
        return JoinAnswer(
            self.me,
            request.sender,
            self._last_number,
            self.active,
            (self.me, *(peer for peer in self.state_by_peer if peer.incarnation)),
            self._own_excess(limit_by_endpoint, running),
        )

    def excess_notice(
        self, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> ExcessNotice:
        """Return a notice of this daemon's running requests above its shares.

        Args:
            limit_by_endpoint: Limits known to this daemon, by endpoint.
            running: Running requests of this daemon, by endpoint.
        """
        self._last_number += 1
        return ExcessNotice(
            self.me, self._last_number, self._own_excess(limit_by_endpoint, running)
        )

    def handle_excess(self, notice: ExcessNotice) -> None:
        """Keep slots free for a member's excess requests until it reports that they have ended."""
        state = self.state_by_peer.get(notice.sender)
        if state is not None and state.answer_number:
            self._take_excess(state, notice.number, notice.excess_by_endpoint)

    def handle_answer(self, answer: JoinAnswer, asked: Peer, now: float) -> None:
        """Process a member's answer; outdated and duplicate answers have no effect.

        Args:
            answer: The answer.
            asked: The member to which the request was sent.
            now: Monotonic time in seconds.
        """
        if answer.newcomer != self.me:
            return
        if answer.sender != asked:
            self._end_replaced(asked, now)
        if answer.refused:
            self._require_restart()
            return
        if answer.sender in self.ended:
            return
        for peer in (answer.sender, *answer.members):
            self._count(peer)
            if peer.instance_id == self.me.instance_id and peer != self.me:
                self.handle_end(peer, now)
        state = self.state_by_peer.get(answer.sender)
        if state is None:
            return
        self._take_excess(state, answer.number, answer.excess_by_endpoint)
        self._members_complete = self._members_complete or answer.active
        self._update_active()

    def handle_leave(self, notice: LeaveNotice, now: float) -> None:
        """Remove a member that has left without running requests."""
        self._end(notice.sender, now)
        self.expire(now)

    def handle_end(self, ended: Peer, now: float) -> None:
        """Remove a member whose end is confirmed, after the hold-down.

        Until then its requests may still run at endpoints that have not yet noticed the closed
        connections. If the member is this daemon, it must restart as a new incarnation.
        """
        if ended == self.me:
            self._require_restart()
            return
        self._end(ended, now if not ended.incarnation else now + self.orphan_hold_s)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove the members whose hold-down has passed.

        If no active member has answered, the members found count as complete once the hold-down
        has passed since the start of this daemon.
        """
        if self._members_discovered and now >= self.started_at + self.orphan_hold_s:
            self._members_complete = True
        for peer, state in list(self.state_by_peer.items()):
            if state.drop_at is not None and now >= state.drop_at:
                del self.state_by_peer[peer]
                self._clear_ranks()
                self._sum_excess()
        self._update_active()

    def leave(self) -> LeaveNotice:
        """Stop dispatching for good and return the notice; call when no request is running."""
        self.left = True
        self.active = False
        return LeaveNotice(self.me)

    def share(self, endpoint_id: str, limit: int) -> int:
        """Return this daemon's share of a limit, whether or not it is active."""
        rank = self._rank_by_endpoint.get(endpoint_id)
        if rank is None:
            own_key = rank_key(endpoint_id, self.me)
            rank = sum(rank_key(endpoint_id, peer) < own_key for peer in self.state_by_peer)
            self._rank_by_endpoint[endpoint_id] = rank
        return slots_of_rank(limit, len(self.state_by_peer) + 1, rank)

    def slots(self, endpoint_id: str, limit: int) -> int:
        """Return how many requests this daemon may run at an endpoint now."""
        if not self.active:
            return 0
        return max(0, self.share(endpoint_id, limit) - self._excess_by_endpoint[endpoint_id])

    def holders(self, endpoint_id: str, limit: int) -> list[Peer]:
        """Return the live members with a slot of an endpoint, the largest share first."""
        with_slot = self.ranked(endpoint_id)[: max(0, limit)]
        return [peer for peer in with_slot if peer == self.me or self._is_live(peer)]

    def ranked(self, endpoint_id: str) -> list[Peer]:
        """Return all counted members and this daemon, in the rendezvous order of an endpoint."""
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
        self._clear_ranks()

    def _clear_ranks(self) -> None:
        self._rank_by_endpoint.clear()
        self._ranked_by_endpoint.clear()

    def _own_excess(
        self, limit_by_endpoint: dict[str, int], running: dict[str, int]
    ) -> dict[str, int]:
        excess = {
            endpoint_id: count - self.share(endpoint_id, limit_by_endpoint.get(endpoint_id, 0))
            for endpoint_id, count in running.items()
        }
        return {endpoint_id: count for endpoint_id, count in excess.items() if count > 0}

    def _take_excess(
        self, state: MemberState, number: int, excess_by_endpoint: dict[str, int]
    ) -> None:
        if number > state.answer_number:
            state.answer_number = number
            state.excess_by_endpoint = excess_by_endpoint
            self._sum_excess()

    def _sum_excess(self) -> None:
        self._excess_by_endpoint = Counter()
        for state in self.state_by_peer.values():
            self._excess_by_endpoint.update(state.excess_by_endpoint)

    def _is_live(self, peer: Peer) -> bool:
        return self.state_by_peer[peer].drop_at is None

    def _end_replaced(self, asked: Peer, now: float) -> None:
        """End a member whose instance has answered as another incarnation."""
        if asked in self.state_by_peer:
            self.handle_end(asked, now)

    def _require_restart(self) -> None:
        self.active = False
        self.must_restart = True

    def _end(self, peer: Peer, drop_at: float) -> None:
        if peer.incarnation:
            self.ended[peer] = None
        while len(self.ended) > MAX_TOMBSTONES:
            del self.ended[next(iter(self.ended))]
        state = self.state_by_peer.get(peer)
        if state is None:
            return
        earlier = state.drop_at
        state.drop_at = drop_at if earlier is None else min(earlier, drop_at)

    def _update_active(self) -> None:
        """Become active once all members are known and each has answered or was removed."""
        if self.active or self.left or self.must_restart or not self._members_complete:
            return
        self.active = all(state.answer_number for state in self.state_by_peer.values())
