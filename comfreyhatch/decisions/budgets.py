"""Decides on spending."""

from collections.abc import Sequence

from comfreyhatch.domain.request import ChatMessage
from comfreyhatch.domain.version import Version, cost_micros

MESSAGE_OVERHEAD_TOKENS = 8


def worst_cost_micros(version: Version, messages: Sequence[ChatMessage], max_tokens: int) -> int:
    """Return the most that an answer may cost; no token is shorter than a byte."""
    sizes = [len(m.content.encode()) + MESSAGE_OVERHEAD_TOKENS for m in messages]
    return cost_micros(version, sum(sizes), max_tokens)
