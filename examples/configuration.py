"""Accept versions of a configuration over a store of your own.

Run it: `python examples/configuration.py`. It prints what two writers are
told that change the same version.
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
    """A key's value and its revision, which grows with each change."""

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class MemoryStore:
    """Any store with a compare-and-swap; an embedder brings its own."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revision = 0

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None if it is absent."""
        return self._entries.get(key)

    def read_prefix(self, prefix: str) -> list[Entry]:
        """Return every entry whose key starts with the prefix."""
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in keys]

    def swap(self, key: str, value: bytes, *, expected: int) -> int | None:
        """Write if the revision is the expected one; None: it is not."""
        if self._read_revision(key) != expected:
            return None
        self._revision += 1
        self._entries[key] = Entry(key, value, self._revision)
        return self._revision

    def delete(self, key: str, *, expected: int) -> bool:
        """Delete if the revision is the expected one."""
        if self._read_revision(key) != expected:
            return False
        del self._entries[key]
        return True

    def _read_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else 0


def submit(
    submission: configuration.Submission, values: dict, *, author: str
) -> None:
    """Submit a change of version 1 and print what the writer is told."""
    try:
        accepted = submission.submit(values, base=1, author=author)
    except errors.ConfigurationConflict as conflict:
        print(f'{author}: conflict, {conflict.current} is accepted already')
        print(f'  it changed: {conflict.theirs}')
    else:
        print(f'{author}: accepted as version {accepted.version}')


def main() -> None:
    """Submit a first version, then two changes of it."""
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
    share, slots = copy.deepcopy(first), copy.deepcopy(first)
    share['client_accounts'][0]['share'] = 2.5
    slots['backend_servers'][0]['slots'] = 12
    submit(submission, share, author='lan')
    submit(submission, slots, author='automation')
    print(f'in force: version {holder.document.version}')


if __name__ == '__main__':
    main()
