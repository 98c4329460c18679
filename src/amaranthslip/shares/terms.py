"""Terms: the times within which a plain request has to be answered."""


class Terms:
    """What a plain request needs of a server, in seconds.

    Parameters
    ----------
    usual_seconds : float
        Mean time of such requests at all servers; 0 if it is not known.
    queue_seconds : float
        Time within which the answer must end if the request has to wait for
        others at the server.
    left_seconds : float
        Time within which the answer must end in any case.
    """

    __slots__ = ('usual_seconds', 'queue_seconds', 'left_seconds')

    def __init__(
        self, usual_seconds: float, queue_seconds: float, left_seconds: float
    ) -> None:
        self.usual_seconds = usual_seconds
        self.queue_seconds = queue_seconds
        self.left_seconds = left_seconds


class PlainStart:
    """The start of a plain request at a server.

    `running` is the number of other requests in progress there, as known to
    the instance that counts them.
    """

    __slots__ = ('terms', 'running')

    def __init__(self, terms: Terms, running: int) -> None:
        self.terms = terms
        self.running = running
