"""Links: messages between instances over TCP."""
