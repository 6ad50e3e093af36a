"""Versions in service: plans, ratings, quarantine and roll-outs."""
