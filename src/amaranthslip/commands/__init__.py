"""Commands: the command line."""
