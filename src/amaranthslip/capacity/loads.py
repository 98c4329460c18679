"""Load reports of backend servers."""


class LoadReport:
    """One report of a backend server's load.

    Parameters
    ----------
    server : str
        The backend server's name.
    running, waiting : int
        Requests in the current batch of the server, and requests in its
        queue.
    cache_usage : float
        Fraction of the server's cache in use, 0 to 1.
    at : float
        `time.monotonic()` seconds when the report was read. The values are
        older than that by the delay of the server's own metrics.
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
