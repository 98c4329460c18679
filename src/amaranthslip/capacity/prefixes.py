"""Where prompt prefixes went lately: a hint for choosing servers."""

import collections
import typing

_MOST_KEPT = 20000


class Prefixes:
    """The backend server that last had each prompt prefix.

    It is a hint only: engines drop prefixes when their memory is short, and
    other entries send there as well.
    """

    __slots__ = ('_servers',)

    def __init__(self) -> None:
        self._servers: collections.OrderedDict = collections.OrderedDict()

    def note(self, server: str, hashes: typing.Iterable[int]) -> None:
        """Note that a prompt with these prefix hashes ran at a server."""
        for each in hashes:
            self._servers[each] = server
            self._servers.move_to_end(each)
        while len(self._servers) > _MOST_KEPT:
            self._servers.popitem(last=False)

    def count_match(self, server: str, hashes: typing.Iterable[int]) -> int:
        """Return how many of the prefixes the server had last."""
        return sum(1 for each in hashes if self._servers.get(each) == server)

    def find(self, hashes: typing.Sequence[int]) -> str:
        """Return the server that last had the longest prefix, or ''."""
        for each in reversed(hashes):
            server = self._servers.get(each)
            if server is not None:
                return server
        return ''
