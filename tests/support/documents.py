"""Configuration documents for tests, as parsed values."""

import hashlib
import pathlib
import typing

from amaranthslip.configuration import files

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'


def hash_key(name: str) -> str:
    """Return the hash of the bearer key of an example account."""
    return 'sha256:' + hashlib.sha256(f'key-{name}'.encode()).hexdigest()


def read_example(deployment: str) -> dict[str, typing.Any]:
    """Return the example document of a deployment as parsed values."""
    path = EXAMPLES / deployment / 'document.toml'
    return typing.cast('dict[str, typing.Any]', files.read_values(path))


def build_large(accounts: int) -> dict[str, typing.Any]:
    """Return the consortium's document with generated accounts."""
    values = read_example('consorcio')
    values['client_accounts'] = [
        {
            'name': f'account-{number}',
            'share': 1 + number % 7,
            'services': ['gia-su-llm', 'cho-hoc-app'],
            'keys': [hash_key(f'account-{number}')],
        }
        for number in range(accounts)
    ]
    return values
