"""Entry: callers' HTTP, and the relay of answers."""

from amaranthslip.entry.entry import Entry

__all__ = ['Entry']
