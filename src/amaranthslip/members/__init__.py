"""Members: which instances are alive, as the instances decide it."""
