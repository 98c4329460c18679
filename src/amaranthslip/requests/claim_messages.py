"""What instances tell one another about claims of idempotency keys."""

import enum


class ClaimState(enum.IntEnum):
    """How far the request under a claim has come."""

    RUNNING = 0
    DONE = 1
    NOT_RUN = 2


class ClaimResult(enum.IntEnum):
    """What became of one try to claim."""

    GRANTED = 0
    # Another claim holds the key: its request runs, ran, or may have run.
    IN_PROGRESS = 1
    ALREADY_DONE = 2
    UNKNOWN = 3
    # The key was used with another request body.
    KEY_REUSED = 4
    # No room for another record.
    FULL = 5
    # The key-value service gave no answer, or the claim was withdrawn.
    UNAVAILABLE = 6


class ClaimRequest:
    """Asks the collector of the key's shard to claim the key."""

    __slots__ = ('key_hash', 'claim_id', 'fingerprint')

    def __init__(
        self, *, key_hash: bytes, claim_id: int, fingerprint: int
    ) -> None:
        self.key_hash = key_hash
        self.claim_id = claim_id
        self.fingerprint = fingerprint


class ClaimAnswer:
    """Answers a claim request; `result` is a ClaimResult."""

    __slots__ = ('key_hash', 'claim_id', 'result')

    def __init__(self, *, key_hash: bytes, claim_id: int, result: int) -> None:
        self.key_hash = key_hash
        self.claim_id = claim_id
        self.result = int(result)


class ClaimSettlement:
    """Tells how a claimed request ended; `state` is a ClaimState.

    `number` is the sender's own, and comes back when it is kept.
    """

    __slots__ = ('key_hash', 'claim_id', 'state', 'number')

    def __init__(
        self, *, key_hash: bytes, claim_id: int, state: int, number: int = 0
    ) -> None:
        self.key_hash = key_hash
        self.claim_id = claim_id
        self.state = int(state)
        self.number = number


class ClaimSettled:
    """Tells that a settlement is kept, or has nothing to change."""

    __slots__ = ('claim_id', 'number')

    def __init__(self, *, claim_id: int, number: int) -> None:
        self.claim_id = claim_id
        self.number = number
