"""Recent placement of prompt prefixes, a hint for choosing servers."""

import collections
import typing

_MAX_ENTRIES = 20000


class Prefixes:
    """Maps each prompt prefix to the backend server that last processed it.

    The mapping is only a hint: engines evict prefixes when their memory runs
    short, and other instances send requests to the same engines.
    """

    __slots__ = ('_servers',)

    def __init__(self) -> None:
        self._servers: collections.OrderedDict = collections.OrderedDict()

    def note(self, server: str, hashes: typing.Iterable[int]) -> None:
        """Record that a server processed a prompt with these prefix hashes."""
        for each in hashes:
            self._servers[each] = server
            self._servers.move_to_end(each)
        while len(self._servers) > _MAX_ENTRIES:
            self._servers.popitem(last=False)

    def count_match(self, server: str, hashes: typing.Iterable[int]) -> int:
        """Return how many of the prefixes the server processed last."""
        return sum(1 for each in hashes if self._servers.get(each) == server)

    def find(self, hashes: typing.Sequence[int]) -> str:
        """Return the last server of the longest known prefix, or ''.

        Parameters
        ----------
        hashes : sequence of int
            Prefix hashes, shortest prefix first.
        """
        for each in reversed(hashes):
            server = self._servers.get(each)
            if server is not None:
                return server
        return ''
