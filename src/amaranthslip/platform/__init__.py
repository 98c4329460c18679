"""Platform: the users' names, formats and calls, and nothing that decides."""
