"""The records of one shard of claims, as one value of the service."""

import struct
import typing

from amaranthslip import errors
from amaranthslip.requests import claim_messages

# Key hash, claim id, fingerprint, seconds of the clock, owner (48 bits) and
# state (its 8 upper bits).
_RECORD = struct.Struct('>16sQQIQ')
RECORD_BYTES = _RECORD.size
_STATE_SHIFT = 48
_OWNER_MASK = (1 << _STATE_SHIFT) - 1
_FORMAT = b'C1'
_HASH_BYTES = 16
_SECONDS, _OWNER_AND_STATE = 3, 4

# The service holds a megabyte; the rest is room for settlements.
MOST_BYTES = 900000
MOST_RECORDS = (MOST_BYTES - len(_FORMAT)) // RECORD_BYTES

# Records are kept for so much longer than keys are accepted: four times the
# 30 s by which the instances' clocks may differ (a key's age is judged by
# one clock, its record's by another, twice each).
CLOCK_SECONDS = 30.0
EXTRA_SECONDS = 4 * CLOCK_SECONDS

# A claim that was withdrawn is kept for so long to meet its own late
# repetition; a repetition after that is withdrawn again by its owner.
_WITHDRAWN_SECONDS = 120.0

_State = claim_messages.ClaimState
_Result = claim_messages.ClaimResult


class Record:
    """One key's claim."""

    __slots__ = (
        'key_hash',
        'claim_id',
        'fingerprint',
        'seconds',
        'owner',
        'state',
    )

    def __init__(
        self,
        *,
        key_hash: bytes,
        claim_id: int,
        fingerprint: int,
        seconds: int,
        owner: int,
        state: claim_messages.ClaimState = _State.RUNNING,
    ) -> None:
        self.key_hash = key_hash
        self.claim_id = claim_id
        self.fingerprint = fingerprint
        self.seconds = seconds
        self.owner = owner
        self.state = state

    def pack(self) -> bytes:
        """Return the record's bytes."""
        return _RECORD.pack(
            self.key_hash,
            self.claim_id,
            self.fingerprint,
            self.seconds,
            self.state << _STATE_SHIFT | self.owner,
        )

    def overrules(self, other: 'Record') -> bool:
        """Say which of two records of a key to keep after a restore."""
        if self.claim_id != other.claim_id:
            return self.seconds > other.seconds
        return other.state == _State.RUNNING


class Shard:
    """The records of one value, at the revision they were read at.

    They stay packed: read one by one into objects, 20,000 of them held up a
    process that relays streams for 71 ms (one run), against 6 ms as it is.
    `changed` says that there is something to write.
    """

    __slots__ = ('_value', '_offsets', 'revision', 'changed')

    def __init__(self, revision: int, value: bytes = _FORMAT) -> None:
        self.revision = revision
        self.changed = False
        self._load(value)

    def _load(self, value: bytes) -> None:
        self._value = bytearray(value)
        self._offsets = {
            value[offset : offset + _HASH_BYTES]: offset
            for offset in range(len(_FORMAT), len(value), RECORD_BYTES)
        }

    def __len__(self) -> int:
        return len(self._offsets)

    def __iter__(self) -> typing.Iterator[Record]:
        return map(self._unpack, self._offsets.values())

    def pack(self) -> bytes:
        """Return the value to write."""
        return bytes(self._value)

    def get(self, key_hash: bytes) -> Record | None:
        """Return a key's record, or None."""
        offset = self._offsets.get(key_hash)
        return None if offset is None else self._unpack(offset)

    def put(self, record: Record) -> None:
        """Enter a record, in place of the key's former one."""
        offset = self._offsets.get(record.key_hash)
        if offset is None:
            self._offsets[record.key_hash] = len(self._value)
            self._value += record.pack()
        else:
            self._value[offset : offset + RECORD_BYTES] = record.pack()
        self.changed = True

    def _unpack(self, offset: int) -> Record:
        key_hash, claim_id, fingerprint, seconds, owner_and_state = (
            _RECORD.unpack_from(self._value, offset)
        )
        return Record(
            key_hash=key_hash,
            claim_id=claim_id,
            fingerprint=fingerprint,
            seconds=seconds,
            owner=owner_and_state & _OWNER_MASK,
            state=_State(owner_and_state >> _STATE_SHIFT),
        )

    def claim(
        self, request: claim_messages.ClaimRequest, owner: int, now: float
    ) -> claim_messages.ClaimResult:
        """Enter a claim, unless another one holds the key.

        A claim that is there already under its own id is granted: it was
        entered by a write whose answer was lost, or by another way.
        """
        held = self.get(request.key_hash)
        if held is not None and held.claim_id == request.claim_id:
            return _OWN_RESULTS[held.state]
        if held is not None and held.state != _State.NOT_RUN:
            if held.fingerprint != request.fingerprint:
                return _Result.KEY_REUSED
            return _HELD_RESULTS[held.state]
        if held is None and len(self) >= MOST_RECORDS:
            return _Result.FULL
        record = Record(
            key_hash=request.key_hash,
            claim_id=request.claim_id,
            fingerprint=request.fingerprint,
            seconds=int(now),
            owner=owner,
        )
        self.put(record)
        return _Result.GRANTED

    def settle(self, settlement: claim_messages.ClaimSettlement) -> None:
        """Enter how a claim ended; only a running one of this id changes.

        'Done' is never taken back: a withdrawal that comes late or twice
        would otherwise let the request run again.
        """
        held = self.get(settlement.key_hash)
        if held is not None and held.claim_id == settlement.claim_id:
            if held.state == _State.RUNNING:
                held.state = _State(settlement.state)
                self.put(held)
        elif held is None or held.state == _State.NOT_RUN:
            # A withdrawn claim that is not here may be on its way in a swap
            # whose answer was lost. It would show as a claim that nobody
            # runs; any write now makes that swap's comparison fail.
            self.changed |= settlement.state == _State.NOT_RUN

    def expire(self, now: float, window_seconds: float) -> None:
        """Drop what is older than the window, or withdrawn for long."""
        oldest = now - window_seconds - EXTRA_SECONDS
        withdrawn = now - _WITHDRAWN_SECONDS
        view = memoryview(self._value)
        kept = [
            view[offset : offset + RECORD_BYTES]
            for offset, record in zip(
                range(len(_FORMAT), len(view), RECORD_BYTES),
                _RECORD.iter_unpack(view[len(_FORMAT) :]),
            )
            if record[_SECONDS] >= oldest
            and (
                record[_OWNER_AND_STATE] >> _STATE_SHIFT != _State.NOT_RUN
                or record[_SECONDS] >= withdrawn
            )
        ]
        if len(kept) < len(self):
            self._load(_FORMAT + b''.join(kept))

    def merge(self, other: 'Shard') -> None:
        """Take over records that this one lacks, after a restore."""
        for record in other:
            mine = self.get(record.key_hash)
            if mine is None or record.overrules(mine):
                self.put(record)


_OWN_RESULTS = {
    _State.RUNNING: _Result.GRANTED,
    _State.DONE: _Result.ALREADY_DONE,
    _State.NOT_RUN: _Result.UNAVAILABLE,
}
_HELD_RESULTS = {
    _State.RUNNING: _Result.IN_PROGRESS,
    _State.DONE: _Result.ALREADY_DONE,
}


def read_shard(value: bytes, revision: int) -> Shard:
    """Return the shard that a value holds.

    Raises
    ------
    PlatformRefused
        The value is in no form that this release knows.
    """
    body_bytes = len(value) - len(_FORMAT)
    if not value.startswith(_FORMAT) or body_bytes % RECORD_BYTES:
        raise errors.PlatformRefused(
            'a value of claims is in a form that this release does not know; '
            'run one release on all instances, and let nothing else write '
            'below the claims prefix'
        )
    return Shard(revision, value)
