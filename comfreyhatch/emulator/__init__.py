"""Replays load patterns through the routing decisions on deterministic models of engines."""
