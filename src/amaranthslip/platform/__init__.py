"""Adapters for the platform's names, formats and calls.

No module in this package makes a routing decision.
"""
