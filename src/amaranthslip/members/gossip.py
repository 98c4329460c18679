"""Gossip queue: each piece of news is sent a limited number of times."""

import heapq
import math
import typing

from amaranthslip.members import messages

# Number of times that one piece of news is sent, for each power of ten of the
# fleet size. The SWIM paper proves that a multiple of log(n) reaches all
# members with high probability; well-known implementations use the factor 4.
_SENDS_FACTOR = 4
# Uncompressed bytes of one piece of news without its texts: two data words,
# four pointers, the terminators of the texts and padding.
_FIXED_BYTES = 72
# Upper bound for the news in one message, about 15 pieces. With fewer, the
# halves of a fleet take long to merge after a partition; more would use much
# of an instance's control traffic while they merge.
MAX_NEWS_BYTES = 1800
# Upper bound of the pieces of news in any message that is not a whole roster:
# the queued gossip, and one piece each about the receiver, the sender and one
# other member.
MAX_NEWS = MAX_NEWS_BYTES // _FIXED_BYTES + 3


class _PendingNews:
    """One piece of news and the number of times it was sent."""

    __slots__ = ('news', 'sends')

    def __init__(self, news: messages.News) -> None:
        self.news = news
        self.sends = 0


class GossipQueue:
    """Queue of news to be gossiped, with the latest news of each member."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending: dict[str, _PendingNews] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, news: messages.News) -> None:
        """Queue news; it replaces queued news of the same member."""
        self._pending[news.name] = _PendingNews(news)

    def select(self, fleet_size: int) -> list[messages.News]:
        """Return the news for one message, least often sent first.

        Parameters
        ----------
        fleet_size : int
            Number of known members. Each piece of news is sent a number of
            times that grows with the logarithm of this size.
        """
        max_sends = count_sends(fleet_size)
        max_count = MAX_NEWS_BYTES // _FIXED_BYTES
        chosen = heapq.nsmallest(
            max_count, self._pending.values(), key=_read_sends
        )
        news = []
        left_bytes = MAX_NEWS_BYTES
        for pending in chosen:
            left_bytes -= estimate_size(pending.news)
            if left_bytes < 0:
                break
            news.append(pending.news)
            pending.sends += 1
            if pending.sends >= max_sends:
                del self._pending[pending.news.name]
        return news


def count_sends(fleet_size: int) -> int:
    """Return how often one member sends one piece of news."""
    return _SENDS_FACTOR * math.ceil(math.log10(fleet_size + 1))


def estimate_size(news: messages.News) -> int:
    """Return the approximate uncompressed bytes of a piece of news."""
    texts: typing.Iterable[str] = (
        news.name,
        news.address,
        news.failure_domain,
        news.region,
    )
    return _FIXED_BYTES + sum(len(text) for text in texts)


def _read_sends(pending: _PendingNews) -> int:
    return pending.sends
