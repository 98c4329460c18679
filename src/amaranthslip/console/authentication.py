"""Authentication of operators: passwords, sessions and HTTP Basic."""

import hashlib
import hmac
import secrets
import typing

import gevent
from gevent import lock
import itsdangerous
from werkzeug import security
from werkzeug import wrappers

from amaranthslip.configuration import document
from amaranthslip.configuration import holder as holder_module

EDITOR = 'editor'
SESSION_COOKIE = 'amaranthslip_session'
SESSION_SECONDS = 8 * 3600
_SALT = 'amaranthslip console session'
_FAILURE_DELAY_SECONDS = 0.5
_MAX_CONCURRENT_CHECKS = 2
_MAX_CACHED_PROOFS = 1000
# Verified for unknown names, so that the response time does not reveal which
# names exist.
_DUMMY_HASH = security.generate_password_hash(secrets.token_hex(16))


class Session:
    """A signed-in operator; `nonce` binds CSRF tokens to the session."""

    __slots__ = ('operator', 'nonce')

    def __init__(self, operator: document.Operator, nonce: str) -> None:
        self.operator = operator
        self.nonce = nonce


class Authenticator:
    """Authenticates operators against the document in force.

    Parameters
    ----------
    holder : Holder
        Holds the document that lists the operators.
    """

    __slots__ = ('_holder', '_cached_proofs', '_proof_key', '_check_semaphore')

    def __init__(self, holder: holder_module.Holder) -> None:
        self._holder = holder
        self._cached_proofs: set[bytes] = set()
        self._proof_key = secrets.token_bytes(32)
        self._check_semaphore = lock.BoundedSemaphore(_MAX_CONCURRENT_CHECKS)

    def check_password(
        self, name: str, password: str
    ) -> document.Operator | None:
        """Return the operator if the password is correct, None otherwise.

        The salted hash takes tens of milliseconds of processor time by
        design. It is computed in a thread, because it would block every
        stream of this process otherwise. A correct password is cached until
        the stored hash changes, because automation sends it with each call.
        """
        operator = self._holder.document.operators.get(name)
        stored_hash = (
            operator.password if operator is not None else _DUMMY_HASH
        )
        proof = self._make_proof(name, password, stored_hash)
        if proof in self._cached_proofs:
            return operator
        with self._check_semaphore:
            pool = gevent.get_hub().threadpool
            valid = pool.apply(
                security.check_password_hash, (stored_hash, password)
            )
        if operator is None or not valid:
            gevent.sleep(_FAILURE_DELAY_SECONDS)
            return None
        if len(self._cached_proofs) >= _MAX_CACHED_PROOFS:
            self._cached_proofs.clear()
        self._cached_proofs.add(proof)
        return operator

    def _make_proof(self, name: str, password: str, stored_hash: str) -> bytes:
        text = '\0'.join((name, stored_hash, password)).encode()
        return hmac.digest(self._proof_key, text, 'sha256')

    def check_basic(
        self, request: wrappers.Request
    ) -> document.Operator | None:
        """Return the operator whose HTTP Basic credentials a request has."""
        credentials = request.authorization
        if credentials is None or credentials.type != 'basic':
            return None
        name, password = credentials.username, credentials.password
        if name is None or password is None:
            return None
        return self.check_password(name, password)

    def open_session(self, operator: document.Operator) -> str:
        """Return the session cookie's value for a signed-in operator."""
        token = _make_serializer(operator).dumps(secrets.token_hex(16))
        return f'{operator.name}:{token}'

    def read_session(self, request: wrappers.Request) -> Session | None:
        """Return the session of a request's cookie, None if it is invalid.

        The signing key is derived from the stored password hash, which every
        instance has: each router accepts sessions that another one opened,
        and changing the password or removing the operator ends them.
        """
        name, _, token = request.cookies.get(SESSION_COOKIE, '').partition(':')
        operator = self._holder.document.operators.get(name)
        if operator is None:
            return None
        try:
            nonce = _make_serializer(operator).loads(
                token, max_age=SESSION_SECONDS
            )
        except itsdangerous.BadData:
            return None
        return Session(operator, str(nonce))


def derive_key(operator: document.Operator) -> bytes:
    """Return the key that signs an operator's cookies and form tokens."""
    text = '\0'.join((_SALT, operator.name, operator.password))
    return hashlib.sha256(text.encode()).digest()


def _make_serializer(
    operator: document.Operator,
) -> itsdangerous.URLSafeTimedSerializer:
    return itsdangerous.URLSafeTimedSerializer(
        derive_key(operator),
        salt=_SALT,
        signer_kwargs={'digest_method': hashlib.sha256},
    )


def may_edit(
    operator: document.Operator | None,
) -> typing.TypeGuard[document.Operator]:
    """Return whether an operator may change the configuration."""
    return operator is not None and operator.role == EDITOR
