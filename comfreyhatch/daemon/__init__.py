"""The daemon: its background tasks and the handling of requests."""
