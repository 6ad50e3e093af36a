"""State and processor time of tokens, pins and ranks at the size of the fleet to come.

Run: python -m bench.sessions
"""

import tracemalloc
from collections.abc import Callable
from time import perf_counter

from comfreyhatch.daemon.requests.sessions import MAX_PINS, PinStore
from comfreyhatch.decisions.sessions import (
    PIN_BUCKETS,
    Pin,
    SessionToken,
    holders_of_bucket,
    session_key,
    sign_token,
    verify_token,
)
from comfreyhatch.decisions.shares import MemberState, Peer, ShareGroup
from comfreyhatch.domain.instance import Address
from comfreyhatch.ports.peers import Member

DAEMONS = 420
ZONES = 14
ENDPOINTS_PER_ZONE = 357
LIMIT = 32
ROUNDS = 10_000
KEY = b"k" * 32


def seconds(work: Callable[[], object]) -> float:
    started = perf_counter()
    work()
    return perf_counter() - started


def fill_pins() -> PinStore:
    store = PinStore()
    for number in range(MAX_PINS):
        key = session_key("trackline", f"rider-{number}", "coach-large")
        store.propose(Pin(key, "coach-large@3", float(number)))
    return store


def zone_group() -> ShareGroup:
    group = ShareGroup(Peer("me", "1"), 0.0)
    for number in range(DAEMONS // ZONES - 1):
        group.state_by_peer[Peer(f"entry-{number}", "1")] = MemberState(answer_number=1)
    group.active = True
    return group


def rank_all(group: ShareGroup) -> None:
    for number in range(ENDPOINTS_PER_ZONE):
        group.slots(f"engine-{number}", LIMIT)
        group.ranked(f"engine-{number}")


def main() -> None:
    tracemalloc.start()
    store = fill_pins()
    print(f"pins: {len(store.pin_by_key)} in {tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB")
    tracemalloc.stop()
    nowhere = Address("", 0)
    members = [
        Member(f"entry-{number}", "1", f"zone-{number % ZONES}", nowhere, nowhere)
        for number in range(DAEMONS)
    ]
    buckets = seconds(lambda: [holders_of_bucket(b, members) for b in range(PIN_BUCKETS)])
    print(f"holders of {PIN_BUCKETS} buckets among {DAEMONS} daemons: {buckets * 1e3:.0f} ms")
    token = SessionToken("trackline", "rider-1", "coach-large", "coach-large@3")
    text = sign_token(KEY, token)
    sealing = seconds(lambda: [sign_token(KEY, token) for _ in range(ROUNDS)])
    opening = seconds(lambda: [verify_token((KEY,), text) for _ in range(ROUNDS)])
    print(f"token of {len(text)} characters: seal {sealing / ROUNDS * 1e6:.1f} us")
    print(f"token opened: {opening / ROUNDS * 1e6:.1f} us")
    group = zone_group()
    ranks = seconds(lambda: rank_all(group))
    print(f"ranks at {ENDPOINTS_PER_ZONE} endpoints: {ranks * 1e3:.0f} ms")


if __name__ == "__main__":
    main()
