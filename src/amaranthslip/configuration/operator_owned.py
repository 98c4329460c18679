"""Submissions where the platform's operator keeps the configuration."""

import typing

from amaranthslip.configuration import manifests
from amaranthslip.configuration import snapshots
from amaranthslip import errors


class OperatorOwned:
    """Takes `Submission`'s place at the operators' port, and refuses.

    A version that was submitted here would be one beside the operator's:
    two sources of versions, of which neither is the newest.
    """

    __slots__ = ()

    def submit(
        self, values: object, **options: typing.Any
    ) -> snapshots.Snapshot:
        """Refuse a document.

        Raises
        ------
        ConfigurationRefused
            Always.
        """
        raise errors.ConfigurationRefused(
            'operator_owned',
            "the platform's operator keeps the configuration, nothing was "
            'applied: submit it there',
        )

    def load_history(self) -> list[manifests.Acceptance]:
        """Return no versions: only the newest is known here."""
        return []
