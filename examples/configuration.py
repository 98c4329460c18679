"""Accepts configuration versions over a custom store.

Run it with `python examples/configuration.py`. It prints the results for two
writers that change the same version.
"""

import copy
import pathlib
import tomllib

from amaranthslip import configuration
from amaranthslip import errors
from amaranthslip import settings

_DOCUMENT = pathlib.Path(__file__).parent / 'consorcio' / 'document.toml'
_SETTINGS = settings.check_settings(
    {
        'instance': {
            'name': 'hn-a-1',
            'failure_domain': 'hn-a',
            'region': 'vn-north',
        },
        'addresses': {
            'callers': '127.0.0.1:8080',
            'operators': '127.0.0.1:9090',
            'peers': '127.0.0.1:7000',
        },
        'platform': {
            'key_value': 'http://127.0.0.1:2379',
        },
    }
)


class Entry:
    """A key with its value and the store revision of its last change."""

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class MemoryStore:
    """A store with compare-and-swap; an embedding program supplies its own."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revision = 0

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        return self._entries.get(key)

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return the entries whose keys have the prefix, sorted by key."""
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in keys]

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write a value if the key's revision is the expected one.

        Returns
        -------
        int or None
            The new revision; None if the current revision differs.
        """
        if self._read_revision(key) != expected:
            return None
        self._revision += 1
        self._entries[key] = Entry(key, value, self._revision)
        return self._revision

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete a key if its revision is the expected one."""
        if self._read_revision(key) != expected:
            return False
        del self._entries[key]
        return True

    def _read_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0


def submit(
    submission: configuration.Submission, document: dict, *, author: str
) -> None:
    """Submit a document based on version 1 and print the result."""
    try:
        accepted = submission.submit(document, base=1, author=author)
    except errors.ConfigurationConflict as conflict:
        print(f'{author}: conflict, {conflict.current} is accepted already')
        print(f'  it changed: {conflict.changes_since_base}')
    else:
        print(f'{author}: accepted as version {accepted.version}')


def main() -> None:
    """Submit a first version, then two concurrent changes to it."""
    store = configuration.Store(_SETTINGS, MemoryStore())
    holder = configuration.Holder()
    submission = configuration.Submission(
        store,
        holder=holder,
        accepted=lambda snapshot: holder.apply(snapshot.document),
    )
    first = tomllib.loads(_DOCUMENT.read_text(encoding='utf-8'))
    submission.submit(first, base=0, author='lan')
    print(f'in force: version {holder.document.version}')
    share_change, slots_change = copy.deepcopy(first), copy.deepcopy(first)
    share_change['client_accounts'][0]['share'] = 2.5
    slots_change['backend_servers'][0]['slots'] = 12
    submit(submission, share_change, author='lan')
    submit(submission, slots_change, author='automation')
    print(f'in force: version {holder.document.version}')


if __name__ == '__main__':
    main()
