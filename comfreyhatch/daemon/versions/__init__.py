"""Which versions answer: plans, ratings, quarantine, roll-outs."""
