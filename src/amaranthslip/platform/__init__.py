"""Platform: clients of the key-value service and the instance list."""
