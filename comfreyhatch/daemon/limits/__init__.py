"""This daemon's shares of endpoint limits and its slices of customers' budgets."""
