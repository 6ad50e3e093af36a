"""Shares of endpoint limits and slices of budgets."""
