"""A prompt-prefix cache with limited memory, and the events that it publishes."""

from collections import OrderedDict
from random import Random

from msgspec import Struct
from xxhash import xxh64_hexdigest

from comfreyhatch.ports.engine import GenerateRequest

EVENTS_KEPT = 1000


class CacheEvent(Struct, frozen=True):
    """A prefix was stored or evicted."""

    number: int
    at_s: float
    kind: str
    prefix: str
    session: str


class AttentionState(Struct, frozen=True):
    """Exported attention state: prefixes with their lengths in tokens."""

    handle: str
    session: str
    token_count_by_prefix: dict[str, int]


def prompt_tokens(request: GenerateRequest) -> int:
    """Return the number of tokens of the prompt, one a word."""
    return sum(len(message.content.split()) for message in request.messages)


def prefixes(request: GenerateRequest) -> list[tuple[str, int]]:
    """Return each prefix of whole messages with its length in tokens."""
    text = request.version_id
    tokens = 0
    result = []
    for message in request.messages:
        text += f"\x00{message.role}\x00{message.content}"
        tokens += len(message.content.split())
        result.append((xxh64_hexdigest(text.encode()), tokens))
    return result


class PrefixCache:
    """Prefixes in order of their last use."""

    def __init__(self, capacity_tokens: int, random: Random) -> None:
        self.capacity_tokens = capacity_tokens
        self.hit_tokens = 0
        self.event_gap_rate = 0.0
        self._random = random
        self._entry_by_prefix: OrderedDict[str, tuple[int, str]] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0

    def use(self, request: GenerateRequest, now: float) -> int:
        """Look a prompt up, store it, and return how many of its tokens are not cached."""
        found = prefixes(request)
        cached = max((tokens for key, tokens in found if key in self._entry_by_prefix), default=0)
        self.hit_tokens += cached
        for key, tokens in found:
            self._store(key, tokens, request.session, now)
        return prompt_tokens(request) - cached

    def export(self, session: str) -> AttentionState:
        """Return the state of a session."""
        entries = self._entry_by_prefix.items()
        tokens = {key: count for key, (count, owner) in entries if owner == session}
        return AttentionState(f"attention-{session}", session, tokens)

    def load(self, state: AttentionState, now: float) -> None:
        """Store exported state."""
        for key, tokens in state.token_count_by_prefix.items():
            self._store(key, tokens, state.session, now)

    def events(self, after: int, until_s: float) -> list[CacheEvent]:
        """Return events after a number that are old enough to be published."""
        return [e for e in self._events if e.number > after and e.at_s <= until_s]

    def _store(self, key: str, tokens: int, session: str, now: float) -> None:
        if key not in self._entry_by_prefix:
            self._publish("stored", key, session, now)
        self._entry_by_prefix[key] = (tokens, session)
        self._entry_by_prefix.move_to_end(key)
        while self._size() > self.capacity_tokens and len(self._entry_by_prefix) > 1:
            evicted, (_, owner) = self._entry_by_prefix.popitem(last=False)
            self._publish("evicted", evicted, owner, now)

    def _size(self) -> int:
        return sum(tokens for tokens, _ in self._entry_by_prefix.values())

    def _publish(self, kind: str, key: str, session: str, now: float) -> None:
        self._number += 1
        if self._random.random() < self.event_gap_rate:
            return
        self._events.append(CacheEvent(self._number, now, kind, key, session))
        del self._events[:-EVENTS_KEPT]
