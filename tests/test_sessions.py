"""Version affinity of sessions: split, tokens, pins, replaced daemons, zones and partitions."""

import asyncio
from collections.abc import Iterator
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from comfreyhatch.codes import Ran, ResultCode
from comfreyhatch.daemon.requests.sessions import PinStore, ResolvedSession, SessionResolver
from comfreyhatch.decisions.sessions import (
    Pin,
    SessionToken,
    bucket_of,
    holders_of_bucket,
    session_key,
    sign_token,
    split_version,
    verify_token,
    winning_pin,
)
from comfreyhatch.domain.contract import Contract
from comfreyhatch.domain.fleet import FleetConfig
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.request import ChatMessage, ChatRequest
from comfreyhatch.domain.version import Version, VersionState
from comfreyhatch.errors import RefusedError
from comfreyhatch.ports.peers import Member, MembershipView, MemoryNetwork

KEY = b"fleet key"
OLD = Version("coach", "1", 1, 1)
NEW = Version("coach", "2", 1, 1, share=10, replaces="coach@1")
NOWHERE = Address("127.0.0.1", 1)
KEYS = [session_key("trackline", f"rider-{number}", "coach") for number in range(400)]


def contract(on_withdrawn: str = "refuse") -> Contract:
    return Contract("trackline", allowed=("coach",), on_withdrawn=on_withdrawn)  # type: ignore[arg-type]


def config(share: int, old: VersionState = VersionState.ACTIVE) -> FleetConfig:
    versions = (replace(OLD, state=old), replace(NEW, share=share))
    return FleetConfig(version_by_id={v.version_id: v for v in versions})


def split(key: str, share: int) -> str:
    version = split_version(key, "coach", contract(), config(share))
    assert version
    return version.version_id


def test_split_follows_the_share_and_growth_takes_no_session_off_the_new_version() -> None:
    on_new = [{key for key in KEYS if split(key, share) == "coach@2"} for share in range(101)]
    assert all(fewer <= more for fewer, more in zip(on_new, on_new[1:], strict=False))
    assert on_new[0] == set() and len(on_new[100]) == len(KEYS)
    assert 0.4 * len(KEYS) < len(on_new[50]) < 0.6 * len(KEYS)


def test_draining_and_disallowed_versions_get_no_new_sessions() -> None:
    draining = config(0, VersionState.DRAINING)
    version = split_version(KEYS[0], "coach", contract(), draining)
    assert version and version.version_id == "coach@2"
    version = split_version(KEYS[0], "coach", contract(), config(100), {"coach@2"})
    assert version and version.version_id == "coach@1"
    only_old = Contract("trackline", allowed=("coach@1",))
    version = split_version(KEYS[0], "coach", only_old, config(100))
    assert version and version.version_id == "coach@1"


TEXT = st.text(max_size=20)


@given(TEXT, TEXT, st.integers(0, 200), st.integers(1, 255))
def test_changed_token_is_rejected_or_has_the_same_content(
    customer: str, session: str, position: int, flip: int
) -> None:
    token = SessionToken(customer, session, "coach", "coach@1")
    text = sign_token(KEY, token)
    assert verify_token((b"next key", KEY), text) == token
    assert verify_token((b"next key",), text) is None
    position %= len(text)
    changed = f"{text[:position]}{chr(ord(text[position]) ^ flip)}{text[position + 1 :]}"
    verified = verify_token((KEY,), changed)
    assert verified is None or verified == token


@given(
    st.lists(
        st.builds(Pin, st.just("k"), st.sampled_from("abc"), st.floats(0, 9), st.integers(0, 2)),
        min_size=1,
    )
)
def test_stores_that_merge_the_same_pins_in_any_order_agree(pins: list[Pin]) -> None:
    one, other = PinStore(), PinStore()
    for pin in pins:
        one.merge(pin)
    for pin in reversed(pins):
        other.merge(pin)
    assert one.pin_by_key == other.pin_by_key
    assert one.pin_by_key["k"].moves == max(pin.moves for pin in pins)


def test_store_evicts_the_least_recently_used_pins() -> None:
    store = PinStore(limit=2)
    for key in ("a", "b", "a", "c"):
        store.propose(Pin(key, "coach@1", 0.0))
    assert set(store.pin_by_key) == {"a", "c"}


def test_holders_are_in_two_zones_and_most_stay_holders_when_a_daemon_leaves() -> None:
    members = [Member(f"d{n}", "1", "ab"[n % 2], NOWHERE, NOWHERE) for n in range(6)]
    zone_by_id = {member.instance_id: member.zone for member in members}
    unchanged = 0
    for bucket in range(64):
        before = holders_of_bucket(bucket, members).names
        assert {zone_by_id[name] for name in before} == {"a", "b"}
        after = holders_of_bucket(bucket, members[1:]).names
        unchanged += len(set(before) & set(after))
    assert unchanged >= 96  # of 128: two holders for each of 64 buckets
    assert holders_of_bucket(0, []).names == ()


class Daemons:
    """Session resolvers of several daemons over one in-memory network."""

    def __init__(self, *zones: str) -> None:
        self.network = MemoryNetwork()
        self.clock = count(1)
        self.member_by_id: dict[str, Member] = {}
        self.sessions_by_id: dict[str, SessionResolver] = {}
        for number, zone in enumerate(zones):
            self.add(f"d{number}", zone)

    def add(self, name: str, zone: str) -> None:
        self.member_by_id[name] = Member(name, "1", zone, NOWHERE, NOWHERE)
        bus = self.network.join(name)
        view = lambda: MembershipView(dict(self.member_by_id))  # noqa: E731
        self.sessions_by_id[name] = SessionResolver(
            name, (KEY,), bus, view, lambda: float(next(self.clock)), timeout_s=5.0
        )

    async def kill(self, name: str) -> None:
        del self.sessions_by_id[name], self.network.bus_by_id[name], self.member_by_id[name]
        await self.hand_over_pins()

    async def hand_over_pins(self) -> None:
        for sessions in self.sessions_by_id.values():
            await sessions.hand_over()

    async def ask(
        self,
        name: str,
        fleet: FleetConfig,
        session: str = "rider-1",
        token: str = "",
        customer_contract: Contract | None = None,
        proposed: Version = OLD,
    ) -> ResolvedSession:
        call = ChatRequest(
            "r",
            "trackline",
            (ChatMessage("user", "hi"),),
            "coach",
            session=session,
            session_token=token,
        )
        return await self.sessions_by_id[name].resolve(
            call, customer_contract or contract(), fleet, lambda: proposed
        )

    def partition(self, *side: str) -> None:
        names = set(self.sessions_by_id)
        for one in side:
            for other in names - set(side):
                self.network.cut |= {(one, other), (other, one)}


def sessions_on_old() -> Iterator[str]:
    """Yield sessions that the split assigns to the old version at a share of 10 but not of 90."""
    for number in range(400):
        session = f"rider-{number}"
        key = session_key("trackline", session, "coach")
        if split(key, 10) == "coach@1" and split(key, 90) == "coach@2":
            yield session


SESSION = next(sessions_on_old())


@pytest.mark.parametrize("with_token", [True, False])
async def test_session_keeps_its_version_through_a_growing_share_and_replaced_daemons(
    with_token: bool,
) -> None:
    daemons = Daemons("a", "a", "b", "b")
    first = await daemons.ask("d0", config(10), SESSION)
    assert (first.version_id, first.source) == ("coach@1", "split")
    token = first.token if with_token else ""
    for name in ("d0", "d3", "d1", "d2"):
        later = await daemons.ask(name, config(90), SESSION, token)
        assert later.version_id == "coach@1"
        assert later.source == ("token" if with_token else "pin")
    for number, name in enumerate(("d0", "d1", "d2", "d3")):
        await daemons.kill(name)
        daemons.add(f"new-{number}", "ab"[number % 2])
        await daemons.hand_over_pins()
        asked = await daemons.ask(f"new-{number}", config(95), SESSION, token)
        assert asked.version_id == "coach@1"


async def test_token_suffices_where_no_peer_can_be_reached() -> None:
    daemons = Daemons("a", "b", "c")
    first = await daemons.ask("d0", config(10), SESSION)
    daemons.partition("d2")
    daemons.member_by_id = {"d2": daemons.member_by_id["d2"]}
    assert (await daemons.ask("d2", config(90), SESSION, first.token)).version_id == "coach@1"


async def test_session_without_token_follows_a_reachable_holder_and_else_the_split() -> None:
    daemons = Daemons("a", "a", "b", "b", "c", "c")
    await daemons.ask("d0", config(10), SESSION)
    names = set(daemons.sessions_by_id)
    holders = {n for n, s in daemons.sessions_by_id.items() if s.pins.pin_by_key}
    assert len(holders) == 2
    reached, lost = sorted(holders)
    asker = min(names - holders)
    daemons.partition(lost)
    assert (await daemons.ask(asker, config(90), SESSION)).version_id == "coach@1"
    daemons.partition(reached)
    alone = min(names - holders - {asker})
    split_again = await daemons.ask(alone, config(90), SESSION)
    assert (split_again.version_id, split_again.source) == ("coach@2", "split")


async def test_concurrent_first_requests_agree_on_one_version() -> None:
    """Daemons with different configurations propose different versions at the same time."""
    daemons = Daemons("a", "a", "b", "b")
    shares = (10, 90, 10, 90)
    for session in list(sessions_on_old())[:20]:
        asks = [
            daemons.ask(name, config(share), session)
            for name, share in zip(daemons.sessions_by_id, shares, strict=True)
        ]
        resolved = await asyncio.gather(*asks)
        assert len({one.version_id for one in resolved}) == 1


async def test_holders_that_do_not_answer_in_time_are_ignored() -> None:
    daemons = Daemons("a", "b")
    sessions = daemons.sessions_by_id["d0"]
    sessions._timeout_s = 0.01
    never = asyncio.Event()

    async def silent(name: str, proposal: Pin) -> Pin | None:
        await never.wait()
        return None

    sessions._propose_to = silent  # type: ignore[method-assign]
    assert (await daemons.ask("d0", config(10), SESSION)).source == "split"


@pytest.mark.parametrize("with_token", [True, False])
async def test_session_of_a_withdrawn_version_is_refused_as_not_run(with_token: bool) -> None:
    daemons = Daemons("a", "b")
    first = await daemons.ask("d0", config(10), SESSION)
    withdrawn = config(100, VersionState.WITHDRAWN)
    with pytest.raises(RefusedError) as refused:
        await daemons.ask("d1", withdrawn, SESSION, first.token if with_token else "")
    assert (refused.value.code, refused.value.ran) == (ResultCode.VERSION_WITHDRAWN, Ran.NO)


@pytest.mark.parametrize("with_token", [True, False])
async def test_session_of_a_withdrawn_version_moves_once_and_reports_it(with_token: bool) -> None:
    daemons = Daemons("a", "b", "b")
    customer_contract = contract("move")
    first = await daemons.ask("d0", config(10), SESSION, customer_contract=customer_contract)
    withdrawn = config(100, VersionState.WITHDRAWN)
    token = first.token if with_token else ""
    moved = await daemons.ask("d1", withdrawn, SESSION, token, customer_contract)
    assert (moved.version_id, moved.moved_from) == ("coach@2", "coach@1")
    after = await daemons.ask(
        "d2", withdrawn, SESSION, moved.token if with_token else "", customer_contract
    )
    assert (after.version_id, after.moved_from) == ("coach@2", "")


async def test_session_keeps_a_draining_version() -> None:
    daemons = Daemons("a", "b")
    first = await daemons.ask("d0", config(10), SESSION)
    draining = config(100, VersionState.DRAINING)
    for token in (first.token, ""):
        assert (await daemons.ask("d1", draining, SESSION, token)).version_id == "coach@1"
    assert (await daemons.ask("d1", draining, "new")).version_id == "coach@2"


async def test_token_of_another_customer_or_session_is_ignored() -> None:
    daemons = Daemons("a", "b")
    for customer, session in (("other", SESSION), ("trackline", "another")):
        token = sign_token(KEY, SessionToken(customer, session, "coach", "coach@2"))
        assert (await daemons.ask("d0", config(10), SESSION, token)).version_id == "coach@1"


async def test_leaving_daemon_sends_its_pins_to_their_new_holders() -> None:
    daemons = Daemons("a", "b", "b")
    await daemons.ask("d0", config(10), SESSION)
    bucket = bucket_of(session_key("trackline", SESSION, "coach"))
    first, second = holders_of_bucket(bucket, daemons.member_by_id.values()).names
    (third,) = set(daemons.sessions_by_id) - {first, second}
    await daemons.sessions_by_id[first].hand_over(leaving=True)
    assert daemons.sessions_by_id[third].pins.pin_by_key


def test_pin_with_more_moves_wins_over_an_older_one() -> None:
    assert winning_pin(Pin("k", "a", 1.0), Pin("k", "b", 2.0, moves=1)).version_id == "b"
    assert winning_pin(Pin("k", "a", 1.0), Pin("k", "b", 2.0)).version_id == "a"


def test_proposal_with_an_older_time_does_not_replace_the_stored_pin() -> None:
    """Only more moves replace a stored pin, whatever the clock of the proposing daemon says."""
    store = PinStore()
    stored = store.propose(Pin("k", "coach@1", 5.0))
    assert store.propose(Pin("k", "coach@2", 1.0)) == stored
    assert store.propose(Pin("k", "coach@2", 9.0, moves=1)).version_id == "coach@2"


async def test_holders_with_different_pins_get_the_winning_one() -> None:
    daemons = Daemons("a", "b")
    key = session_key("trackline", SESSION, "coach")
    pins = (Pin(key, "coach@1", 1.0), Pin(key, "coach@2", 2.0))
    for order in (pins, pins[::-1]):
        for sessions, pin in zip(daemons.sessions_by_id.values(), order, strict=True):
            sessions.pins.pin_by_key[key] = pin
        for name in ("d0", "d1"):
            assert (await daemons.ask(name, config(10), SESSION)).version_id == "coach@1"
        await asyncio.sleep(0)
        for sessions in daemons.sessions_by_id.values():
            assert sessions.pins.pin_by_key[key] == pins[0]
