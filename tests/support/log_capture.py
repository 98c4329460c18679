"""Captures log records for assertions."""

import logging


class LogCapture(logging.Handler):
    """Captures the log records of one logger, from level INFO.

    Parameters
    ----------
    name : str
        The name of the logger.
    """

    def __init__(self, name):
        super().__init__()
        self.records = []
        self._logger = logging.getLogger(name)
        self._level = self._logger.level
        self._logger.addHandler(self)
        self._logger.setLevel(logging.INFO)

    def emit(self, record):
        self.records.append(record)

    def find(self, event_name):
        """Return the captured records of a log event."""
        return [each for each in self.records if each.msg == event_name]

    def close(self):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)
        super().close()
