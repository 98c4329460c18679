"""Pulling a version from a peer: its manifest and the missing parts."""

import typing

from gevent import queue

from amaranthslip.configuration import manifests
from amaranthslip.configuration import messages
from amaranthslip.configuration import snapshots
from amaranthslip import errors

# Without an answer for this time a request is sent again, because the
# outgoing queue of either side may have been full. After this many sends the
# pull from this peer is given up.
ANSWER_SECONDS = 0.3
_MAX_SENDS = 3
# The number of requests awaiting an answer, which bounds the length of the
# peer's queue.
_MAX_OUTSTANDING_REQUESTS = 16
_MAX_QUEUED_ANSWERS = 256


class Outbox(typing.Protocol):
    """Sends messages to other instances."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message for an instance; False if that is impossible."""


class Puller:
    """Pulls versions from peers, from one peer at a time.

    Parameters
    ----------
    outbox : Outbox
        Sends the requests.
    answer_seconds : float
        The time without an answer, in seconds, after which a request is sent
        again.
    """

    __slots__ = ('_outbox', '_answer_seconds', '_answers', '_peer')

    def __init__(
        self, outbox: Outbox, *, answer_seconds: float = ANSWER_SECONDS
    ) -> None:
        self._outbox = outbox
        self._answer_seconds = answer_seconds
        self._answers: queue.Queue = queue.Queue(_MAX_QUEUED_ANSWERS)
        self._peer = ''

    def receive(self, sender: str, answer: object) -> None:
        """Queue an answer; answers that were not requested are dropped."""
        if sender != self._peer:
            return
        try:
            self._answers.put_nowait(answer)
        except queue.Full:
            pass

    def pull(
        self,
        peer: str,
        version: int,
        *,
        previous: snapshots.Snapshot | None = None,
    ) -> snapshots.Snapshot:
        """Pull a version, or a higher one, from a peer.

        Raises
        ------
        ConfigurationDamaged
            The peer did not answer, can't be reached, no longer has the
            version, or sent damaged data.
        """
        self._peer = peer
        self._answers = queue.Queue(_MAX_QUEUED_ANSWERS)
        try:
            manifest = self._request_manifest(version)
            return snapshots.load(
                manifest, self._request_parts, previous=previous
            )
        finally:
            self._peer = ''

    def _request_manifest(self, version: int) -> manifests.Manifest:
        request = messages.ManifestRequest(version=version)
        self._send([request])
        answer: object = None
        while not isinstance(answer, messages.ManifestAnswer):
            answer = self._receive_answer([request])
        if answer.version < version:
            raise errors.ConfigurationDamaged(
                f'{self._peer} no longer has version {version}; it will be '
                'requested from another peer'
            )
        return manifests.decode_manifest(answer.data)

    def _request_parts(
        self, digests: typing.Sequence[str]
    ) -> dict[str, bytes]:
        remaining = list(reversed(digests))
        outstanding: dict[str, messages.PartRequest] = {}
        found: dict[str, bytes] = {}
        while remaining or outstanding:
            while remaining and len(outstanding) < _MAX_OUTSTANDING_REQUESTS:
                digest = remaining.pop()
                outstanding[digest] = messages.PartRequest(digest=digest)
                self._send([outstanding[digest]])
            answer = self._receive_answer(outstanding.values())
            if not isinstance(answer, messages.PartAnswer):
                continue
            outstanding.pop(answer.digest, None)
            if answer.data:
                found[answer.digest] = answer.data
        return found

    def _receive_answer(self, requests: typing.Iterable[object]) -> object:
        """Wait for an answer, and send the requests again on a timeout."""
        for attempt in range(_MAX_SENDS):
            try:
                return self._answers.get(timeout=self._answer_seconds)
            except queue.Empty:
                if attempt < _MAX_SENDS - 1:
                    self._send(requests)
        raise errors.ConfigurationDamaged(
            f'no answer from {self._peer} for '
            f'{_MAX_SENDS * self._answer_seconds:g} s; trying another peer'
        )

    def _send(self, requests: typing.Iterable[object]) -> None:
        for request in requests:
            if not self._outbox.send(self._peer, request):
                raise errors.ConfigurationDamaged(
                    f'{self._peer} can not be reached; trying another peer'
                )
