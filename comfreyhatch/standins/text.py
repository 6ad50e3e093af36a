"""Text that stand-in engines generate, and the quality that stand-in raters read from it."""

from xxhash import xxh32_intdigest

GOOD_WORDS = ("steady", "clear", "exact", "sound", "complete", "checked", "useful", "right")
POOR_WORDS = ("maybe", "unclear", "vague", "missing", "off", "unsure", "partial", "wrong")
HASH_RANGE = 1 << 32


def token(request_id: str, index: int, quality: float) -> str:
    """Return the token of an answer at an index; the same on every engine and resume."""
    number = xxh32_intdigest(f"{request_id}/{index}".encode())
    words = GOOD_WORDS if number / HASH_RANGE < quality else POOR_WORDS
    return words[number % len(words)] + " "


def quality_of(answer: str) -> float:
    """Return the share of good words in an answer."""
    words = answer.split()
    if not words:
        return 0.0
    return sum(word in GOOD_WORDS for word in words) / len(words)
