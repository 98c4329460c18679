"""Pulls a version from a peer: its manifest, and only the missing parts."""

import typing

from gevent import queue

from amaranthslip.configuration import manifests
from amaranthslip.configuration import messages
from amaranthslip.configuration import snapshots
from amaranthslip import errors

# A request is sent again after this silence, since either of the two queues
# on the way may have been full; after so many times another peer is asked.
ANSWER_SECONDS = 0.3
_SENDS = 3
# Requests on the way at once: bounds what a peer's queue must hold.
_WINDOW = 16
_MOST_ANSWERS = 256


class Outbox(typing.Protocol):
    """Where messages to other instances go."""

    def send(self, name: str, message: object) -> bool:
        """Queue a message for an instance; False if that can't be."""


class Puller:
    """One conversation at a time with a peer that has a higher version.

    Parameters
    ----------
    outbox : Outbox
        Where requests go.
    answer_seconds : float
        The silence of the peer after which a request is sent again.
    """

    __slots__ = ('_outbox', '_answer_seconds', '_answers', '_peer')

    def __init__(
        self, outbox: Outbox, *, answer_seconds: float = ANSWER_SECONDS
    ) -> None:
        self._outbox = outbox
        self._answer_seconds = answer_seconds
        self._answers: queue.Queue = queue.Queue(_MOST_ANSWERS)
        self._peer = ''

    def receive(self, sender: str, answer: object) -> None:
        """Take an answer; one that nobody waits for is dropped."""
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
            The peer was silent, has not got it, or sent something else.
        """
        self._peer = peer
        self._answers = queue.Queue(_MOST_ANSWERS)
        try:
            manifest = self._ask_manifest(version)
            return snapshots.load(manifest, self._ask_parts, previous=previous)
        finally:
            self._peer = ''

    def _ask_manifest(self, version: int) -> manifests.Manifest:
        request = messages.ManifestRequest(version=version)
        self._send([request])
        answer: object = None
        while not isinstance(answer, messages.ManifestAnswer):
            answer = self._take_answer([request])
        if answer.version < version:
            raise errors.ConfigurationDamaged(
                f'{self._peer} no longer has version {version}; another '
                'peer is asked'
            )
        return manifests.decode_manifest(answer.data)

    def _ask_parts(self, digests: typing.Sequence[str]) -> dict[str, bytes]:
        waiting = list(reversed(digests))
        asked: dict[str, messages.PartRequest] = {}
        found: dict[str, bytes] = {}
        while waiting or asked:
            while waiting and len(asked) < _WINDOW:
                digest = waiting.pop()
                asked[digest] = messages.PartRequest(digest=digest)
                self._send([asked[digest]])
            answer = self._take_answer(asked.values())
            if not isinstance(answer, messages.PartAnswer):
                continue
            asked.pop(answer.digest, None)
            if answer.data:
                found[answer.digest] = answer.data
        return found

    def _take_answer(self, requests: typing.Iterable[object]) -> object:
        """Wait for an answer; send what is unanswered again in a silence."""
        for attempt in range(_SENDS):
            try:
                return self._answers.get(timeout=self._answer_seconds)
            except queue.Empty:
                if attempt < _SENDS - 1:
                    self._send(requests)
        raise errors.ConfigurationDamaged(
            f'{self._peer} said nothing for '
            f'{_SENDS * self._answer_seconds:g} s; another peer is asked'
        )

    def _send(self, requests: typing.Iterable[object]) -> None:
        for request in requests:
            if not self._outbox.send(self._peer, request):
                raise errors.ConfigurationDamaged(
                    f'{self._peer} can not be reached; another peer is asked'
                )
