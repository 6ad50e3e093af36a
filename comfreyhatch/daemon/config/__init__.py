"""Replication and editing of the fleet configuration."""
