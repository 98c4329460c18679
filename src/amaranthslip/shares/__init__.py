"""Shares: which client account is served next, across the fleet."""
