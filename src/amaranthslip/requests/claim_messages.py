"""Messages between instances about claims of idempotency keys."""

import enum


class ClaimState(enum.IntEnum):
    """The state of the request under a claim."""

    RUNNING = 0
    DONE = 1
    NOT_RUN = 2


class ClaimResult(enum.IntEnum):
    """The result of one attempt to claim a key."""

    GRANTED = 0
    # Another claim holds the key. Its request is running, has run, or may have
    # run, in the order of the next three values.
    IN_PROGRESS = 1
    ALREADY_DONE = 2
    UNKNOWN = 3
    # The key was already used for a different request.
    KEY_REUSED = 4
    # The shard has no space for another record.
    FULL = 5
    # The key-value service did not answer in time, the claim queue was full,
    # or the claim was withdrawn.
    UNAVAILABLE = 6


class ClaimRequest:
    """Asks the collector of a key's shard to claim the key."""

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
    """Reports how a claimed request ended; `state` is a ClaimState.

    `number` is chosen by the sender and returned in the ClaimSettled message.
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
    """Confirms that a settlement is stored, or that it changes nothing."""

    __slots__ = ('claim_id', 'number')

    def __init__(self, *, claim_id: int, number: int) -> None:
        self.claim_id = claim_id
        self.number = number
