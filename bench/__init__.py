"""Load, measurement and reports."""
