"""Adapter for the users' platform: converts its settings, rows and headers to domain types."""
