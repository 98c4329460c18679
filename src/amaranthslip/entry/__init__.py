"""HTTP entry point: serves callers and relays backend answers."""

from amaranthslip.entry.entry import Entry

__all__ = ['Entry']
