"""Path of an opaque request through the daemon, from the caller to an endpoint and back."""
