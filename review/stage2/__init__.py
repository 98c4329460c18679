"""Stand-ins and process control for the cases 6 to 10."""
