"""The path of a request: listener, router, forwarding, sessions, answers."""
