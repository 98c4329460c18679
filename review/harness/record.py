"""The record of one script: what was sent, answered and run."""

import pathlib
import threading
import time


class Record:
    """Writes lines with the seconds since the start to `record.txt`.

    Parameters
    ----------
    path : Path
        The file, which is overwritten.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def log(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        with self._lock:
            self._file.write(f'{seconds:8.3f} {text}\n')
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
