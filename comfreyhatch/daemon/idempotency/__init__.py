"""Calls with an idempotency key, each of which runs at most once."""
