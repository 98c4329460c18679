"""Settings and documents for the tests of the configuration."""

import copy
import typing

from amaranthslip import settings as settings_module
from tests.support import documents


def build_settings(
    name: str = 'poa-a-1',
    failure_domain: str = 'poa-a',
    operators: str = '127.0.0.1:0',
    **sections: dict[str, typing.Any],
) -> settings_module.Settings:
    """Return the settings of an instance."""
    values: dict[str, typing.Any] = {
        'instance': {
            'name': name,
            'failure_domain': failure_domain,
            'region': 'rs-sul',
        },
        'addresses': {
            'callers': '127.0.0.1:0',
            'operators': operators,
            'peers': '127.0.0.1:0',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:1',
        },
    }
    return settings_module.check_settings(values | sections)


def change_share(
    values: dict[str, typing.Any], name: str, share: float
) -> dict[str, typing.Any]:
    """Return a copy of a document with another share for one account."""
    changed = copy.deepcopy(values)
    for account in changed['client_accounts']:
        if account['name'] == name:
            account['share'] = share
    return changed


def read_consortium() -> dict[str, typing.Any]:
    """Return the example document of the consortium."""
    return documents.read_example('consorcio')
