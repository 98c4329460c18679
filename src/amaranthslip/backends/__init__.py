"""Backends: HTTP to backend servers, pooled, and their load reports."""
