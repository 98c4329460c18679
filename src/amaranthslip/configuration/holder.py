"""The version in force on an instance."""

from gevent import event

from amaranthslip.configuration import document


class Holder:
    """Holds the version in force and never reverts to a lower one.

    `document` is the version in force. Until the first version is applied it
    is an empty document of version 0, and the instance is not ready.
    `generation` increases with each change.

    Examples
    --------
    >>> holder = Holder()
    >>> holder.apply(document.Document(version=3))
    True
    >>> holder.apply(document.Document(version=2))
    False
    >>> holder.document.version
    3
    """

    __slots__ = ('document', 'generation', '_changed')

    def __init__(self) -> None:
        self.document = document.Document()
        self.generation = 0
        self._changed = event.Event()

    @property
    def ready(self) -> bool:
        """Whether a version is in force."""
        return self.document.version > 0

    def apply(self, candidate: document.Document) -> bool:
        """Put a version in force unless its number is the same or lower.

        A lagging peer, a delayed message or a restored key-value service may
        offer an old version at any time. Versions come into force only
        through this method, so this comparison is enough to prevent a
        revert.

        Returns
        -------
        bool
            Whether the version came into force.
        """
        if candidate.version <= self.document.version:
            return False
        self.document = candidate
        self.generation += 1
        # Each generation has its own event. A greenlet that does not run
        # between the set and the clear of a shared event would miss the
        # change.
        changed, self._changed = self._changed, event.Event()
        changed.set()
        return True

    def wait(self, generation: int, *, timeout: float | None = None) -> int:
        """Wait until the generation changes and return the current one.

        Parameters
        ----------
        generation : int
            The last generation that the caller has seen.
        timeout : float or None
            The maximum wait in seconds, after which the unchanged generation
            is returned; None waits without a limit.
        """
        if self.generation == generation:
            self._changed.wait(timeout)
        return self.generation
