"""News on its way through the fleet, each passed on a few times."""

import heapq
import math
import typing

from amaranthslip.members import messages

# Sends of one piece of news, for each power of ten of the fleet. SWIM's
# paper proves that a multiple of log(n) reaches all with high probability;
# four is the factor that its well-known implementations use.
_SENDS_FACTOR = 4
# Flat bytes of a piece of news besides its texts: one data word pair, four
# pointers, the texts' ends and padding.
_FIXED_BYTES = 72
# Some 15 pieces: with fewer, halves of a fleet take long to rejoin, and more
# would take much of an instance's control traffic meanwhile.
MOST_NEWS_BYTES = 1800
# No message but a whole roster holds more: the rumours of one message, and
# what is said of the receiver, the sender and one more.
MOST_NEWS = MOST_NEWS_BYTES // _FIXED_BYTES + 3


class _Rumour:
    """One piece of news and how often it was passed on."""

    __slots__ = ('news', 'sends')

    def __init__(self, news: messages.News) -> None:
        self.news = news
        self.sends = 0


class Rumours:
    """The news that still has to be passed on, the newest for each name."""

    __slots__ = ('_waiting',)

    def __init__(self) -> None:
        self._waiting: dict[str, _Rumour] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, news: messages.News) -> None:
        """Begin to pass news on; it replaces older news of that member."""
        self._waiting[news.name] = _Rumour(news)

    def take(self, fleet_size: int) -> list[messages.News]:
        """Return what to put into one message, least passed on first.

        Parameters
        ----------
        fleet_size : int
            Members known; the number of sends grows with its logarithm.
        """
        most_sends = count_sends(fleet_size)
        most = MOST_NEWS_BYTES // _FIXED_BYTES
        chosen = heapq.nsmallest(most, self._waiting.values(), key=_read_sends)
        news = []
        left = MOST_NEWS_BYTES
        for rumour in chosen:
            left -= measure(rumour.news)
            if left < 0:
                break
            news.append(rumour.news)
            rumour.sends += 1
            if rumour.sends >= most_sends:
                del self._waiting[rumour.news.name]
        return news


def count_sends(fleet_size: int) -> int:
    """Return how often one member passes on one piece of news."""
    return _SENDS_FACTOR * math.ceil(math.log10(fleet_size + 1))


def measure(news: messages.News) -> int:
    """Return about how many bytes a piece of news takes, not deflated."""
    texts: typing.Iterable[str] = (
        news.name,
        news.address,
        news.failure_domain,
        news.region,
    )
    return _FIXED_BYTES + sum(len(text) for text in texts)


def _read_sends(rumour: _Rumour) -> int:
    return rumour.sends
