"""Configuration: the document, its parts and its versions.

The public names are imported when they are first asked for: an instance whose
platform keeps the configuration needs none of the store, and starts a fifth
of a second sooner without it.
"""

import importlib
import typing

_MODULES = {
    'Document': 'document',
    'Holder': 'holder',
    'Spread': 'spread',
    'Store': 'store',
    'Submission': 'submission',
}

__all__ = ['Document', 'Holder', 'Spread', 'Store', 'Submission']


def __getattr__(name: str) -> typing.Any:
    if name not in _MODULES:
        raise AttributeError(name)
    module = importlib.import_module(f'{__name__}.{_MODULES[name]}')
    return getattr(module, name)
