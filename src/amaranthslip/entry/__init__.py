"""Entry: callers' HTTP, and the relay of answers."""
