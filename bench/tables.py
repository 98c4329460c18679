"""Plain-text tables for terminal output."""

import typing


class Table:
    """Rows under headings; text is aligned left, numbers right."""

    __slots__ = ('_rows',)

    def __init__(self, *headings: str) -> None:
        self._rows = [headings]

    def add(self, *cells: object) -> None:
        """Add a row; None is shown as a dash."""
        self._rows.append(tuple(_format_cell(cell) for cell in cells))

    def render(self) -> str:
        """Return the table as one string with a line for each row."""
        columns = list(zip(*self._rows, strict=True))
        widths = [max(map(len, column)) for column in columns]
        lines = [
            '  '.join(
                _align_cell(cell, width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in self._rows
        ]
        lines.insert(1, '  '.join('-' * width for width in widths))
        return '\n'.join(lines)


def _format_cell(cell: typing.Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, float):
        return f'{cell:,.0f}' if abs(cell) >= 100 else f'{cell:.3g}'
    if isinstance(cell, int):
        return f'{cell:,}'
    return str(cell)


def _align_cell(cell: str, width: int) -> str:
    if cell[:1].isdigit() or cell[:1] == '-':
        return cell.rjust(width)
    return cell.ljust(width)
