"""Tables of plain text for a person's terminal."""

import typing


class Table:
    """Rows under headings, aligned: words to the left, figures right."""

    __slots__ = ('_rows',)

    def __init__(self, *headings: str) -> None:
        self._rows = [headings]

    def add(self, *cells: object) -> None:
        """Add a row; None shows as a dash."""
        self._rows.append(tuple(_write(cell) for cell in cells))

    def render(self) -> str:
        """Return the table as lines."""
        columns = list(zip(*self._rows, strict=True))
        widths = [max(map(len, column)) for column in columns]
        lines = [
            '  '.join(
                _align(cell, width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in self._rows
        ]
        lines.insert(1, '  '.join('-' * width for width in widths))
        return '\n'.join(lines)


def _write(cell: typing.Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, float):
        return f'{cell:,.0f}' if abs(cell) >= 100 else f'{cell:.3g}'
    if isinstance(cell, int):
        return f'{cell:,}'
    return str(cell)


def _align(cell: str, width: int) -> str:
    if cell[:1].isdigit() or cell[:1] == '-':
        return cell.rjust(width)
    return cell.ljust(width)
