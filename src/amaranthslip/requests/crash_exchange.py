"""Exchange of crash reports between instances."""

import collections
import functools
import logging
import typing

from amaranthslip import errors
from amaranthslip.members import rendezvous
from amaranthslip.members import roster as roster_module
from amaranthslip.requests import crash_messages
from amaranthslip.requests import quarantine as quarantine_module

_LOG = logging.getLogger(__name__)

# Largest number of reports sent to a peer on a new connection; the latest are
# sent.
_MAX_INITIAL_REPORTS = 256
# Seconds between two trials of quarantined requests. Two at once could be
# running on the same server again when it crashes.
_TRIAL_INTERVAL_SECONDS = 2.0
# Seconds between two trials of the same request, in which others get theirs,
# and trials of one request that crashed a server.
_REPEATED_TRIAL_SECONDS = 10.0
_MAX_CRASHED_TRIALS = 2
# The same after a trial that neither completed nor crashed a server, as when a
# server was lost for another reason, and trials of one request in all.
_UNDECIDED_TRIAL_SECONDS = 4.0
_MAX_TRIALS = 6
# The instance that ranks first for this key makes all trials.
_TRIAL_RANK_KEY = 'quarantine-trial'
# Limit on the requests whose trials are remembered.
_MAX_TRIED_REQUESTS = 256


_CrashT = typing.TypeVar('_CrashT', contravariant=True)


class Outbox(typing.Protocol):
    """Sends messages to named members; `links.Links` is one."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message; return False if it cannot be queued."""


class QuarantineStore(typing.Protocol[_CrashT]):
    """Persists what is quarantined across restarts of all instances."""

    def put(
        self, fingerprint: bytes, crashes: typing.Sequence[_CrashT]
    ) -> None:
        """Store the crashes under a request or a part asynchronously."""

    def renew(
        self, fingerprint: bytes, crashes: typing.Sequence[_CrashT]
    ) -> None:
        """Extend the entry of what came again, at any instance."""

    def remove(self, fingerprint: bytes) -> None:
        """Remove an entry asynchronously."""


class _Trials:
    """The trials of one quarantined request at this instance."""

    __slots__ = ('count', 'crashed_count', 'last_at', '_is_settled')

    def __init__(self) -> None:
        self.count = 0
        self.crashed_count = 0
        self.last_at = float('-inf')
        # Whether the latest trial has been found to have crashed a server.
        self._is_settled = True

    def allow(self, now: float, crashed_at: float) -> bool:
        """Return whether the request may be tried again.

        Parameters
        ----------
        crashed_at : float
            Monotonic time of the latest crash under the request.
        """
        if not self._is_settled and crashed_at >= self.last_at:
            self.crashed_count += 1
            self._is_settled = True
        if (
            self.count >= _MAX_TRIALS
            or self.crashed_count >= _MAX_CRASHED_TRIALS
        ):
            return False
        pause_seconds = (
            _REPEATED_TRIAL_SECONDS
            if self._is_settled
            else _UNDECIDED_TRIAL_SECONDS
        )
        return now - self.last_at >= pause_seconds

    def begin(self, now: float) -> None:
        """Record that a trial begins."""
        self.count += 1
        self.last_at = now
        self._is_settled = False


class CrashExchange:
    """Shares crash reports, and refuses quarantined requests.

    Each report is sent to every member, because every instance must have the
    reports of a quarantined request before it receives that request. The cost
    is low because crashes are rare. Members that were unreachable get the
    latest reports on their next connection.

    Several requests may have been running at the same crashes, of which one
    caused them. Such a request gets a few trials, at one instance of the
    fleet: if it completes, it is released everywhere, and if it crashes
    another server, that crash tells it from the others.

    Parameters
    ----------
    roster : Roster
        Lists the live members that receive the reports.
    outbox : Outbox
        Sends the messages.
    quarantine : Quarantine
        Counts the crashes.
    store : QuarantineStore
        Persists the quarantined requests.
    metrics : Metrics
        Counts `quarantine` events.
    """

    __slots__ = (
        '_roster',
        '_outbox',
        '_quarantine',
        '_store',
        '_metrics',
        '_trials',
        '_last_trial_at',
    )

    def __init__(
        self,
        roster: roster_module.Roster,
        outbox: Outbox,
        quarantine: quarantine_module.Quarantine,
        store: QuarantineStore[quarantine_module.Crash],
        metrics: typing.Any,
    ) -> None:
        self._roster = roster
        self._outbox = outbox
        self._quarantine = quarantine
        self._store = store
        self._metrics = metrics
        # By fingerprint, in order of the first trial.
        self._trials: collections.OrderedDict[bytes, _Trials] = (
            collections.OrderedDict()
        )
        self._last_trial_at = float('-inf')

    def check(self, fingerprint: bytes) -> bool:
        """Refuse a request that is quarantined, unless it gets a trial.

        Returns
        -------
        bool
            Whether the request is run as a trial.

        Raises
        ------
        RequestRefused
            The request is quarantined and was not sent to a server.
        """
        crashes = self._quarantine.list_quarantine_crashes(fingerprint)
        if not crashes:
            return False
        if self._take_trial(fingerprint):
            return True
        self._quarantine.note_repeat(fingerprint)
        self._store.renew(fingerprint, crashes)
        keep_seconds = quarantine_module.RETENTION_SECONDS
        raise errors.RequestRefused(
            'crashes_servers',
            f'the backend servers {_list_servers(crashes)} crashed while they'
            ' ran this request; it is not run again until it has not come for'
            f' {keep_seconds:g} s; change it, or report its id to the'
            ' operators',
            status=429,
            retry_after=keep_seconds,
        )

    def _take_trial(self, fingerprint: bytes) -> bool:
        """Return whether a quarantined request may be run now, once."""
        now = self._quarantine.read_clock()
        if now - self._last_trial_at < _TRIAL_INTERVAL_SECONDS:
            return False
        trials = self._trials.get(fingerprint) or _Trials()
        crashes = self._quarantine.list_quarantine_crashes(fingerprint)
        if not trials.allow(now, max(each.crashed_at for each in crashes)):
            return False
        if not self._quarantine.is_ambiguous(fingerprint):
            return False
        names = [each.name for each in self._roster.list_live()]
        if rendezvous.pick(_TRIAL_RANK_KEY, names, 1) != [
            self._roster.member.name
        ]:
            return False
        self._last_trial_at = now
        trials.begin(now)
        self._trials[fingerprint] = trials
        if len(self._trials) > _MAX_TRIED_REQUESTS:
            self._trials.popitem(last=False)
        self._metrics.count('quarantine', 'tried')
        _LOG.warning(
            'quarantined_request_tried',
            extra={'fingerprint': fingerprint.hex(), 'trials': trials.count},
        )
        return True

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined."""
        return bool(self._quarantine.list_quarantine_crashes(fingerprint))

    def report(
        self,
        fingerprint: bytes,
        server: str,
        incarnation: int,
        *,
        last_event: int,
    ) -> None:
        """Record and broadcast a crash under a request of this instance."""
        crash = quarantine_module.Crash(
            server,
            incarnation,
            last_event=last_event,
            crashed_at=self._quarantine.read_clock(),
        )
        if not self._note_crash(fingerprint, crash):
            return
        self._broadcast(self._build_reports([(fingerprint, crash)]))
        crashes = self._quarantine.list_quarantine_crashes(fingerprint)
        if crashes:
            self._store.put(fingerprint, crashes)

    def complete(self, fingerprint: bytes) -> None:
        """Record that a request of this instance completed."""
        if self._quarantine.note_completion(fingerprint):
            self._release(fingerprint)
            self._broadcast(
                crash_messages.RequestCompleted(fingerprint=fingerprint)
            )

    def greet(self, name: str) -> list[object]:
        """Return the messages to send first on a new connection to a peer."""
        crashes = self._quarantine.list_all_crashes()
        latest = crashes[-_MAX_INITIAL_REPORTS:]
        return [self._build_reports(latest)] if latest else []

    def receive(self, sender: str, message: object) -> None:
        """Handle one message of `requests.crash_messages`."""
        self._handle(message, sender)

    @functools.singledispatchmethod
    def _handle(self, message: object, sender: str) -> None:
        _LOG.debug('message_unknown', extra={'kind': type(message).__name__})

    @_handle.register
    def _(self, message: crash_messages.CrashReports, sender: str) -> None:
        now = self._quarantine.read_clock()
        for report in message.reports:
            if self._quarantine.has_completed(report.fingerprint):
                # Sent to all members: any of them may have counted the crash.
                self._broadcast(
                    crash_messages.RequestCompleted(
                        fingerprint=report.fingerprint
                    )
                )
                continue
            crash = quarantine_module.Crash(
                report.server,
                report.incarnation,
                last_event=report.last_event,
                crashed_at=now - report.age_ms / 1000,
            )
            self._note_crash(report.fingerprint, crash)

    @_handle.register
    def _(self, message: crash_messages.RequestCompleted, sender: str) -> None:
        if self._quarantine.note_completion(message.fingerprint):
            self._release(message.fingerprint)

    def _note_crash(
        self, fingerprint: bytes, crash: quarantine_module.Crash
    ) -> bool:
        """Record a crash; return False if it was not counted."""
        was_quarantined = self.is_quarantined(fingerprint)
        if not self._quarantine.note_crash(fingerprint, crash):
            return False
        crashes = self._quarantine.list_quarantine_crashes(fingerprint)
        if crashes and not was_quarantined:
            self._metrics.count('quarantine', 'added')
            _LOG.warning(
                'request_quarantined',
                extra={
                    'fingerprint': fingerprint.hex(),
                    'servers': _list_servers(crashes),
                },
            )
        return True

    def _release(self, fingerprint: bytes) -> None:
        self._metrics.count('quarantine', 'released')
        _LOG.info('request_released', extra={'fingerprint': fingerprint.hex()})
        self._store.remove(fingerprint)

    def _build_reports(
        self, crashes: typing.Iterable[tuple[bytes, quarantine_module.Crash]]
    ) -> crash_messages.CrashReports:
        now = self._quarantine.read_clock()
        return crash_messages.CrashReports(
            reports=[
                crash_messages.CrashReport(
                    fingerprint=fingerprint,
                    server=crash.server,
                    incarnation=crash.incarnation,
                    last_event=crash.last_event,
                    age_ms=int((now - crash.crashed_at) * 1000),
                )
                for fingerprint, crash in crashes
            ]
        )

    def _broadcast(self, message: object) -> None:
        for member in self._roster.list_others():
            self._outbox.send(member.name, message)


def _list_servers(crashes: typing.Sequence[quarantine_module.Crash]) -> str:
    return ', '.join(crash.server for crash in crashes)
