"""Settings of members for tests."""

import typing

from amaranthslip import settings

_UNUSED = 'http://127.0.0.1:1'


def build(
    name: str,
    *,
    links: dict[str, typing.Any] | None = None,
    members: dict[str, typing.Any] | None = None,
    peers: str = '127.0.0.1:0',
) -> settings.Settings:
    """Return validated settings of an instance on free loopback ports."""
    unused = '127.0.0.1:0'
    return settings.check_settings(
        {
            'instance': {
                'name': name,
                'failure_domain': 'poa-a',
                'region': 'rs-sul',
            },
            'addresses': {
                'callers': unused,
                'operators': unused,
                'peers': peers,
            },
            'platform': {'key_value': _UNUSED},
            'links': {'via': {}, **(links or {})},
            'members': members or {},
        }
    )
