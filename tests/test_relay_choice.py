"""Choice of the daemons that relay requests."""

from random import Random

from comfreyhatch.decisions.relay_choice import (
    FIRST_DOWN_S,
    FIRST_HOLD_DOWN_S,
    MAX_RELAYS,
    MAX_UNREACHABLE,
    UNREACHABLE_HOLD_DOWN_S,
    RelayChoice,
)
from comfreyhatch.domain.instance import Address
from comfreyhatch.domain.relay import RelayAddress

RELAYS = {f"d{n}": RelayAddress(Address(f"10.0.0.{n}", 1), "ab"[n % 2]) for n in range(20)}


def test_daemon_of_the_endpoints_zone_comes_first() -> None:
    choice = RelayChoice(Random(1))
    for _ in range(20):
        found = choice.candidates(RELAYS, "desk", "b", 0.0)
        assert RELAYS[found[0]].zone == "b"
        assert len(set(found)) == MAX_RELAYS


def test_load_is_spread_over_the_daemons() -> None:
    choice = RelayChoice(Random(1))
    firsts = [choice.candidates(RELAYS, "desk", "ab"[n % 2], 0.0)[0] for n in range(2000)]
    assert max(firsts.count(daemon) for daemon in RELAYS) < 2 * 2000 / len(RELAYS)


def test_daemon_that_could_not_be_reached_is_left_out_for_a_time() -> None:
    choice = RelayChoice(Random(1))
    two = {"d0": RELAYS["d0"], "d1": RELAYS["d1"]}
    choice.note_lost("d0", 0.0)
    assert choice.candidates(two, "desk", "a", FIRST_HOLD_DOWN_S / 2) == ["d1"]
    assert len(choice.candidates(two, "desk", "a", FIRST_HOLD_DOWN_S)) == 2


def test_daemon_that_does_not_reach_a_service_is_asked_for_others() -> None:
    choice = RelayChoice(Random(1))
    two = {"d0": RELAYS["d0"], "d1": RELAYS["d1"]}
    choice.note_unreachable("d0", "desk", 0.0)
    assert choice.candidates(two, "desk", "a", 0.1) == ["d1"]
    assert len(choice.candidates(two, "engines", "a", 0.1)) == 2
    assert len(choice.candidates(two, "desk", "a", UNREACHABLE_HOLD_DOWN_S)) == 2


def test_nobody_is_asked_for_a_service_that_nobody_reaches() -> None:
    choice = RelayChoice(Random(1))
    for n in range(MAX_UNREACHABLE):
        choice.note_unreachable(f"d{n}", "desk", 0.0)
    assert choice.candidates(RELAYS, "desk", "a", FIRST_DOWN_S / 2) == []
    assert choice.candidates(RELAYS, "desk", "a", FIRST_DOWN_S)
    choice.note_reached("d9", "desk")
    choice.note_unreachable("d1", "desk", 1.0)
    assert choice.candidates(RELAYS, "desk", "a", 1.0)


def test_asks_for_a_service_that_is_down_stay_few() -> None:
    choice = RelayChoice(Random(1))
    relays = {f"d{n}": RelayAddress(Address(f"10.0.0.{n}", 1), "a") for n in range(420)}
    asked = 0
    for turn in range(3000):
        now = turn / 100
        for daemon in choice.candidates(relays, "desk", "a", now):
            asked += 1
            choice.note_unreachable(daemon, "desk", now)
    assert asked < 60


def test_daemons_of_a_zone_that_lost_its_paths_together_are_served_by_all_others() -> None:
    relays = {f"d{n}": RelayAddress(Address(f"10.0.0.{n}", 1), f"z{n % 14}") for n in range(195)}
    cut = {daemon for daemon, relay in relays.items() if relay.zone == "z0"}
    choice_by_daemon = {daemon: RelayChoice(Random(daemon)) for daemon in sorted(cut)}
    relayed: dict[str, int] = dict.fromkeys(relays, 0)
    late_failures = 0
    for turn in range(300):
        now = turn / 100
        for daemon, choice in choice_by_daemon.items():
            others = {name: relay for name, relay in relays.items() if name != daemon}
            for asked in choice.candidates(others, "desk", f"z{turn % 14}", now):
                if asked not in cut:
                    relayed[asked] += 1
                    choice.note_reached(asked, "desk")
                    break
                choice.note_unreachable(asked, "desk", now)
            else:
                late_failures += now > 1.0
    total = sum(relayed.values())
    assert late_failures == 0
    assert max(relayed.values()) < 3 * total / (len(relays) - len(cut))
