"""Admission, endpoint loads and limits, slots, and the dispatch of requests to endpoints."""
