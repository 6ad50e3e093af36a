"""Which daemons live, and what they tell each other of it."""
