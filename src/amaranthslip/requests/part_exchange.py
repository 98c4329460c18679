"""Exchange of evidence about parts of prompts that crash servers."""

import functools
import logging
import typing

from amaranthslip import errors
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import crash_exchange
from amaranthslip.requests import part_crashes
from amaranthslip.requests import part_messages
from amaranthslip.requests import part_trials
from amaranthslip.requests import suspects as suspects_module

_LOG = logging.getLogger(__name__)

# Largest number of reports sent to a peer on a new connection.
_MAX_INITIAL_REPORTS = 512

_Crashes = typing.Iterable[tuple[bytes, part_crashes.PartCrash]]


class PartExchange:
    """Shares evidence with all instances, and refuses requests with parts.

    Each instance decides by itself, on evidence that all of them have. It is
    sent to every member, because the next request may come at any of them.
    Members that were unreachable get it on their next connection, and parts
    that are refused also through the store.

    Parameters
    ----------
    roster : Roster
        Lists the live members.
    outbox : Outbox
        Sends the messages.
    suspects : Suspects
        Keeps the evidence.
    store : QuarantineStore
        Persists the refused parts.
    trials : PartTrials
        Decides when a request with a refused part is run.
    metrics : Metrics
        Counts `quarantine` events.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_suspects',
        '_store',
        '_trials',
        '_metrics',
        '_quarantined',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: crash_exchange.Outbox,
        suspects: suspects_module.Suspects,
        store: crash_exchange.QuarantineStore[part_crashes.PartCrash],
        trials: part_trials.PartTrials,
        metrics: typing.Any,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._suspects = suspects
        self._store = store
        self._trials = trials
        self._metrics = metrics
        # The parts that were refused after the latest change.
        self._quarantined: set[bytes] = set()

    def check(self, sent_parts: part_crashes.SentParts) -> bool:
        """Refuse a request with a part that crashes servers.

        Returns
        -------
        bool
            Whether the request is run as the trial of such a part.

        Raises
        ------
        RequestRefused
            The request was not sent to a server.
        """
        refused = sorted(set(self._suspects.list_refused(sent_parts)))
        if not refused:
            return False
        crashes = {
            digest: self._suspects.list_quarantine_crashes(digest)
            for digest in refused
        }
        if len(refused) == 1 and self._take_trial(
            refused[0], crashes[refused[0]], sent_parts.account
        ):
            return True
        for digest, each in crashes.items():
            self._suspects.note_repeat(digest)
            self._store.renew(digest, each)
        servers = {
            crash.server_crash.server
            for each in crashes.values()
            for crash in each
        }
        raise errors.RequestRefused(
            'part_crashes_servers',
            'a part of the prompt (digest'
            f' {", ".join(each.hex() for each in refused)}) crashed the'
            f' backend servers {", ".join(sorted(servers))}; send the request'
            ' without it, or report the digest to the operators',
            status=429,
        )

    def _take_trial(
        self,
        digest: bytes,
        crashes: typing.Sequence[part_crashes.PartCrash],
        account: bytes,
    ) -> bool:
        if not self._trials.take(
            digest,
            crash_count=part_crashes.count_servers(crashes),
            account_crash_count=part_crashes.count_servers(crashes, account),
        ):
            return False
        self._metrics.count('quarantine', 'part_tried')
        _LOG.warning('quarantined_part_tried', extra={'part': digest.hex()})
        return True

    def is_quarantined(self, sent_parts: part_crashes.SentParts) -> bool:
        """Return whether a request has a part that is refused."""
        return bool(self._suspects.list_refused(sent_parts))

    def is_suspected(self, sent_parts: part_crashes.SentParts) -> bool:
        """Return whether a part may have caused the crash of a try."""
        return self._suspects.is_suspected(sent_parts)

    def report(
        self,
        sent_parts: part_crashes.SentParts,
        server: str,
        incarnation: int,
        *,
        crashed_at: float,
        sent_at: float,
    ) -> None:
        """Record and broadcast a crash during a request of this instance."""
        crash = part_crashes.PartCrash(
            self._suspects.find_crash(server, incarnation, crashed_at),
            sent_parts.account,
            sent_at,
        )
        reported = [
            (digest, crash)
            for digest in sent_parts.digests
            if self._suspects.note_crash(digest, crash)
        ]
        if not reported:
            return
        self._broadcast(self._build_reports(reported))
        self._note_changes()
        for digest, _ in reported:
            crashes = self._suspects.list_quarantine_crashes(digest)
            if crashes:
                self._store.put(digest, crashes)

    def complete(self, sent_parts: part_crashes.SentParts) -> None:
        """Record that an answer was completed at this instance."""
        now = self._suspects.read_clock()
        for digest in sent_parts.digests:
            if self._note_completion(digest, now):
                self._broadcast(self._build_completion(digest))

    def greet(self, name: str) -> list[object]:
        """Return the messages to send first on a new connection to a peer."""
        crashes = self._suspects.list_all_crashes()[-_MAX_INITIAL_REPORTS:]
        return [self._build_reports(crashes)] if crashes else []

    def receive(self, sender: str, message: object) -> None:
        """Handle one message of `requests.part_messages`."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_handle.register
    def _(self, message: part_messages.SuspectReports, sender: str) -> None:
        now = self._suspects.read_clock()
        cleared = set()
        for report in message.reports:
            server_crash = self._suspects.find_crash(
                report.server, report.incarnation, now - report.age_ms / 1000
            )
            if self._suspects.is_cleared(report.part, server_crash):
                cleared.add(report.part)
                continue
            ran_ms = report.sent_age_ms - report.age_ms
            self._suspects.note_crash(
                report.part,
                part_crashes.PartCrash(
                    server_crash,
                    report.account,
                    server_crash.crashed_at - ran_ms / 1000,
                ),
            )
        for part in sorted(cleared):
            self._outbox.send(
                sender, self._build_completion(part, is_reply=True)
            )
        self._note_changes()

    @_handle.register
    def _(self, message: part_messages.PartCompleted, sender: str) -> None:
        completed_at = self._suspects.read_clock() - message.age_ms / 1000
        cleared = self._note_completion(message.part, completed_at)
        if cleared and message.is_reply:
            self._broadcast(self._build_completion(message.part))

    def _note_completion(self, digest: bytes, completed_at: float) -> bool:
        """Record a completion; return whether it cleared crashes."""
        if not self._suspects.note_completion(digest, completed_at):
            return False
        self._note_changes()
        self._store.remove(digest)
        return True

    def _note_changes(self) -> None:
        """Log which parts are refused from now on, or no longer."""
        quarantined = set(self._suspects.list_quarantined())
        added = sorted(quarantined - self._quarantined)
        released = sorted(self._quarantined - quarantined)
        self._quarantined = quarantined
        for digest in added:
            crashes = self._suspects.list_quarantine_crashes(digest)
            self._metrics.count('quarantine', 'part_added')
            _LOG.warning(
                'part_quarantined',
                extra={
                    'part': digest.hex(),
                    'servers': ', '.join(
                        sorted({each.server_crash.server for each in crashes})
                    ),
                    'client_accounts': len({each.account for each in crashes}),
                },
            )
        for digest in released:
            self._metrics.count('quarantine', 'part_released')
            _LOG.info('part_released', extra={'part': digest.hex()})

    def _build_reports(
        self, crashes: _Crashes
    ) -> part_messages.SuspectReports:
        now = self._suspects.read_clock()
        return part_messages.SuspectReports(
            reports=[
                part_messages.SuspectReport(
                    part=digest,
                    account=crash.account,
                    server=crash.server_crash.server,
                    incarnation=crash.server_crash.incarnation,
                    age_ms=_compute_age(now, crash.server_crash.crashed_at),
                    sent_age_ms=_compute_age(now, crash.sent_at),
                )
                for digest, crash in crashes
            ]
        )

    def _build_completion(
        self, digest: bytes, *, is_reply: bool = False
    ) -> part_messages.PartCompleted:
        now = self._suspects.read_clock()
        return part_messages.PartCompleted(
            part=digest,
            age_ms=_compute_age(now, self._suspects.get_completion(digest)),
            is_reply=is_reply,
        )

    def _broadcast(self, message: object) -> None:
        for member in self._roster.list_others():
            self._outbox.send(member.name, message)


def _compute_age(now: float, since: float) -> int:
    return max(0, int((now - since) * 1000))
