"""What waits for an endpoint, and the endpoints with their slots."""
