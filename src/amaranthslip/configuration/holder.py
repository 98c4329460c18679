"""The version in force on one instance."""

from gevent import event

from amaranthslip.configuration import document


class Holder:
    """Holds the version in force, and never goes back to a lower one.

    `document` is the version in force; before the first one it is an empty
    document of version 0, and the instance is not ready. `generation` grows
    with each change.

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
        """Whether any version is in force yet."""
        return self.document.version > 0

    def apply(self, newer: document.Document) -> bool:
        """Put a version in force; a lower or the same one is ignored.

        A lagging peer, a late message or a restored service may offer an
        old version at any time. Here is the one place where a version comes
        into force, so comparing here is enough for none to revert.

        Returns
        -------
        bool
            Whether the version came into force.
        """
        if newer.version <= self.document.version:
            return False
        self.document = newer
        self.generation += 1
        # Each wait has its own event: one that was cleared and set again
        # could be missed by a greenlet that has not run in between.
        changed, self._changed = self._changed, event.Event()
        changed.set()
        return True

    def wait(self, generation: int, *, timeout: float | None = None) -> int:
        """Wait until the generation differs; return the present one.

        Parameters
        ----------
        generation : int
            The generation that the caller has seen.
        timeout : float or None
            Seconds to wait at most; then the same generation is returned.
        """
        if self.generation == generation:
            self._changed.wait(timeout)
        return self.generation
