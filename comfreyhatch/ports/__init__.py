"""Interfaces to all systems outside the process, with in-memory implementations."""
