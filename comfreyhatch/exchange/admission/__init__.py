"""Queueing and refusal by the cost to callers, and the shares of workspaces."""
