"""Interfaces towards everything outside the process."""
