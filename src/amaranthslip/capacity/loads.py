"""Loads: what a backend server last said of itself."""


class LoadReport:
    """One report of a backend server's load.

    Parameters
    ----------
    server : str
        The backend server's name.
    running, waiting : int
        Requests in its batch, and those it holds back.
    cache_usage : float
        Fraction of its cache in use, 0 to 1.
    at : float
        `time.monotonic()` seconds when it was read; what it tells is older
        by the server's own lag.
    """

    __slots__ = ('server', 'running', 'waiting', 'cache_usage', 'at')

    def __init__(
        self,
        server: str,
        running: int,
        waiting: int,
        cache_usage: float,
        at: float,
    ) -> None:
        self.server = server
        self.running = running
        self.waiting = waiting
        self.cache_usage = cache_usage
        self.at = at
