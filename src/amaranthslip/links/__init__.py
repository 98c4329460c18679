"""TCP connections that carry messages between instances."""
