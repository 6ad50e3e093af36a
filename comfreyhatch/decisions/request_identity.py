"""What tells that two requests are the same: each time a caller repeats one, it has another id."""

from xxhash import xxh3_128

from comfreyhatch.domain.exchange import Exchange


def request_identity(exchange: Exchange) -> bytes:
    """Return a hash of caller, host, method, target and body, the same at all daemons."""
    found = xxh3_128()
    head = (exchange.host, exchange.api_key, exchange.method, exchange.target)
    for part in (*(text.encode() for text in head), exchange.body):
        found.update(b"%d:" % len(part))
        found.update(part)
    return found.digest()
