"""Proxy path of opaque requests: from the caller through the daemon to an endpoint and back."""
