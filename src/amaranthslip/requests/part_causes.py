"""Decides which parts of prompts caused the crashes of backend servers."""

import typing

from amaranthslip.requests import part_crashes

# Crashes under a part after which requests with it are refused.
CRASH_LIMIT = 3
# The same for a part on which answers have been completed before.
_COMPLETED_CRASH_LIMIT = 5
# Servers that end together count once: crashes that are fewer seconds apart
# are distinct only if the request was sent after the earlier one.
_SAME_OUTAGE_SECONDS = 0.25
# Causes that are told apart at the same time.
_MAX_EXPLANATIONS = 16


class Suspicion:
    """A part that is taken for the cause of crashes.

    Parameters
    ----------
    digest : bytes
        The part.
    account : bytes or None
        Digest of the client account whose requests are refused; None stands
        for all accounts.
    """

    __slots__ = ('digest', 'account')

    def __init__(self, digest: bytes, account: bytes | None) -> None:
        self.digest = digest
        self.account = account


def find_suspicions(candidates: list['Candidate']) -> list[Suspicion]:
    """Return the explanations of the crashes, one after the other.

    A crash that one suspicion explains counts against no other part. The part
    with the most crashes goes first, else a sound one could explain those of a
    deadly one. At a tie it is the part that reached the limit first: once it
    is refused, no more crashes count under it, but more may under sound ones
    that were in flight at the same crashes.
    """
    suspicions: list[Suspicion] = []
    # The parts of each explanation of a crash.
    explained: dict[part_crashes.ServerCrash, list[set[bytes]]] = {}
    for _ in range(_MAX_EXPLANATIONS):
        for candidate in candidates:
            candidate.count(explained)
        leaders = _find_leaders(candidates)
        if not leaders:
            break
        suspicions += [
            Suspicion(each.digest, each.account) for each in leaders
        ]
        parts = {each.digest for each in leaders}
        explained_now = set().union(*(each.crashes for each in leaders))
        for server_crash in explained_now:
            explained.setdefault(server_crash, []).append(parts)
        candidates = [each for each in candidates if not each.is_leader]
    return suspicions


class Candidate:
    """A part that may have caused crashes under requests of one account.

    Parameters
    ----------
    digest : bytes
        The part.
    account : bytes or None
        Digest of the client account; None stands for all accounts.
    recorded : collection of PartCrash
        The crashes under the part, of all accounts.
    is_new : bool
        Whether no answer is known to be completed on the part.

    Attributes
    ----------
    total : int
        Crashes under the part, of all accounts.
    crashes : set of ServerCrash
        The crashes that count.
    limit_crash : ServerCrash or None
        The crash at which the limit was reached.
    is_leader : bool
        Whether it has been taken for the cause of its crashes.
    """

    __slots__ = (
        'digest',
        'account',
        'is_new',
        'total',
        'crashes',
        'limit_crash',
        'is_leader',
        '_recorded',
    )

    def __init__(
        self,
        digest: bytes,
        account: bytes | None,
        recorded: typing.Collection[part_crashes.PartCrash],
        *,
        is_new: bool,
    ) -> None:
        self.digest = digest
        self.account = account
        self.is_new = is_new
        self._recorded = recorded
        self.total = len({each.server_crash for each in recorded})
        self.crashes: set[part_crashes.ServerCrash] = set()
        self.limit_crash: part_crashes.ServerCrash | None = None
        self.is_leader = False

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Parts on which an answer was completed go last.

        Of the others, the one with the most crashes goes first, under
        whatever accounts, and at a tie the one that reached its limit first.
        """
        return not self.is_new, -self.total, self.limit_crash.crashed_at

    def count(
        self, explained: dict[part_crashes.ServerCrash, list[set[bytes]]]
    ) -> None:
        """Count the crashes that nothing else explains.

        Parameters
        ----------
        explained : dict
            The parts of each explanation of a crash.

        Notes
        -----
        For all accounts together one crash counts for each, also if it is
        explained by the same part under another account.
        """
        counted = sorted(
            (
                each
                for each in self._recorded
                if all(
                    self.digest in parts
                    for parts in explained.get(each.server_crash, ())
                )
            ),
            key=lambda each: each.server_crash.crashed_at,
        )
        limit = CRASH_LIMIT if self.is_new else _COMPLETED_CRASH_LIMIT
        self.limit_crash = None
        if self.account is None:
            distinct = _list_distinct(counted, one_per_account=True)
        else:
            counted = [
                each for each in counted if each.account == self.account
            ]
            # Those that hit another account too, which is refused, may be of
            # its making; it can't make many before it is refused.
            own = [
                each for each in counted if each.server_crash not in explained
            ]
            distinct = _list_distinct(own)
            if len(distinct) < limit:
                distinct = _list_distinct(counted)[1:]
        self.crashes = {each.server_crash for each in counted}
        if len(distinct) >= limit:
            self.limit_crash = distinct[limit - 1]


def _find_leaders(candidates: list[Candidate]) -> list[Candidate]:
    """Return the one that ranks first, or several at once."""
    counted = [each for each in candidates if each.limit_crash is not None]
    if not counted:
        return []
    first = min(counted, key=lambda each: each.rank)
    leaders = [each for each in counted if each.rank == first.rank]
    for each in leaders:
        each.is_leader = True
    return leaders


def _list_distinct(
    crashes: typing.Iterable[part_crashes.PartCrash],
    *,
    one_per_account: bool = False,
) -> list[part_crashes.ServerCrash]:
    """Return crashes in order of time; only the first of an outage.

    Parameters
    ----------
    one_per_account : bool
        Leave out further crashes under an account of which one is counted.
    """
    distinct: list[part_crashes.ServerCrash] = []
    accounts: set[bytes] = set()
    last_at = float('-inf')
    for crash in crashes:
        if one_per_account and crash.account in accounts:
            continue
        crashed_at = crash.server_crash.crashed_at
        if (
            crashed_at - last_at >= _SAME_OUTAGE_SECONDS
            or crash.sent_at > last_at
        ):
            distinct.append(crash.server_crash)
            accounts.add(crash.account)
            last_at = crashed_at
    return distinct
