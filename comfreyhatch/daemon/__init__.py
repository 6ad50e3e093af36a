"""Tasks of the daemon and the path of a request."""
