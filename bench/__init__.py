"""Benchmarks; run by hand, never by CI."""
