"""The request path: caller listener, routing, forwarding, sessions and response encoding."""
