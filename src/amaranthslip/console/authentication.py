"""Who an operator is: passwords, sessions and the Basic scheme."""

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
_FAILURE_SECONDS = 0.5
_CHECKS_AT_ONCE = 2
_MOST_REMEMBERED = 1000
# Checked for names that don't exist, so that they take as long as others.
_NOBODY = security.generate_password_hash(secrets.token_hex(16))


class Session:
    """An operator who signed in; `nonce` ties form tokens to the session."""

    __slots__ = ('operator', 'nonce')

    def __init__(self, operator: document.Operator, nonce: str) -> None:
        self.operator = operator
        self.nonce = nonce


class Authenticator:
    """Checks operators against the document in force.

    Parameters
    ----------
    holder : Holder
        Its document has the operators.
    """

    __slots__ = ('_holder', '_remembered', '_memory_key', '_checks')

    def __init__(self, holder: holder_module.Holder) -> None:
        self._holder = holder
        self._remembered: set[bytes] = set()
        self._memory_key = secrets.token_bytes(32)
        self._checks = lock.BoundedSemaphore(_CHECKS_AT_ONCE)

    def check_password(
        self, name: str, password: str
    ) -> document.Operator | None:
        """Return the operator whose name and password these are.

        A salted hash takes tens of milliseconds of processor time on
        purpose. It is worked out in a thread, or every stream would stand
        still meanwhile, and one that was right is remembered for as long as
        the stored hash stays, because automation sends it with each call.
        """
        operator = self._holder.document.operators.get(name)
        stored = operator.password if operator is not None else _NOBODY
        proof = self._make_proof(name, password, stored)
        if proof in self._remembered:
            return operator
        with self._checks:
            pool = gevent.get_hub().threadpool
            right = pool.apply(
                security.check_password_hash, (stored, password)
            )
        if operator is None or not right:
            gevent.sleep(_FAILURE_SECONDS)
            return None
        if len(self._remembered) >= _MOST_REMEMBERED:
            self._remembered.clear()
        self._remembered.add(proof)
        return operator

    def _make_proof(self, name: str, password: str, stored: str) -> bytes:
        text = '\0'.join((name, stored, password)).encode()
        return hmac.digest(self._memory_key, text, 'sha256')

    def check_basic(
        self, request: wrappers.Request
    ) -> document.Operator | None:
        """Return the operator of a request with the Basic scheme."""
        given = request.authorization
        if given is None or given.type != 'basic':
            return None
        name, password = given.username, given.password
        if name is None or password is None:
            return None
        return self.check_password(name, password)

    def open_session(self, operator: document.Operator) -> str:
        """Return the session cookie of an operator who signed in."""
        token = _make_serializer(operator).dumps(secrets.token_hex(16))
        return f'{operator.name}:{token}'

    def read_session(self, request: wrappers.Request) -> Session | None:
        """Return the session of a request's cookie, if it is still good.

        The key is made from the stored password, which every instance has:
        any router takes a session that another one opened, and a changed
        password or a removed operator ends it.
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
    """Return the key that signs what one operator's browser keeps."""
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
    """Tell whether an operator may change the configuration."""
    return operator is not None and operator.role == EDITOR
