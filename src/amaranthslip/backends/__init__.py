"""Pooled HTTP connections to backend servers, and their load reports."""
