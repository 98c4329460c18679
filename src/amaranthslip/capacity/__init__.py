"""Capacity: backend servers, their slots, limits and health."""
