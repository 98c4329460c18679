"""Plots of the service that each client account received over time."""

import pathlib
import typing

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from bench import runs  # noqa: E402

_WIDTH_INCHES = 5.0
_HEIGHT_INCHES = 4.5


def draw_service(
    results: typing.Sequence[runs.Result], path: pathlib.Path
) -> None:
    """Draw one panel for each result: service divided by share, over time.

    Accounts that are served fairly have lines that stay close together.
    """
    figure, panels = pyplot.subplots(
        1,
        len(results),
        figsize=(_WIDTH_INCHES * len(results), _HEIGHT_INCHES),
        sharey=True,
        squeeze=False,
    )
    for panel, result in zip(panels[0], results, strict=True):
        _draw_panel(panel, result)
    panels[0][0].set_ylabel('tokens of service, divided by share')
    panels[0][-1].legend(fontsize='xx-small', loc='upper left')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _draw_panel(panel: typing.Any, result: runs.Result) -> None:
    series = result.series
    normalised = series.served / series.shares[:, None]
    for account, line in zip(series.accounts, normalised, strict=True):
        panel.plot(series.times, line, label=account, linewidth=1)
    gap = result.fairness_gap_tokens
    panel.set_title(
        f'{result.deployment}, {result.scenario}, policy {result.policy}\n'
        f'gap {gap:,.0f} tokens'
    )
    panel.set_xlabel('seconds')
