"""Stand-ins of the platform, its workers and its requesters, for the scripts of this review."""
