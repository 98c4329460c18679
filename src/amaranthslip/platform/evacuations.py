"""Decodes the operator's requests to evacuate a failure domain."""

# The key of a request is this prefix and the name of the failure domain. The
# request holds until the operator removes the key; its value has no meaning.
PREFIX = 'op/evacuate/'


def read_failure_domain(key: str) -> str:
    """Return the failure domain of a key; empty if the key names none."""
    return key.removeprefix(PREFIX)
