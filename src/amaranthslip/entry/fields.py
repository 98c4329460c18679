"""Parser for the header fields of a caller's request.

By default, the WSGI server parses them as e-mail headers. That parser took a
third of the processor time of a refused request, and accepts what HTTP
forbids: folded lines, names with blanks, lines without a colon.
"""

import re
import typing

# RFC 9110, 5.1 and 5.5: a name is a token; a value holds no control character
# except the tab. Matched on bytes, so that no encoding affects the check.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f]*)"
)


class FieldsInvalid(Exception):
    """A line is not a valid header field; the message says why."""


class Fields:
    """Header fields, with the methods that the WSGI server calls.

    Parameters
    ----------
    lines : sequence of bytes
        One line for each field, without its CRLF.

    Raises
    ------
    FieldsInvalid
        A line is not a valid header field.
    """

    __slots__ = ('headers', '_values')

    # The server reads `status` first, as a parser's error text. Always empty:
    # errors are raised as FieldsInvalid.
    status = ''

    def __init__(self, lines: typing.Sequence[bytes]) -> None:
        # Each is 'Name: value', as in the server's own message class.
        self.headers: list[str] = []
        self._values: dict[str, list[str]] = {}
        for line in lines:
            self._add(line)

    def _add(self, line: bytes) -> None:
        if line[:1] in (b' ', b'\t'):
            # A backend server could read a forwarded continuation line as a
            # separate header field.
            raise FieldsInvalid('hold a folded line')
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise FieldsInvalid('hold a line that is no field')
        name = match[1].decode('ascii')
        # Without arguments, `strip` would remove more than HTTP's white space.
        value = match[2].decode('latin-1').strip(' \t')
        self.headers.append(f'{name}: {value}')
        self._values.setdefault(name.lower(), []).append(value)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or the default."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    def getheader(self, name: str) -> str | None:
        """Return the first value of a field (alternative name)."""
        return self.get(name)

    def get_all(self, name: str) -> list[str]:
        """Return all values of a field."""
        return self._values.get(name.lower(), [])

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]

    @property
    def typeheader(self) -> str | None:
        """The value of Content-Type, under the server's name for it."""
        return self.get('content-type')
