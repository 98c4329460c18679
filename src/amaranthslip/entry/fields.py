"""The header fields of a caller's request.

The WSGI server reads them with the parser of e-mails, which took a third of
the processor time of a refused request, and takes what HTTP does not allow:
folded lines, names with blanks, lines that end without a colon.
"""

import re
import typing

# RFC 9110, 5.1 and 5.5: a name is a token; a value holds no control character
# but the tab. Checked on bytes, so that nothing depends on an encoding.
_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f]*)")


class FieldsInvalid(Exception):
    """A line is no header field; the text says what is wrong with it."""


class Fields:
    """Header fields, with the names that the WSGI server asks by.

    Parameters
    ----------
    lines : sequence of bytes
        One a field, without the empty line at the end.

    Raises
    ------
    FieldsInvalid
        One of them can't be read.
    """

    __slots__ = ('headers', '_values')

    # What the server looks for first: an error text, of which there is none.
    status = ''

    def __init__(self, lines: typing.Sequence[bytes]) -> None:
        # As the server's own have it: 'Name: value' each.
        self.headers: list[str] = []
        self._values: dict[str, list[str]] = {}
        for line in lines:
            self._add(line.rstrip(b'\r\n'))

    def _add(self, line: bytes) -> None:
        if line[:1] in (b' ', b'\t'):
            # Sent on, it would be a line of its own to a backend server.
            raise FieldsInvalid('hold a folded line')
        match = _LINE.fullmatch(line)
        if match is None:
            raise FieldsInvalid('hold a line that is no field')
        name = match[1].decode('ascii')
        value = match[2].decode('latin-1').strip()
        self.headers.append(f'{name}: {value}')
        self._values.setdefault(name.lower(), []).append(value)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    def getheader(self, name: str) -> str | None:
        """Return the first value of a field (the server's other word)."""
        return self.get(name)

    def get_all(self, name: str) -> list[str]:
        """Return every value of a field."""
        return self._values.get(name.lower(), [])

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]

    @property
    def typeheader(self) -> str | None:
        """The type of the body."""
        return self.get('content-type')
